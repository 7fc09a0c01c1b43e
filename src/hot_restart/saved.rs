//! A small file that two versions of the proxy share. It is replaced as a whole, bounded, and carries a
//! version and a checksum. A file that is torn, foreign, of another version or too long must be rejected
//! completely; a file that does not exist is no error.

use std::error::Error;
use std::fmt;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// The version of the format. A file of another one is not read.
const VERSION: &str = "linenhill-saved-1";
/// The longest file that is read or written, in bytes.
const FILE_MAX: u64 = 1 << 20;

/// Why a file can't be read or written.
#[derive(Debug)]
pub enum SavedError {
    /// It is longer than any that is written here.
    TooLong,
    /// Its first line is not one of this version.
    WrongVersion,
    /// Its text is not what was written.
    Torn,
    /// The system can't read or write it.
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
            SavedError::TooLong => write!(f, "over {FILE_MAX} bytes"),
            SavedError::WrongVersion => write!(f, "not of the form {VERSION}"),
            SavedError::Torn => write!(f, "torn: the checksum does not fit"),
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

/// The bytes of the file for a text: a line with version, CRC-32 and length, then the text.
pub fn seal(text: &str) -> String {
    format!("{VERSION} {:08x} {}\n{text}", crc32fast::hash(text.as_bytes()), text.len())
}

/// The text in the bytes of a file.
///
/// # Errors
/// The bytes are too long, of another version, or not as they were written.
pub fn unseal(bytes: &[u8]) -> Result<&str, SavedError> {
    if bytes.len() as u64 > FILE_MAX {
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
/// The system can't read the file, or its bytes are rejected by [`unseal`].
pub fn read(path: &Path) -> Result<Option<String>, SavedError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let mut bytes = Vec::new();
    file.take(FILE_MAX + 1).read_to_end(&mut bytes)?;
    unseal(&bytes).map(|text| Some(text.to_string()))
}

/// Replaces a file in one step: a reader sees the old text or the new one.
///
/// # Errors
/// The text is too long, or the system can't write the file.
pub fn write(path: &Path, text: &str) -> Result<(), SavedError> {
    let bytes = seal(text);
    if bytes.len() as u64 > FILE_MAX {
        return Err(SavedError::TooLong);
    }
    let temporary = temporary_path(path);
    let written = replace(path, &temporary, bytes.as_bytes());
    if written.is_err() {
        // A leftover does no harm, so a failure to remove it is ignored.
        let _ = std::fs::remove_file(&temporary);
    }
    Ok(written?)
}

fn replace(path: &Path, temporary: &Path, bytes: &[u8]) -> io::Result<()> {
    File::create(temporary)?.write_all(bytes)?;
    std::fs::rename(temporary, path)
}

/// Beside the file, so that it can be renamed; two processes that write at once don't share it.
fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{}", std::process::id()));
    PathBuf::from(name)
}
