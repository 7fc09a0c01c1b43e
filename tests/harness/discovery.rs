//! A discovery service driven by the test: it accepts the proxy's watches and sends lines on them.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Status line and headers of the response to a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Accepts the next watch request; returns its connection and the list version in its `from` parameter.
pub async fn accept_watch(discovery: &TcpListener) -> (TcpStream, u64) {
    let (mut watch, _) = discovery.accept().await.expect("accept a watch");
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        head.push(char::from(watch.read_u8().await.expect("read the request head")));
    }
    let after_from = head.split("&from=").nth(1);
    let version = after_from.and_then(|rest| rest.split(' ').next()).and_then(|number| number.parse().ok());
    (
        watch,
        version.unwrap_or_else(|| panic!("expected a watch request with a version in `from`, got {head}")),
    )
}

/// Sends a line as one chunk. `head` is [`WATCH_HEAD`] for the first line of a watch and empty for later lines.
pub async fn send_watch_line(watch: &mut TcpStream, head: &str, line: &str) {
    let text = format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1);
    watch.write_all(text.as_bytes()).await.expect("write a watch line");
}
