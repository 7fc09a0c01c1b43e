//! HTTP requests to the proxy's operators' address.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request, given as method and target; returns the status and the body of the complete response.
pub async fn operator_call(address: SocketAddr, request: &str) -> (u16, String) {
    try_operator_call(address, request).await.expect("a complete response and the end of the connection")
}

/// Same as [`operator_call`]; `None` if the connection fails or the response is incomplete.
pub async fn try_operator_call(address: SocketAddr, request: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(format!("{request} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    let status = response.split(' ').nth(1)?.parse().ok()?;
    let (_, text) = response.split_once("\r\n\r\n")?;
    Some((status, text.to_string()))
}
