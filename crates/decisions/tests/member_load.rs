//! How much work members are given by what is known of their load.

mod common;

use common::*;
use linenhill_decisions::api::*;

/// Guards against a slowness that all members share being taken for a fault of each: with limits cut below
/// what their cores bear they stood idle while requests were rejected.
#[test]
fn slow_members_are_kept_as_busy_as_their_cores() {
    let mut rig = Rig::new(Settings { fleet_size: 3, ..settings() });
    let round = |rig: &mut Rig| {
        let ids = [rig.ask(SESSION, 2_000, None), rig.ask(SESSION, 2_000, None)];
        let sent: Vec<Vec<u32>> = ids.iter().map(|id| rig.sends(*id)).collect();
        rig.wait(450);
        for (id, to) in ids.iter().zip(&sent) {
            if let Some(member) = to.first() {
                rig.answer(*id, 0, *member, Outcome::Ok, 450, None, Some(Role::Replica));
            }
        }
        rig.out.clear();
        sent
    };
    for _ in 0..60 {
        round(&mut rig);
    }
    let sent = round(&mut rig);
    assert!(sent.iter().all(|to| !to.is_empty()), "both replicas are given one at once: {sent:?}");
}

/// Guards against probes as new work at a member that drains.
#[test]
fn draining_member_is_not_probed() {
    let mut rig = Rig::new(settings());
    let drains = |member: u32| ListEntry { state: MemberState::Draining, ..entry(member) };
    rig.list(vec![drains(1), drains(2), drains(3)]);
    rig.out.clear();
    for _ in 0..20 {
        rig.ask(WRITE, 2_000, None);
        rig.wait(300);
    }
    assert_eq!(rig.probes(), 0);
}

/// Guards against a member that is held back for latencies it has at rest, though it reports idle processors;
/// and against one that reports busy ones and is given ever more.
#[test]
fn member_with_idle_processors_is_not_held_back() {
    let most_at_once = |utilisation: f64| {
        let mut rig = Rig::new(Settings { fleet_size: 3, ..settings() });
        let mut most = 0;
        for _ in 0..50 {
            // Four at once, each with a latency of nearly half the aim.
            let ids: Vec<RequestId> = (0..4).map(|_| rig.ask(SESSION, 2_000, None)).collect();
            let sent: Vec<usize> = ids.iter().map(|id| rig.sends(*id).len()).collect();
            most = sent.iter().sum();
            rig.wait(220);
            for id in &ids {
                rig.ends(*id, (Outcome::Ok, 220), utilisation, |_| true);
            }
            rig.wait(300);
            rig.out.clear();
        }
        most
    };
    assert_eq!(most_at_once(0.3), 4, "two replicas, two each");
    assert!(most_at_once(0.97) < 4, "strained, and busy by its own report");
}
