//! Who may speak to an instance, and how much: strangers are bounded before memory is set aside for them.

use futures_util::{SinkExt, StreamExt};
use linenhill_cluster::protocol::{Body, Empty, JoinRequest, MAX_FRAME_BYTES};
use linenhill_cluster::transport::{self, IncomingMessage, InstanceIdentity};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

fn identity(name: &str) -> InstanceIdentity {
    let keepers = vec!["k0".to_string(), "k1".to_string()];
    InstanceIdentity { cluster: "test".into(), name: name.into(), incarnation: 1, keepers }
}

async fn serving(allow: &str) -> (SocketAddr, mpsc::Receiver<IncomingMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let (inbox, came) = mpsc::channel(8);
    spawn_local(transport::serve(
        listener,
        vec![allow.parse().expect("a prefix")],
        Rc::new(identity("k0")),
        inbox,
    ));
    (at, came)
}

fn play(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(work));
}

fn long() -> Body {
    Body::Join(JoinRequest { address: "a".repeat(MAX_FRAME_BYTES + 1) })
}

// Guards against a stranger that makes an instance set memory aside by the length that it declares, and against keepers
// whose snapshots don't get through.
#[test]
fn only_keepers_send_long_frames() {
    play(async {
        let (at, mut came) = serving("127.0.0.0/8").await;
        let mut stranger = transport::connect(at).await.expect("a connection");
        let _ = stranger.send(identity("p9").envelope(0, long())).await;
        assert!(!matches!(stranger.next().await, Some(Ok(_))), "the connection ends");
        assert!(came.try_recv().is_err());
        let mut keeper = transport::connect(at).await.expect("a connection");
        keeper.send(identity("k1").envelope(0, Body::Ping(Empty {}))).await.expect("sent");
        assert!(keeper.next().await.is_some_and(|pong| pong.is_ok()));
        keeper.send(identity("k1").envelope(0, long())).await.expect("sent");
        assert_eq!(came.recv().await.expect("it came").envelope.from, "k1");
    });
}

// Guards against instances outside the allowed prefixes, of another fleet, or of another version of the protocol.
#[test]
fn strangers_are_not_heard() {
    play(async {
        let (at, mut came) = serving("10.0.0.0/8").await;
        let ask = || identity("p1").envelope(0, Body::StatusRequest(Empty {}));
        assert!(transport::call(at, ask()).await.is_err());
        assert!(came.try_recv().is_err());
        let (at, mut came) = serving("127.0.0.0/8").await;
        let other = linenhill_cluster::protocol::Envelope { cluster: "other".into(), ..ask() };
        let newer = linenhill_cluster::protocol::Envelope { version: 99, ..ask() };
        for wrong in [other, newer] {
            assert!(transport::call(at, wrong).await.is_err());
        }
        assert!(came.try_recv().is_err());
    });
}
