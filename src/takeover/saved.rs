//! A small file that two versions of the proxy share: replaced whole, with a version and a checksum, and bounded. What
//! is torn, foreign, of another version or too long is refused whole; that nothing is there is normal.

use std::fmt;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The form's version; another one's file is not read.
const VERSION: &str = "linenhill-saved-1";
/// The longest file taken, in bytes.
const MOST: u64 = 1 << 20;

/// Why a file can't be taken.
#[derive(Debug)]
pub enum SavedError {
    /// It is longer than any that is written here.
    Long,
    /// Its first line is none of this version.
    Version,
    /// Its text is not what was written.
    Torn,
    /// It can't be read or written.
    Io(io::Error),
}

impl From<io::Error> for SavedError {
    fn from(e: io::Error) -> SavedError {
        SavedError::Io(e)
    }
}

impl fmt::Display for SavedError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SavedError::Long => write!(f, "over {MOST} bytes"),
            SavedError::Version => write!(f, "not of the form {VERSION}"),
            SavedError::Torn => write!(f, "torn: the checksum does not fit"),
            SavedError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for SavedError {}

/// The file's bytes for a text.
pub fn sealed(text: &str) -> String {
    format!("{VERSION} {:08x} {}\n{text}", crc32fast::hash(text.as_bytes()), text.len())
}

/// The text in a file's bytes.
pub fn opened(bytes: &[u8]) -> Result<&str, SavedError> {
    if bytes.len() as u64 > MOST {
        return Err(SavedError::Long);
    }
    let head = bytes.iter().position(|b| *b == b'\n').ok_or(SavedError::Version)?;
    let (head, text) = (std::str::from_utf8(&bytes[..head]), &bytes[head + 1..]);
    let mut words = head.map_err(|_| SavedError::Version)?.split(' ');
    if words.next() != Some(VERSION) {
        return Err(SavedError::Version);
    }
    let sum = words.next().and_then(|w| u32::from_str_radix(w, 16).ok());
    let length = words.next().and_then(|w| w.parse::<usize>().ok());
    if words.next().is_some() || sum != Some(crc32fast::hash(text)) || length != Some(text.len()) {
        return Err(SavedError::Torn);
    }
    std::str::from_utf8(text).map_err(|_| SavedError::Torn)
}

/// Reads a file; none is there is none.
pub fn read(path: &Path) -> Result<Option<String>, SavedError> {
    let file = match std::fs::File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let mut bytes = Vec::new();
    file.take(MOST + 1).read_to_end(&mut bytes)?;
    opened(&bytes).map(|text| Some(text.to_string()))
}

/// Replaces a file whole: a reader sees the old text or the new one.
pub fn write(path: &Path, text: &str) -> Result<(), SavedError> {
    let bytes = sealed(text);
    if bytes.len() as u64 > MOST {
        return Err(SavedError::Long);
    }
    let mut beside = path.as_os_str().to_owned();
    beside.push(format!(".{}", std::process::id()));
    let beside = PathBuf::from(beside);
    let done = std::fs::File::create(&beside)
        .and_then(|mut file| file.write_all(bytes.as_bytes()))
        .and_then(|()| std::fs::rename(&beside, path));
    if done.is_err() {
        let _ = std::fs::remove_file(&beside);
    }
    Ok(done?)
}
