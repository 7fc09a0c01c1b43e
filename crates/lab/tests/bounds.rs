//! What keepers keep and take is bounded, and beyond a bound whoever asks hears so; nobody else's share suffers.

use linenhill_cluster::protocol::{Body, Envelope, LeaseRequest};
use linenhill_cluster::raft_node::{Action, Event, RaftNode, TICK_US, initial_state};
use linenhill_cluster::store::{self, KeeperStore};
use linenhill_cluster::transport::InstanceIdentity;
use linenhill_decisions::membership::{LeaseTerms, MAX_SESSIONS, Membership, SessionRejected, SessionUpdate};
use linenhill_decisions::quota::{Budget, QuotaNeed, QuotaRequest};
use linenhill_lab::disk::Image;
use linenhill_lab::together::operator;
use linenhill_settings::operator::Keeper;
use std::rc::Rc;

fn identity(name: String, incarnation: u64) -> InstanceIdentity {
    InstanceIdentity { cluster: "lab".into(), name, incarnation, keepers: vec!["k0".into()] }
}

/// A keeper that leads by itself, and its clock.
fn leader() -> (RaftNode<usize>, u64) {
    let address = ([10, 0, 0, 1], 1).into();
    let budget = Budget { total: 9, floor: 1, burst: 0, outlives_us: 1, per_key: false };
    let terms = LeaseTerms { lease_us: 1_000_000, membership_us: 4_000_000, drift_ppm: 10_000 };
    let keepers = vec![Keeper { name: "k0".into(), address }];
    let operator = operator(keepers, terms, [("b".to_string(), budget)].into());
    let whose = store::StoreIdentity { id: 7, log_id: 8, name: "k0".into(), cluster: "lab".into() };
    let disk =
        KeeperStore::create_with_backend(Image::default(), whose, Some(initial_state(7, "k0", address)))
            .expect("a store");
    let mut node = RaftNode::start(operator, Rc::new(identity("k0".into(), 7)), disk, 0, 1).expect("a node");
    let mut now = 0;
    while node.leader_term().is_none() || node.state().quota.entries.is_empty() {
        now += TICK_US;
        node.handle(now, [Event::Tick]).expect("a tick");
    }
    (node, now)
}

fn asks(i: usize, bytes: usize) -> Envelope {
    let need = QuotaNeed { in_use: 0, demand: 1 };
    let ask = QuotaRequest { seq: 1, needs: [("b".to_string(), need)].into(), ..QuotaRequest::default() };
    let body = LeaseRequest { quota: ask, version: "v".repeat(bytes), zone: String::new(), report: None };
    identity(format!("p{i}"), 1_000 + i as u64).envelope(0, Body::LeaseRequest(body))
}

// Guards against requests that wait without bound at a leader that can't write entries, and against one that is too long
// for the frames between keepers.
#[test]
fn requests_beyond_what_can_wait_are_sent_away_and_long_ones_refused() {
    let (mut node, now) = leader();
    let long = node.handle(now + 1, [Event::Received(asks(0, 300 << 10), 1)]).expect("handled");
    let refused = |a: &Action<usize>| {
        matches!(a, Action::Reply(1, Envelope { body: Some(Body::LeaseRejected(_)), .. }))
    };
    assert!(long.iter().any(refused));
    let many = 20_000;
    let events = (0..many).map(|i| Event::Received(asks(i, 0), i));
    let actions = node.handle(now + 2, events).expect("handled");
    let away =
        |a: &&Action<usize>| matches!(a, Action::Reply(_, Envelope { body: Some(Body::NotLeader(_)), .. }));
    let sent_away = actions.iter().filter(away).count();
    assert!((many - 16_384..many).contains(&sent_away), "{sent_away} of {many}");
    // Those that wait are answered all the same, once there is time to write.
    let mut granted = 0;
    for tick in 1..20 {
        let actions = node.handle(now + tick * TICK_US, [Event::Tick]).expect("a tick");
        let grant = |a: &&Action<usize>| {
            matches!(a, Action::Reply(_, Envelope { body: Some(Body::LeaseGranted(_)), .. }))
        };
        granted += actions.iter().filter(grant).count();
    }
    assert!(granted >= MAX_SESSIONS - 1, "{granted} were granted");
    assert!(node.state().quota.membership.sessions.len() <= MAX_SESSIONS);
}

// Guards against a membership without end, and against seats that are refused for ever once it was full.
#[test]
fn a_full_membership_refuses_newcomers_until_somebody_leaves() {
    let mut membership = Membership::default();
    for i in 0..MAX_SESSIONS as u64 {
        assert_eq!(membership.open_or_renew(&format!("p{i}"), i + 1, 1, None), Ok(SessionUpdate::Opened));
    }
    assert_eq!(membership.open_or_renew("late", 1 << 40, 1, None), Err(SessionRejected::TableFull));
    assert_eq!(
        membership.open_or_renew("p7", 1 << 41, 1, None),
        Ok(SessionUpdate::Opened),
        "a restart needs no new session"
    );
    membership.sessions.remove("p9");
    assert_eq!(membership.open_or_renew("late", 1 << 40, 2, None), Ok(SessionUpdate::Opened));
}
