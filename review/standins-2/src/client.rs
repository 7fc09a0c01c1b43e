//! A stand-in for a client.

use crate::wire;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Vec<u8>),
    /// EmptyQueryResponse.
    Empty,
    /// An error with its SQLSTATE.
    Error(String),
    /// The connection ended, or nothing came in time.
    Ended(String),
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Served(value) => {
                let text = String::from_utf8_lossy(&value[..value.len().min(24)]).to_string();
                format!("served, {} bytes '{text}'", value.len())
            }
            other => format!("{other:?}"),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and starts a session.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut client = Client { stream };
        client.stream.write_all(&wire::startup())?;
        match client.receive() {
            Answer::Ended(why) => Err(io::Error::other(why)),
            _ => Ok(client),
        }
    }

    /// Another handle of the same connection.
    pub fn handle(&self) -> Client {
        Client { stream: self.stream.try_clone().expect("a socket can be cloned") }
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&wire::query(statement))
    }

    /// Reads up to the next ReadyForQuery or the end.
    pub fn receive(&mut self) -> Answer {
        let mut answer = Answer::Empty;
        loop {
            match wire::read_message(&mut self.stream) {
                Ok((b'D', body)) => answer = Answer::Served(body[6.min(body.len())..].to_vec()),
                Ok((b'E', body)) => {
                    let fields = body.split(|byte| *byte == 0);
                    let code = fields.filter(|field| field.first() == Some(&b'C')).next().unwrap_or_default();
                    answer = Answer::Error(String::from_utf8_lossy(&code[1.min(code.len())..]).to_string());
                }
                Ok((b'Z', _)) => return answer,
                Ok(_) => {}
                Err(error) => {
                    return match answer {
                        Answer::Error(_) => answer,
                        _ => Answer::Ended(error.kind().to_string()),
                    };
                }
            }
        }
    }

    pub fn ask(&mut self, statement: &str) -> Answer {
        match self.send(statement) {
            Ok(()) => self.receive(),
            Err(error) => Answer::Ended(error.kind().to_string()),
        }
    }
}

/// One request on a connection of its own.
pub fn ask_once(address: SocketAddr, statement: &str) -> Answer {
    match Client::connect(address) {
        Ok(mut client) => client.ask(statement),
        Err(error) => Answer::Ended(error.kind().to_string()),
    }
}

/// Whether the proxy answers the front's empty query within `time`.
pub fn wait_until_ready(address: SocketAddr, time: Duration) -> bool {
    let until = std::time::Instant::now() + time;
    while std::time::Instant::now() < until {
        if ask_once(address, "") == Answer::Empty {
            return true;
        }
        crate::sleep_ms(50);
    }
    false
}
