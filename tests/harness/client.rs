//! Clients of the program: what they write, and how an answer is read.

use bytes::BytesMut;
use linenhill::pg::backend::{BackendCodec, Command};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Encoder;

/// ReadyForQuery, the last message of an answer.
const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

/// The bytes of these commands, one behind the other.
pub fn encode(commands: &[Command]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for command in commands {
        BackendCodec::default().encode(command.clone(), &mut bytes).expect("encoded");
    }
    bytes
}

/// The command that asks for a statement.
pub fn query_command(statement: &str) -> Command {
    Command::Query(statement.to_string().into())
}

/// A client whose startup message and first queries come in one piece; the answer to the startup message is read.
pub async fn connect_client(at: SocketAddr, queries: &[&str]) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    let queries = queries.iter().map(|query| query_command(query));
    let commands: Vec<Command> = [Command::Startup].into_iter().chain(queries).collect();
    stream.write_all(&encode(&commands)).await.expect("written");
    read_answer(&mut stream).await;
    stream
}

/// Reads to the next ReadyForQuery, or to the end of the connection: then the text is empty or cut off.
pub async fn read_answer(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    while !received.ends_with(READY_FOR_QUERY) {
        match stream.read_u8().await {
            Ok(byte) => received.push(byte),
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}
