//! Limits on what keepers store and accept. Beyond a limit the sender gets a reply that says so, and other proxies'
//! quotas are unaffected.

use linenhill_cluster::protocol::{Body, Envelope, LeaseRequest};
use linenhill_cluster::raft_node::{Action, Event, RaftNode, TICK_US, initial_state};
use linenhill_cluster::store::{KeeperStore, StoreIdentity};
use linenhill_cluster::transport::InstanceIdentity;
use linenhill_decisions::membership::{LeaseTerms, MAX_SESSIONS, Membership, SessionRejected, SessionUpdate};
use linenhill_decisions::quota::{Budget, QuotaNeed, QuotaRequest};
use linenhill_lab::disk::MemoryDisk;
use linenhill_lab::simulation::operator_file;
use linenhill_settings::operator::Keeper;
use std::rc::Rc;

const BUDGET_NAME: &str = "b";
const KEEPER_NAME: &str = "k0";
const KEEPER_ID: u64 = 7;
/// Maximum number of requests that wait at a leader to be written.
const WAITING_REQUESTS_MAX: usize = 16_384;
/// Exceeds the frame size between keepers.
const TOO_LONG_BYTES: usize = 300 << 10;

fn identity(name: String, incarnation: u64) -> InstanceIdentity {
    InstanceIdentity { cluster: "lab".into(), name, incarnation, keepers: vec![KEEPER_NAME.into()] }
}

/// A fleet's only keeper, before it becomes leader.
fn single_keeper() -> RaftNode<usize> {
    let address = ([10, 0, 0, 1], 1).into();
    let budget = Budget { total: 9, floor: 1, burst: 0, outlives_us: 1, per_key: false };
    let terms = LeaseTerms { lease_us: 1_000_000, membership_us: 4_000_000, drift_ppm: 10_000 };
    let keepers = vec![Keeper { name: KEEPER_NAME.into(), address }];
    let operator = operator_file(keepers, terms, [(BUDGET_NAME.to_string(), budget)].into());
    let store_identity =
        StoreIdentity { id: KEEPER_ID, log_id: 8, name: KEEPER_NAME.into(), cluster: "lab".into() };
    let state = initial_state(KEEPER_ID, KEEPER_NAME, address);
    let store = KeeperStore::create_with_backend(MemoryDisk::default(), store_identity, Some(state))
        .expect("the store is created");
    let keeper_identity = Rc::new(identity(KEEPER_NAME.into(), KEEPER_ID));
    RaftNode::start(operator, keeper_identity, store, 0, 1).expect("the node starts")
}

/// A fleet's only keeper as leader, and the time on its clock.
fn leader() -> (RaftNode<usize>, u64) {
    let mut node = single_keeper();
    let mut now = 0;
    while node.leader_term().is_none() || node.state().quota.entries.is_empty() {
        now += TICK_US;
        node.handle(now, [Event::Tick]).expect("the tick is handled");
    }
    (node, now)
}

/// The first lease request of a proxy, with a version string of this length.
fn lease_request(proxy: usize, version_bytes: usize) -> Envelope {
    let need = QuotaNeed { in_use: 0, demand: 1 };
    let quota =
        QuotaRequest { seq: 1, needs: [(BUDGET_NAME.to_string(), need)].into(), ..QuotaRequest::default() };
    let version = "v".repeat(version_bytes);
    let request = LeaseRequest { quota, version, zone: String::new(), report: None };
    identity(format!("p{proxy}"), 1_000 + proxy as u64).envelope(0, Body::LeaseRequest(request))
}

fn is_rejection_to_sender_1(action: &Action<usize>) -> bool {
    matches!(action, Action::Reply(1, Envelope { body: Some(Body::LeaseRejected(_)), .. }))
}

fn is_not_leader_reply(action: &Action<usize>) -> bool {
    matches!(action, Action::Reply(_, Envelope { body: Some(Body::NotLeader(_)), .. }))
}

fn is_grant(action: &Action<usize>) -> bool {
    matches!(action, Action::Reply(_, Envelope { body: Some(Body::LeaseGranted(_)), .. }))
}

// Guards against an unbounded queue at a leader that can't write entries, and against a request that exceeds the
// frame size between keepers.
#[test]
fn requests_beyond_what_can_wait_are_redirected_and_long_ones_rejected() {
    let (mut node, now) = leader();
    let too_long = Event::Received(lease_request(0, TOO_LONG_BYTES), 1);
    let actions = node.handle(now + 1, [too_long]).expect("events are handled");
    assert!(actions.iter().any(is_rejection_to_sender_1), "the long request was not rejected");

    let requests = 20_000;
    let events = (0..requests).map(|proxy| Event::Received(lease_request(proxy, 0), proxy));
    let actions = node.handle(now + 2, events).expect("events are handled");
    let redirected = actions.iter().filter(|action| is_not_leader_reply(action)).count();
    assert!(
        (requests - WAITING_REQUESTS_MAX..requests).contains(&redirected),
        "{redirected} of {requests} requests were redirected"
    );

    // Queued requests are still answered as ticks go on.
    let mut granted = 0;
    for tick in 1..20 {
        let actions = node.handle(now + tick * TICK_US, [Event::Tick]).expect("the tick is handled");
        granted += actions.iter().filter(|action| is_grant(action)).count();
    }
    assert!(granted >= MAX_SESSIONS - 1, "{granted} of at least {} requests were granted", MAX_SESSIONS - 1);
    assert!(node.state().quota.membership.sessions.len() <= MAX_SESSIONS);
}

// Guards against an unbounded membership, and against rejecting new sessions for good once it was full.
#[test]
fn a_full_membership_rejects_newcomers_until_a_session_ends() {
    let mut membership = Membership::default();
    for proxy in 0..MAX_SESSIONS as u64 {
        let opened = membership.open_or_renew(&format!("p{proxy}"), proxy + 1, 1, None);
        assert_eq!(opened, Ok(SessionUpdate::Opened));
    }
    assert_eq!(membership.open_or_renew("late", 1 << 40, 1, None), Err(SessionRejected::TableFull));
    assert_eq!(
        membership.open_or_renew("p7", 1 << 41, 1, None),
        Ok(SessionUpdate::Opened),
        "a restarted proxy replaces its own session"
    );
    membership.sessions.remove("p9");
    assert_eq!(membership.open_or_renew("late", 1 << 40, 2, None), Ok(SessionUpdate::Opened));
}
