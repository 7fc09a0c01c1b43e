//! Discovery as a test plays it itself: it accepts the program's watches and sends their lines.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How the response to a watch begins.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The program's next call for a watch, and the list version that it has.
pub async fn accept_watch(discovery: &TcpListener) -> (TcpStream, u64) {
    let (mut watch, _) = discovery.accept().await.expect("a call");
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        head.push(char::from(watch.read_u8().await.expect("more of the head")));
    }
    let after_from = head.split("&from=").nth(1);
    let version = after_from.and_then(|rest| rest.split(' ').next()).and_then(|number| number.parse().ok());
    (watch, version.unwrap_or_else(|| panic!("no watch: {head}")))
}

/// Sends a line on a watch, after `head`, which is empty but for the first line.
pub async fn send_watch_line(watch: &mut TcpStream, head: &str, line: &str) {
    let text = format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1);
    watch.write_all(text.as_bytes()).await.expect("written");
}
