//! A TCP relay that simulates the network between two instances. It can hold back data in either direction without
//! closing the connection, delay it, and close connections. While a connection is open, no byte is changed, reordered
//! or lost.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Maximum number of bytes that are read, delayed and forwarded together.
const CHUNK_BYTES: usize = 16 * 1024;

/// Faults of the network between two instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkFaults {
    /// Whether data from the client to the target is held back. Connections are still accepted.
    pub holds_requests: bool,
    /// Whether data from the target to the client is held back.
    pub holds_replies: bool,
    /// Additional delay of each chunk of data.
    pub delay: Duration,
    /// Counts resets: each change closes all open connections.
    pub resets: u32,
}

impl NetworkFaults {
    /// No faults.
    pub const NONE: NetworkFaults =
        NetworkFaults { holds_requests: false, holds_replies: false, delay: Duration::ZERO, resets: 0 };

    /// Sets in which directions data is held back.
    pub fn hold(&mut self, requests: bool, replies: bool) {
        self.holds_requests = requests;
        self.holds_replies = replies;
    }

    /// Holds back data in both directions.
    pub fn hold_both(&mut self) {
        self.hold(true, true);
    }
}

/// A relay between a client and a target. It ends with the `LocalSet` that it was started in.
pub struct Relay {
    /// Address for clients to connect to.
    pub address: SocketAddr,
    faults: watch::Sender<NetworkFaults>,
    target: watch::Sender<Option<SocketAddr>>,
}

impl Relay {
    /// Starts a relay on a free port of 127.0.0.1. Without a target it closes accepted connections at once.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (faults, current_faults) = watch::channel(NetworkFaults::NONE);
        let (target, current_target) = watch::channel(None);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(target) = *current_target.borrow() else { continue };
                spawn_local(relay_connection(stream, target, current_faults.clone()));
            }
        });
        Ok(Relay { address, faults, target })
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Changes the faults, also for open connections.
    pub fn change_faults(&self, change: impl FnOnce(&mut NetworkFaults)) {
        self.faults.send_modify(change);
    }
}

/// Forwards bytes in both directions until one side closes the connection or `resets` changes.
async fn relay_connection(client: TcpStream, target: SocketAddr, faults: watch::Receiver<NetworkFaults>) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    // Without TCP_NODELAY the relay only adds latency, so errors are ignored.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let resets = faults.borrow().resets;
    let mut reset = faults.clone();
    tokio::select! {
        () = relay_direction(client_reader, server_writer, faults.clone(), |faults| faults.holds_requests) => {}
        () = relay_direction(server_reader, client_writer, faults, |faults| faults.holds_replies) => {}
        _ = reset.wait_for(|faults| faults.resets != resets) => {}
    }
}

async fn relay_direction(
    mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf, mut faults: watch::Receiver<NetworkFaults>,
    is_held: impl Fn(&NetworkFaults) -> bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = match reader.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        let Ok(delay) = faults.wait_for(|now| !is_held(now)).await.map(|now| now.delay) else { return };
        sleep(delay).await;
        if writer.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
