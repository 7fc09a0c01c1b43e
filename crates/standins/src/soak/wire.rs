//! As much of PostgreSQL's protocol as stand-ins need. It must not use the proxy's codecs, since it tests them.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The version of the protocol in a startup message: 3.0.
const PROTOCOL: u32 = 196_608;
/// What ends every answer: ready for the next query.
pub const READY: &[u8] = b"Z\0\0\0\x05I";

/// A message of this type.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(4 + body.len() as u32).to_be_bytes()[..], body].concat()
}

/// A client's startup message.
pub fn startup() -> Vec<u8> {
    let body = [&PROTOCOL.to_be_bytes()[..], b"user\0client\0database\0core\0\0"].concat();
    [&(4 + body.len() as u32).to_be_bytes()[..], &body].concat()
}

/// A simple query.
pub fn query(statement: &str) -> Vec<u8> {
    message(b'Q', &[statement.as_bytes(), b"\0"].concat())
}

/// An answer of one row, with the role and position that a member adds, up to readiness.
pub fn row(value: &str, is_primary: bool, position_ms: u64) -> Vec<u8> {
    let column = [b"\0\x01val\0".as_slice(), &[0; 6], &17u32.to_be_bytes(), &[0xff; 6], &[0, 1]].concat();
    let data = [b"\0\x01".as_slice(), &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let parts = [message(b'T', &column), message(b'D', &data), message(b'C', b"SELECT 1\0")];
    [parts.concat(), parameters(is_primary, position_ms), READY.to_vec()].concat()
}

/// An error with this code, with the role and position of the member, up to readiness.
pub fn error(code: &str, is_primary: bool, position_ms: u64) -> Vec<u8> {
    let body = format!("SERROR\0C{code}\0Mscripted\0\0");
    [message(b'E', body.as_bytes()), parameters(is_primary, position_ms), READY.to_vec()].concat()
}

/// What a member answers to a startup message.
pub fn welcome() -> Vec<u8> {
    [message(b'R', &[0; 4]), READY.to_vec()].concat()
}

fn parameters(is_primary: bool, position_ms: u64) -> Vec<u8> {
    let recovery = if is_primary { "off" } else { "on" };
    let report = format!("x0={}.{:03},x1={}", position_ms / 1_000, position_ms % 1_000, u8::from(is_primary));
    [
        message(b'S', format!("recovery\0{recovery}\0").as_bytes()),
        message(b'S', format!("lsn_ms\0{position_ms}\0").as_bytes()),
        message(b'S', format!("health\0{report}\0").as_bytes()),
    ]
    .concat()
}

/// Reads a startup message.
pub async fn read_startup(stream: &mut TcpStream) -> io::Result<()> {
    let length = stream.read_u32().await? as usize;
    stream.read_exact(&mut vec![0; length.saturating_sub(4)]).await.map(drop)
}

/// Reads a query's statement; other messages are an error.
pub async fn read_query(stream: &mut TcpStream) -> io::Result<String> {
    let kind = stream.read_u8().await?;
    let length = stream.read_u32().await? as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body).await?;
    if kind != b'Q' {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(String::from_utf8_lossy(&body).trim_end_matches('\0').to_string())
}

/// Reads up to the end of the next answer.
pub async fn read_answer(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut answer = Vec::new();
    loop {
        let kind = stream.read_u8().await?;
        let length = stream.read_u32().await?;
        let mut body = vec![0; (length as usize).saturating_sub(4)];
        stream.read_exact(&mut body).await?;
        answer.extend(message(kind, &body));
        if kind == b'Z' {
            return Ok(answer);
        }
    }
}

/// Writes all of it.
pub async fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}

/// The value of a field of a statement's comment.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("*/").next()?.trim_start_matches("/*").trim();
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}
