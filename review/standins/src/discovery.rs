//! Discovery: answers a watch with the whole list, then with an empty line every 2 s, since nothing changes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// An entry of the list: a member of group 1 in service.
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"ebene\",\"kind\":\"fast-4\",\"cell\":1,\
             \"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}}",
            self.id, self.address
        )
    }
}

/// The whole list, version 1, in discovery's form.
pub fn list(entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"version\":1,\"full\":true,\"servers\":[{}]}}", entries.join(","))
}

/// A running discovery service. Its threads end with the process.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    /// Starts the service on a free loopback port.
    pub fn start(entries: &[Entry]) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = Arc::new(list(entries));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                thread::spawn(move || watch(stream, &list));
            }
        });
        Ok(Discovery { address })
    }
}

fn watch(mut stream: TcpStream, list: &str) -> Option<()> {
    let mut request = BufReader::new(stream.try_clone().ok()?);
    let mut line = String::new();
    while request.read_line(&mut line).ok()? > 2 {
        line.clear();
    }
    stream.set_nodelay(true).ok()?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    send(&mut stream, list)?;
    loop {
        thread::sleep(Duration::from_secs(2));
        send(&mut stream, "")?;
    }
}

fn send(stream: &mut TcpStream, line: &str) -> Option<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).ok()
}
