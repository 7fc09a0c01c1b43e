//! Calls at the program's HTTP address for operators.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// One call, by its method and target: the status and the text of the complete answer.
pub async fn operator_call(address: SocketAddr, request: &str) -> (u16, String) {
    try_operator_call(address, request).await.expect("an answer and the end of the connection")
}

/// The same; `None` where there is no connection, or no complete answer.
pub async fn try_operator_call(address: SocketAddr, request: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(format!("{request} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    let status = response.split(' ').nth(1)?.parse().ok()?;
    let (_, text) = response.split_once("\r\n\r\n")?;
    Some((status, text.to_string()))
}
