//! PostgreSQL clients of the proxy: encoding of commands, connecting, and reading of responses.

use bytes::BytesMut;
use linenhill::pg::backend::{BackendCodec, Command};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Encoder;

/// ReadyForQuery while no transaction is open; ends every response.
const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

/// Encodes the commands into one buffer, in order.
pub fn encode(commands: &[Command]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for command in commands {
        BackendCodec::default().encode(command.clone(), &mut bytes).expect("encode a command");
    }
    bytes
}

/// A simple query with this statement.
pub fn query_command(statement: &str) -> Command {
    Command::Query(statement.to_string().into())
}

/// Connects a client that writes its startup message and first queries in one write, and reads the response to the
/// startup message.
pub async fn connect_client(address: SocketAddr, queries: &[&str]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connect to the proxy");
    let queries = queries.iter().map(|query| query_command(query));
    let commands: Vec<Command> = [Command::Startup].into_iter().chain(queries).collect();
    stream.write_all(&encode(&commands)).await.expect("write the startup message and queries");
    read_answer(&mut stream).await;
    stream
}

/// Reads up to and including the next ReadyForQuery. If the connection ends first, the text is empty or truncated.
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
