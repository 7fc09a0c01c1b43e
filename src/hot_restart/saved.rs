//! A small file that two versions of the proxy share. It is bounded in size, has a header with version and checksum,
//! and is replaced atomically. A file that is torn, of another format or version, or too long must be rejected
//! completely; a missing file is not an error.

use std::error::Error;
use std::fmt;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// Name and version of the format; a file with another one is rejected.
const VERSION: &str = "linenhill-saved-1";
/// The longest file that is read or written.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why a file can't be read or written.
#[derive(Debug)]
pub enum SavedError {
    /// The file exceeds the maximum length.
    TooLong,
    /// The file has no header line, or one of another format or version.
    WrongVersion,
    /// The checksum or length in the header is malformed or does not match the text, or the text is not UTF-8.
    Torn,
    /// A system call on the file failed.
    Io(io::Error),
}

impl From<io::Error> for SavedError {
    fn from(error: io::Error) -> SavedError {
        SavedError::Io(error)
    }
}

impl fmt::Display for SavedError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SavedError::TooLong => write!(f, "the file exceeds the limit of {MAX_FILE_BYTES} bytes"),
            SavedError::WrongVersion => {
                write!(f, "the file does not begin with a header line of version {VERSION}")
            }
            SavedError::Torn => {
                write!(f, "the file is torn: its text does not match the checksum and length in the header")
            }
            SavedError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl Error for SavedError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            SavedError::Io(error) => Some(error),
            _ => None,
        }
    }
}

/// Encodes a text as the file's content: a header line with version, CRC-32 and length, then the text.
pub fn seal(text: &str) -> String {
    format!("{VERSION} {:08x} {}\n{text}", crc32fast::hash(text.as_bytes()), text.len())
}

/// Decodes a file's content.
///
/// # Errors
/// The content is too long, of another version, or torn.
pub fn unseal(bytes: &[u8]) -> Result<&str, SavedError> {
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(SavedError::TooLong);
    }
    let line_end = bytes.iter().position(|byte| *byte == b'\n').ok_or(SavedError::WrongVersion)?;
    let header = std::str::from_utf8(&bytes[..line_end]).map_err(|_| SavedError::WrongVersion)?;
    let text = &bytes[line_end + 1..];
    let mut fields = header.split(' ');
    if fields.next() != Some(VERSION) {
        return Err(SavedError::WrongVersion);
    }
    let checksum = fields.next().and_then(|field| u32::from_str_radix(field, 16).ok());
    let length = fields.next().and_then(|field| field.parse::<usize>().ok());
    let is_intact = checksum == Some(crc32fast::hash(text)) && length == Some(text.len());
    if !is_intact || fields.next().is_some() {
        return Err(SavedError::Torn);
    }
    std::str::from_utf8(text).map_err(|_| SavedError::Torn)
}

/// Reads a file's text; `None` if the file does not exist.
///
/// # Errors
/// The file can't be read, or its content is rejected by [`unseal`].
pub fn read(path: &Path) -> Result<Option<String>, SavedError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    unseal(&bytes).map(|text| Some(text.to_string()))
}

/// Replaces a file atomically: a concurrent reader sees either the old text or the new one. The file is not synced, so
/// it may be torn after a crash of the machine.
///
/// # Errors
/// The text is too long, or the file can't be written.
pub fn write(path: &Path, text: &str) -> Result<(), SavedError> {
    let bytes = seal(text);
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(SavedError::TooLong);
    }
    let temporary = temporary_path(path);
    let written = replace(path, &temporary, bytes.as_bytes());
    if written.is_err() {
        // A remaining temporary file is harmless, so a failure to remove it is ignored.
        let _ = std::fs::remove_file(&temporary);
    }
    Ok(written?)
}

fn replace(path: &Path, temporary: &Path, bytes: &[u8]) -> io::Result<()> {
    File::create(temporary)?.write_all(bytes)?;
    std::fs::rename(temporary, path)
}

/// A path in the same directory, so that a rename is atomic, and with the process id, so that no two processes share
/// it.
fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{}", std::process::id()));
    PathBuf::from(name)
}
