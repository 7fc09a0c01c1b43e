//! A client: one connection that sends simple queries and reads whole answers.

use crate::wire;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The final answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served, with this value.
    Value(Vec<u8>),
    /// Refused or failed, with this SQLSTATE.
    Error(String),
    /// The empty query was answered.
    Empty,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and opens the session.
    pub fn connect(address: SocketAddr, read_timeout: Duration) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(read_timeout))?;
        let mut client = Client { stream };
        client.stream.write_all(&wire::startup())?;
        while wire::read_message(&mut client.stream)?.kind != b'Z' {}
        Ok(client)
    }

    /// Writes a query.
    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&wire::query(statement))
    }

    /// Reads the next answer, up to `ReadyForQuery`.
    pub fn read_answer(&mut self) -> io::Result<Answer> {
        let mut answer = None;
        loop {
            let message = wire::read_message(&mut self.stream)?;
            match message.kind {
                b'D' if message.body.len() >= 6 => answer = Some(Answer::Value(message.body[6..].to_vec())),
                b'E' => answer = Some(Answer::Error(wire::sqlstate(&message.body))),
                b'I' => answer = Some(Answer::Empty),
                b'Z' => return answer.ok_or_else(|| io::Error::other("ready without an answer")),
                _ => {}
            }
        }
    }

    /// Sends a query and reads its answer.
    pub fn ask(&mut self, statement: &str) -> io::Result<Answer> {
        self.send(statement)?;
        self.read_answer()
    }
}

/// Waits until a proxy answers the empty query, as the platform's front does; `false` after `limit`.
pub fn wait_until_ready(address: SocketAddr, limit: Duration) -> bool {
    let started = std::time::Instant::now();
    while started.elapsed() < limit {
        if let Ok(mut client) = Client::connect(address, Duration::from_secs(10))
            && matches!(client.ask(""), Ok(Answer::Empty))
        {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
