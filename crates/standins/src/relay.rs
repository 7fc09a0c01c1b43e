//! A relay that stands for the network between two instances. It can hold back either direction without a sign, delay and
//! reset. It never changes, reorders or loses a byte of a connection that goes on.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The most bytes that are passed on as one piece, and delayed as one.
const PIECE_BYTES: usize = 16 * 1024;

/// What is wrong with the network between two instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkFaults {
    /// Nothing that the connecting side sends reaches the target, and nothing says so. Connections are accepted all the
    /// same.
    pub holds_requests: bool,
    /// Nothing that the target sends reaches the connecting side.
    pub holds_replies: bool,
    /// Each piece takes so much longer.
    pub delay: Duration,
    /// Counts resets: each change ends all open connections.
    pub resets: u32,
}

impl NetworkFaults {
    /// Nothing is wrong.
    pub const NONE: NetworkFaults =
        NetworkFaults { holds_requests: false, holds_replies: false, delay: Duration::ZERO, resets: 0 };

    /// Sets which directions carry nothing.
    pub fn hold(&mut self, requests: bool, replies: bool) {
        self.holds_requests = requests;
        self.holds_replies = replies;
    }

    /// Has nothing pass in either direction.
    pub fn hold_both(&mut self) {
        self.hold(true, true);
    }
}

/// A relay between the side that connects and a target. It ends with the task set that it runs in.
pub struct Relay {
    /// Where one side connects.
    pub address: SocketAddr,
    faults: watch::Sender<NetworkFaults>,
    target: watch::Sender<Option<SocketAddr>>,
}

impl Relay {
    /// Starts a relay without a target: it closes the connections that it accepts.
    ///
    /// # Errors
    /// No port could be bound.
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

    /// Sets where new connections lead.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Changes the faults, for open connections as well.
    pub fn change_faults(&self, change: impl FnOnce(&mut NetworkFaults)) {
        self.faults.send_modify(change);
    }
}

/// Passes bytes between both sides until one of them closes, or a reset.
async fn relay_connection(near: TcpStream, target: SocketAddr, faults: watch::Receiver<NetworkFaults>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    // A relay that adds its own delay is slow, and no reason to fail.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let resets = faults.borrow().resets;
    let mut reset = faults.clone();
    tokio::select! {
        () = relay_direction(near_in, far_out, faults.clone(), |faults| faults.holds_requests) => {}
        () = relay_direction(far_in, near_out, faults, |faults| faults.holds_replies) => {}
        _ = reset.wait_for(|faults| faults.resets != resets) => {}
    }
}

async fn relay_direction(
    mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut faults: watch::Receiver<NetworkFaults>,
    is_held: impl Fn(&NetworkFaults) -> bool,
) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let length = match from.read(&mut piece).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        let Ok(delay) = faults.wait_for(|now| !is_held(now)).await.map(|now| now.delay) else { return };
        sleep(delay).await;
        if to.write_all(&piece[..length]).await.is_err() {
            return;
        }
    }
}
