//! Clients of a cluster's proxies, running until the end of the test or for a given time.

use super::Cluster;
use crate::harness::{encode, query_command};
use linenhill::pg::backend::Command;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Time that a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause of a client between two statements.
const PAUSE: Duration = Duration::from_millis(5);
/// ReadyForQuery while no transaction is open; ends the response to the startup message and to a statement.
const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

impl Cluster {
    /// Starts writing clients, `clients` at each proxy.
    pub fn start_writers(&self, clients: usize) {
        self.start_writers_at(0..self.proxies.len(), clients);
    }

    /// Starts writing clients, `clients` at each proxy of the range.
    pub fn start_writers_at(&self, proxies: Range<usize>, clients: usize) {
        for proxy in proxies {
            self.start_writers_until(proxy, clients, None);
        }
    }

    /// Starts writing clients at one proxy, which stop after `length`.
    pub fn start_writers_for(&self, proxy: usize, clients: usize, length: Duration) {
        self.start_writers_until(proxy, clients, Some(Instant::now() + length));
    }

    fn start_writers_until(&self, proxy: usize, clients: usize, end: Option<Instant>) {
        for client in 0..clients {
            self.start_client(proxy, end, move |round| write_statement(&format!("{proxy}x{client}x{round}")));
        }
    }

    /// Starts reading clients, `clients` at each proxy.
    pub fn start_readers(&self, clients: usize) {
        for client in 0..self.proxies.len() * clients {
            let proxy = client % self.proxies.len();
            self.start_client(proxy, None, move |round| read_statement(&format!("{client}r{round}")));
        }
    }

    /// Starts a client that sends statements one after another, each on a new connection, until `end`.
    fn start_client(&self, proxy: usize, end: Option<Instant>, statement: impl Fn(u64) -> String + 'static) {
        let addresses = self.addresses.clone();
        spawn_local(async move {
            for round in 0u64.. {
                if end.is_some_and(|end| Instant::now() >= end) {
                    return;
                }
                let address = addresses.borrow()[proxy];
                if let Some(address) = address {
                    let _ = timeout(CLIENT_TIMEOUT, send_statement(address, &statement(round))).await;
                }
                sleep(PAUSE).await;
            }
        });
    }

    /// Sends one read to a proxy and waits for its response.
    pub async fn read_once(&self, proxy: usize, number: usize) {
        let address = self.addresses.borrow()[proxy].expect("address of a started proxy");
        let read = read_statement(&format!("l{proxy}x{number}"));
        send_statement(address, &read).await.expect("response to a read");
    }
}

fn read_statement(id: &str) -> String {
    format!("/* id={id},c=list,d=900,cluster=1 */ SELECT val FROM state WHERE uid = 'a'")
}

fn write_statement(id: &str) -> String {
    format!(
        "/* id={id},c=order,d=900,k={id},cluster=1 */ INSERT INTO state VALUES ('{id}', 'x') RETURNING val"
    )
}

/// Sends a statement on a new connection and waits for its response, which may be an error, or for the end of the
/// connection.
async fn send_statement(address: SocketAddr, statement: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&encode(&[Command::Startup, query_command(statement)])).await?;
    let mut received = Vec::new();
    while received.windows(READY_FOR_QUERY.len()).filter(|bytes| *bytes == READY_FOR_QUERY).count() < 2 {
        let mut buffer = [0; 1024];
        match stream.read(&mut buffer).await? {
            0 => break,
            length => received.extend_from_slice(&buffer[..length]),
        }
    }
    Ok(())
}
