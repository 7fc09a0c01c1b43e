//! A keeper: one of three or five processes that hold the agreed log. Carries out what [`Node`] decides: sockets, its clock,
//! and the pace of its ticks.

use crate::clock;
use crate::node::{Action, Event, Node, TICK_US};
use crate::protocol::Envelope;
use crate::store::KeeperStore;
use crate::transport::{self, IncomingMessage, InstanceIdentity, PeerConnection};
use linenhill_settings::operator::Operator;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

pub use crate::node::{KeeperError, open};

/// Messages of others that wait here, and that are taken before the engine goes on: they share an entry and a sync.
const INBOX: usize = 4_096;
const BATCH: usize = 512;
/// Answers of those who were asked to let this one in.
const JOINED: usize = 8;

/// Runs a keeper until its disk or its engine fails.
pub async fn run(
    operator: Operator, name: &str, disk: KeeperStore, listener: TcpListener,
) -> Result<(), KeeperError> {
    let identity = Rc::new(InstanceIdentity {
        cluster: operator.cluster.clone(),
        name: name.to_string(),
        incarnation: disk.identity().id,
        keepers: operator.keepers.iter().map(|k| k.name.clone()).collect(),
    });
    let (inbox, mut came) = mpsc::channel(INBOX);
    spawn_local(transport::serve(listener, operator.allow.clone(), identity.clone(), inbox));
    let chance = fastrand::Rng::new().u64(..);
    let mut node = Node::start(operator, identity.clone(), disk, clock::now(), chance)?;
    let mut tick = interval(Duration::from_micros(TICK_US));
    tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (joined, mut answers) = mpsc::channel(JOINED);
    let mut peers: BTreeMap<u64, PeerConnection> = BTreeMap::new();
    let event = |IncomingMessage { envelope, reply }: IncomingMessage| Event::Came(envelope, reply);
    loop {
        let mut events = Vec::new();
        let due = node.due();
        tokio::select! {
            () = sleep(clock::duration_until(due.unwrap_or(0))), if due.is_some() => {}
            _ = tick.tick() => events.push(Event::Tick),
            Some(answer) = answers.recv() => events.push(Event::Joined(answer)),
            Some(incoming) = came.recv() => {
                events.push(event(incoming));
                events.extend((0..BATCH).map_while(|_| came.try_recv().ok()).map(event));
            }
        }
        for action in node.handle(clock::now(), events)? {
            match action {
                Action::Answer(reply, say) => _ = reply.try_send(say),
                Action::Send(to, say) => {
                    if !peers.get(&to).is_some_and(|peer| peer.send(say)) {
                        node.unreachable(to);
                    }
                }
                Action::Peers(now) => {
                    peers.retain(|id, peer| now.get(id) == Some(&peer.address));
                    for (id, address) in now {
                        peers.entry(id).or_insert_with(|| PeerConnection::start(address, identity.clone()));
                    }
                }
                Action::AskToJoin(address, say) => _ = spawn_local(ask(address, say, joined.clone())),
            }
        }
    }
}

async fn ask(address: std::net::SocketAddr, say: Envelope, joined: mpsc::Sender<Envelope>) {
    if let Ok(answer) = transport::call(address, say).await {
        let _ = joined.send(answer).await;
    }
}
