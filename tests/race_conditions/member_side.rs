//! The member's side of a connection, one message at a time, so that a test controls what happens between two
//! messages.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Accepts the program's next connection to a member and reads its startup message, without answering it.
pub async fn accept_startup(member: &TcpListener) -> TcpStream {
    let (mut connection, _) = member.accept().await.expect("accept connection");
    read_startup(&mut connection).await;
    connection
}

/// Reads the startup message of an accepted connection, without answering it.
pub async fn read_startup(connection: &mut TcpStream) {
    let length = connection.read_u32().await.expect("read length") as usize;
    connection.read_exact(&mut vec![0; length - 4]).await.expect("read startup message");
}

/// Encodes a message of the PostgreSQL protocol: type, length, body.
fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = 4 + u32::try_from(body.len()).expect("body is shorter than 4 GiB");
    [&[kind], &length.to_be_bytes()[..], body].concat()
}

/// The answer to a startup message: AuthenticationOk and ReadyForQuery.
pub fn startup_answer() -> Vec<u8> {
    [message(b'R', &[0; 4]), message(b'Z', b"I")].concat()
}

/// Answers the startup message.
pub async fn answer_startup(connection: &mut TcpStream) {
    connection.write_all(&startup_answer()).await.expect("write");
}

/// The text of an empty query, by which the program checks a connection before it uses it again.
pub const EMPTY_STATEMENT: &str = "\0";
/// An empty query: type, length, text.
const EMPTY_QUERY: &str = "Q\0\0\0\x05\0";

/// Reads the next statement and answers empty queries before it; `None` if the connection has ended.
pub async fn read_statement(connection: &mut TcpStream) -> Option<String> {
    loop {
        let statement = read_query(connection).await?;
        if statement != EMPTY_STATEMENT {
            return Some(statement);
        }
        connection.write_all(&empty_query_answer()).await.ok()?;
    }
}

/// Reads the next query, which may be empty; `None` if the connection has ended.
pub async fn read_query(connection: &mut TcpStream) -> Option<String> {
    let kind = connection.read_u8().await.ok()?;
    let mut body = vec![0; connection.read_u32().await.ok()? as usize - 4];
    connection.read_exact(&mut body).await.ok()?;
    assert_eq!(kind, b'Q');
    Some(String::from_utf8(body).expect("statement is UTF-8"))
}

/// The answer to an empty query: EmptyQueryResponse and ReadyForQuery.
pub fn empty_query_answer() -> Vec<u8> {
    [message(b'I', b""), message(b'Z', b"I")].concat()
}

/// Encodes a reply with one row, up to ReadyForQuery.
pub fn reply_with_row(value: &str) -> Vec<u8> {
    let column = [b"\0\x01val\0".as_slice(), &[0; 6], &17u32.to_be_bytes(), &[0xff; 6], &[0, 1]].concat();
    let data = [b"\0\x01".as_slice(), &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    [message(b'T', &column), message(b'D', &data), message(b'C', b"SELECT 1\0"), message(b'Z', b"I")].concat()
}

/// Answers a statement with one row that contains `value`.
pub async fn send_row(connection: &mut TcpStream, value: &str) {
    connection.write_all(&reply_with_row(value)).await.expect("write");
}

/// Reads the remaining input of a connection until it ends, without the empty queries in it.
pub async fn read_rest(mut connection: TcpStream) -> String {
    let mut received = Vec::new();
    let _ = connection.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).replace(EMPTY_QUERY, "")
}
