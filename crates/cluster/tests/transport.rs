//! Checks of the sender and limits of the frame size, which apply before memory is allocated.

use futures_util::{SinkExt, StreamExt};
use linenhill_cluster::protocol::{Body, Empty, Envelope, JoinRequest, MAX_FRAME_BYTES};
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

/// Starts a server that accepts the prefix `allowed`. Returns its address and the messages that it receives.
async fn start_server(allowed: &str) -> (SocketAddr, mpsc::Receiver<IncomingMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (inbox, received) = mpsc::channel(8);
    let allowed = vec![allowed.parse().expect("a prefix")];
    spawn_local(transport::serve(listener, allowed, Rc::new(identity("k0")), inbox));
    (address, received)
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(test));
}

fn oversized_message() -> Body {
    Body::Join(JoinRequest { address: "a".repeat(MAX_FRAME_BYTES + 1) })
}

/// Guards against allocating the declared length of a frame from an arbitrary sender, and against rejecting the
/// snapshots of keepers.
#[test]
fn only_keepers_send_long_frames() {
    run_local(async {
        let (address, mut received) = start_server("127.0.0.0/8").await;
        let mut proxy = transport::connect(address).await.expect("a connection");
        let _ = proxy.send(identity("p9").envelope(0, oversized_message())).await;
        assert!(!matches!(proxy.next().await, Some(Ok(_))), "the connection is closed");
        assert!(received.try_recv().is_err());
        let mut keeper = transport::connect(address).await.expect("a connection");
        keeper.send(identity("k1").envelope(0, Body::Ping(Empty {}))).await.expect("sent");
        assert!(keeper.next().await.is_some_and(|pong| pong.is_ok()));
        keeper.send(identity("k1").envelope(0, oversized_message())).await.expect("sent");
        assert_eq!(received.recv().await.expect("a message").envelope.from, "k1");
    });
}

/// Guards against accepting messages from instances outside the allowed prefixes.
#[test]
fn other_prefixes_are_rejected() {
    run_local(async {
        let (address, mut received) = start_server("10.0.0.0/8").await;
        let request = identity("p1").envelope(0, Body::StatusRequest(Empty {}));
        assert!(transport::call(address, request).await.is_err());
        assert!(received.try_recv().is_err());
    });
}

/// Guards against accepting messages of another fleet or of another version of the protocol.
#[test]
fn other_fleets_and_versions_are_rejected() {
    run_local(async {
        let (address, mut received) = start_server("127.0.0.0/8").await;
        let request = || identity("p1").envelope(0, Body::StatusRequest(Empty {}));
        let other_fleet = Envelope { cluster: "other".into(), ..request() };
        let newer_version = Envelope { version: 99, ..request() };
        for wrong in [other_fleet, newer_version] {
            assert!(transport::call(address, wrong).await.is_err());
        }
        assert!(received.try_recv().is_err());
    });
}
