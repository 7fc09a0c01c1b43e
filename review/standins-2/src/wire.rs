//! The part of PostgreSQL's protocol that the stand-ins need.

use std::io::{self, Read};

pub const READY: &[u8] = b"Z\0\0\0\x05I";

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(4 + body.len() as u32).to_be_bytes()[..], body].concat()
}

pub fn startup() -> Vec<u8> {
    let body = [&196_608u32.to_be_bytes()[..], b"user\0client\0database\0core\0\0"].concat();
    [&(4 + body.len() as u32).to_be_bytes()[..], &body].concat()
}

pub fn query(statement: &str) -> Vec<u8> {
    message(b'Q', &[statement.as_bytes(), b"\0"].concat())
}

/// RowDescription, one DataRow of one column, CommandComplete.
pub fn row(value: &[u8]) -> Vec<u8> {
    let column = [b"\0\x01val\0".as_slice(), &[0; 6], &17u32.to_be_bytes(), &[0xff; 6], &[0, 1]].concat();
    let data = [b"\0\x01".as_slice(), &(value.len() as u32).to_be_bytes(), value].concat();
    [message(b'T', &column), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mstand-in\0\0").as_bytes())
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Reads a typed message: its type and body.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Reads a startup message.
pub fn read_startup(stream: &mut impl Read) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    stream.read_exact(&mut body)
}

/// A field of the leading comment.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("*/").next()?.trim_start_matches("/*").trim();
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

/// The texts in single quotes behind the comment.
pub fn quoted(statement: &str) -> Vec<&str> {
    let sql = statement.split_once("*/").map_or(statement, |(_, sql)| sql);
    sql.split('\'').skip(1).step_by(2).collect()
}
