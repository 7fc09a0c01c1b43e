//! Messages of PostgreSQL's wire protocol, version 3, as far as the published protocol uses them.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message with its type byte.
pub struct Message {
    pub kind: u8,
    pub body: Vec<u8>,
}

/// Encodes a message.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&(4 + body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a `ParameterStatus`.
pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Encodes the description of one column, a row with this value, and the completion.
pub fn row(value: &[u8]) -> Vec<u8> {
    let column = [b"\0\x01val\0".as_slice(), &[0; 6], &17u32.to_be_bytes(), &[0xff; 6], &[0, 1]].concat();
    let data = [b"\0\x01".as_slice(), &(value.len() as u32).to_be_bytes(), value].concat();
    [message(b'T', &column), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// Encodes an error with this SQLSTATE.
pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mscripted\0\0").as_bytes())
}

/// Encodes `ReadyForQuery`.
pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// Encodes a simple query.
pub fn query(statement: &str) -> Vec<u8> {
    message(b'Q', &[statement.as_bytes(), b"\0"].concat())
}

/// Encodes the startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0client\0database\0core\0\0";
    [&(4 + body.len() as u32).to_be_bytes()[..], body].concat()
}

/// Reads the startup message of a client.
pub fn read_startup(stream: &mut TcpStream) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    let mut body = vec![0; length.saturating_sub(4).min(10_000)];
    stream.read_exact(&mut body)
}

/// Reads a message.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Message> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4).min(32 << 20)];
    stream.read_exact(&mut body)?;
    Ok(Message { kind: head[0], body })
}

/// Answers a startup message: no password, ready.
pub fn open_session(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat())
}

/// The value of a field in the comment that opens a statement.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("*/").next()?.trim_start().strip_prefix("/*")?;
    comment.split(',').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key.trim() == name).then_some(value.trim())
    })
}

/// The SQLSTATE of an error message's body.
pub fn sqlstate(body: &[u8]) -> String {
    let mut fields = body.split(|byte| *byte == 0);
    let code = fields.find_map(|field| field.strip_prefix(b"C"));
    String::from_utf8_lossy(code.unwrap_or(b"")).into_owned()
}
