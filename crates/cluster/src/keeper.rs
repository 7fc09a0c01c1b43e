//! The event loop of a keeper, one of the three or five processes that replicate the log.
//!
//! Passes received messages, the time and ticks to [`RaftNode`], and carries out its actions in order. Must not
//! interpret the content of messages.

use crate::clock;
use crate::protocol::Envelope;
use crate::raft_node::{Action, Event, RaftNode, TICK_US};
use crate::store::KeeperStore;
use crate::transport::{self, IncomingMessage, InstanceIdentity, PeerConnection};
use linenhill_settings::operator::Operator;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

pub use crate::raft_node::{KeeperError, open_store};

/// Capacity of the queue of received messages.
const INBOX_LENGTH: usize = 4_096;
/// A call of the node handles one received message and at most this many more. Their commands share log entries and
/// syncs of the store.
const MAX_BATCH: usize = 512;
/// Capacity of the queue of replies to join requests.
const JOIN_REPLIES_LENGTH: usize = 8;

/// Queue for replies to the sender of a message.
type ReplySender = mpsc::Sender<Envelope>;

/// Runs a keeper. Returns only with an error.
///
/// # Errors
/// The store or the Raft engine failed, or a snapshot cannot be decoded.
pub async fn run(
    operator: Operator, name: &str, store: KeeperStore, listener: TcpListener,
) -> Result<(), KeeperError> {
    let identity = Rc::new(InstanceIdentity {
        cluster: operator.cluster.clone(),
        name: name.to_string(),
        incarnation: store.identity().id,
        keepers: operator.keepers.iter().map(|keeper| keeper.name.clone()).collect(),
    });
    let (inbox, mut received) = mpsc::channel(INBOX_LENGTH);
    spawn_local(transport::serve(listener, operator.allow.clone(), identity.clone(), inbox));
    let seed = fastrand::Rng::new().u64(..);
    let mut node = RaftNode::start(operator, identity.clone(), store, clock::now(), seed)?;
    let mut tick = interval(Duration::from_micros(TICK_US));
    tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (join_reply_sender, mut join_replies) = mpsc::channel(JOIN_REPLIES_LENGTH);
    let mut connections = Connections { identity, peers: BTreeMap::new(), join_reply_sender };
    loop {
        let mut events = Vec::new();
        let next_call_at = node.next_call_at();
        tokio::select! {
            () = sleep(clock::duration_until(next_call_at.unwrap_or(0))), if next_call_at.is_some() => {}
            _ = tick.tick() => events.push(Event::Tick),
            Some(answer) = join_replies.recv() => events.push(Event::JoinReply(answer)),
            Some(message) = received.recv() => {
                events.push(received_event(message));
                let further = (0..MAX_BATCH).map_while(|_| received.try_recv().ok());
                events.extend(further.map(received_event));
            }
        }
        for action in node.handle(clock::now(), events)? {
            connections.carry_out(action, &mut node);
        }
    }
}

fn received_event(message: IncomingMessage) -> Event<ReplySender> {
    Event::Received(message.envelope, message.reply)
}

/// A keeper's connections to the other keepers.
struct Connections {
    identity: Rc<InstanceIdentity>,
    /// Connections by Raft identifier.
    peers: BTreeMap<u64, PeerConnection>,
    join_reply_sender: mpsc::Sender<Envelope>,
}

impl Connections {
    fn carry_out(&mut self, action: Action<ReplySender>, node: &mut RaftNode<ReplySender>) {
        match action {
            // The reply is dropped if its queue is full or its connection is closed. Senders have a timeout.
            Action::Reply(reply, envelope) => _ = reply.try_send(envelope),
            Action::Send(id, envelope) => {
                let is_sent = self.peers.get(&id).is_some_and(|peer| peer.send(envelope));
                if !is_sent {
                    node.report_unreachable(id);
                }
            }
            Action::SetPeers(addresses) => self.set_peers(addresses),
            Action::RequestJoin(address, envelope) => {
                spawn_local(request_join(address, envelope, self.join_reply_sender.clone()));
            }
        }
    }

    /// Keeps connections whose address is unchanged, closes all others and opens the missing ones.
    fn set_peers(&mut self, addresses: BTreeMap<u64, SocketAddr>) {
        self.peers.retain(|id, peer| addresses.get(id) == Some(&peer.address));
        for (id, address) in addresses {
            let identity = &self.identity;
            self.peers.entry(id).or_insert_with(|| PeerConnection::start(address, identity.clone()));
        }
    }
}

async fn request_join(address: SocketAddr, envelope: Envelope, replies: mpsc::Sender<Envelope>) {
    // Failures are ignored: the node repeats its join requests.
    if let Ok(answer) = transport::call(address, envelope).await {
        let _ = replies.send(answer).await;
    }
}
