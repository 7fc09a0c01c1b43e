//! The subset of PostgreSQL's protocol that simulated members and clients need. It must not use the proxy's codecs,
//! which are under test.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Protocol version 3.0, as in a startup message.
const PROTOCOL_VERSION: u32 = 196_608;
/// ReadyForQuery message, which ends every answer.
pub const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

/// Encodes a message of this type.
pub fn message(message_type: u8, body: &[u8]) -> Vec<u8> {
    [&[message_type], &(4 + body.len() as u32).to_be_bytes()[..], body].concat()
}

/// Encodes a client's startup message.
pub fn startup() -> Vec<u8> {
    let body = [&PROTOCOL_VERSION.to_be_bytes()[..], b"user\0client\0database\0core\0\0"].concat();
    [&(4 + body.len() as u32).to_be_bytes()[..], &body].concat()
}

/// Encodes a simple query.
pub fn query(statement: &str) -> Vec<u8> {
    message(b'Q', &[statement.as_bytes(), b"\0"].concat())
}

/// Encodes an answer of one row with the member's role and position, including ReadyForQuery.
pub fn row_response(value: &str, is_primary: bool, position_ms: u64) -> Vec<u8> {
    let column = [b"\0\x01val\0".as_slice(), &[0; 6], &17u32.to_be_bytes(), &[0xff; 6], &[0, 1]].concat();
    let data = [b"\0\x01".as_slice(), &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let parts = [message(b'T', &column), message(b'D', &data), message(b'C', b"SELECT 1\0")];
    [parts.concat(), status_parameters(is_primary, position_ms), READY_FOR_QUERY.to_vec()].concat()
}

/// Encodes an error with this SQLSTATE and the member's role and position, including ReadyForQuery.
pub fn error_response(code: &str, is_primary: bool, position_ms: u64) -> Vec<u8> {
    let body = format!("SERROR\0C{code}\0Mscripted\0\0");
    [message(b'E', body.as_bytes()), status_parameters(is_primary, position_ms), READY_FOR_QUERY.to_vec()]
        .concat()
}

/// Encodes a member's answer to a startup message.
pub fn startup_response() -> Vec<u8> {
    [message(b'R', &[0; 4]), READY_FOR_QUERY.to_vec()].concat()
}

/// Encodes the answer to an empty query, including ReadyForQuery.
pub fn empty_query_response() -> Vec<u8> {
    [&message(b'I', b""), READY_FOR_QUERY].concat()
}

fn status_parameters(is_primary: bool, position_ms: u64) -> Vec<u8> {
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

/// Reads a query and returns its statement. Fails on messages of other types.
pub async fn read_query(stream: &mut TcpStream) -> io::Result<String> {
    let message_type = stream.read_u8().await?;
    let length = stream.read_u32().await? as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body).await?;
    if message_type != b'Q' {
        let text = format!("expected a query message (type Q), got type {:?}", char::from(message_type));
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    Ok(String::from_utf8_lossy(&body).trim_end_matches('\0').to_string())
}

/// Reads the next answer, including ReadyForQuery.
pub async fn read_answer(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut answer = Vec::new();
    loop {
        let message_type = stream.read_u8().await?;
        let length = stream.read_u32().await?;
        let mut body = vec![0; (length as usize).saturating_sub(4)];
        stream.read_exact(&mut body).await?;
        answer.extend(message(message_type, &body));
        if message_type == b'Z' {
            return Ok(answer);
        }
    }
}

/// Writes all bytes.
pub async fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}

/// Returns the value of a field in the statement's leading comment.
pub fn comment_field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("*/").next()?.trim_start_matches("/*").trim();
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}
