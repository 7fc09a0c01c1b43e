//! How long clients have waited already, by how long their requests say they will wait; and work that is let go for it.

mod common;

use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::client_retry::ClientRetryEstimator;

const GIVE_UP: u64 = 1_500 * MS;
const AIM: u64 = 500 * MS;
const WORK: f64 = 100_000.0;

// Guards against last tries that are served for nothing under overload, in the place of requests that can be in time.
#[test]
fn a_wait_that_is_not_the_usual_one_is_the_rest_of_a_clients_time() {
    let (mut estimator, mut rng) =
        (ClientRetryEstimator::new([GIVE_UP].into_iter()), fastrand::Rng::with_seed(11));
    let (mut firsts, mut late, mut early) = (0, 0, 0);
    for n in 0..4_000usize {
        let way = rng.u64(0..6) * MS;
        if n % 4 < 3 {
            firsts += u32::from(estimator.rest(0, 800 * MS - way, AIM, WORK) == Some(AIM));
        } else if n % 8 == 3 {
            // Begun 460 to 1,200 ms ago: nothing can be in time.
            let left = [rng.u64(300..780), rng.u64(820..1_040)][n / 8 % 2] * MS;
            late += u32::from(estimator.rest(0, left, AIM, WORK).is_none());
        } else {
            // Begun 100 to 300 ms ago: the rest of the aim is there.
            let left = rng.u64(1_200..1_400) * MS;
            early += u32::from(estimator.rest(0, left, AIM, WORK) == Some(AIM + left - GIVE_UP));
        }
    }
    assert!(firsts >= 2_990, "{firsts} of 3000 first tries keep their time");
    assert!(late >= 450 && early >= 450, "{late} and {early} of 500 last tries are known");
}

// Guards against clients that are starved for being another kind, for deadlines of their own each, or by a figure that
// nobody can mean.
#[test]
fn nothing_is_concluded_of_kinds_of_clients_nor_where_no_wait_is_usual() {
    let mut rng = fastrand::Rng::with_seed(12);
    let mut kinds = ClientRetryEstimator::new([GIVE_UP].into_iter());
    let mut each = ClientRetryEstimator::new([GIVE_UP].into_iter());
    let mut untold = ClientRetryEstimator::new([0].into_iter());
    let mut hasty = ClientRetryEstimator::new([GIVE_UP].into_iter());
    let (mut hurt, mut untold_hurt, mut each_hurt, mut hasty_hurt) = (0, 0, 0, 0);
    for n in 0..5_000u64 {
        // One in ten is of a kind that waits for 300 ms only.
        let left = (if n % 10 == 0 { 300 } else { 900 }) * MS - rng.u64(0..3) * MS;
        hurt += u32::from(n >= 200 && kinds.rest(0, left, AIM, WORK) != Some(AIM));
        each_hurt += u32::from(each.rest(0, rng.u64(1..1_500) * MS, AIM, WORK) != Some(AIM));
        // One in ten is in a hurry, each in its own, and nobody ever waits for longer than usual.
        let hurry = if n % 10 == 0 { rng.u64(100..850) } else { 900 } * MS;
        hasty_hurt += u32::from(hasty.rest(0, hurry, AIM, WORK) != Some(AIM));
        untold_hurt += u32::from(untold.rest(0, rng.u64(0..2) * u64::MAX, AIM, WORK) != Some(AIM));
    }
    assert_eq!((hurt, each_hurt, untold_hurt, hasty_hurt), (0, 0, 0, 0));
}

// Guards against last tries that take a busy member's room, and against refusing them where there is enough.
#[test]
fn a_last_try_goes_only_where_there_is_room_to_spare() {
    let mut s = settings();
    s.classes[ANY.0] = Class { give_up: Span(GIVE_UP), late_worth: 0.0, ..s.classes[ANY.0].clone() };
    let mut rig = Rig::new(s);
    for _ in 0..100 {
        let id = rig.ask(ANY, 800, None);
        let member = *rig.sends(id).last().expect("sent");
        rig.answer(id, 0, member, Outcome::Ok, 20, None, Some(Role::Replica));
        rig.out.clear();
    }
    let idle = rig.ask(ANY, 400, None);
    assert_eq!(rig.sends(idle).len(), 1, "members are idle: it is served");
    // Some that wait for longer than usual show that the unusual ones are rests.
    for n in 0..4 {
        let id = rig.ask(ANY, 900 + 100 * n, None);
        let member = *rig.sends(id).last().expect("sent");
        rig.answer(id, 0, member, Outcome::Ok, 20, None, Some(Role::Replica));
    }
    // Ordinary requests still find room, and the last try of a long one doesn't.
    let busy: Vec<RequestId> = (0..6).map(|_| rig.ask(ANY, 800, None)).collect();
    assert!(busy.iter().all(|id| rig.sends(*id).len() == 1));
    let late = rig.ask(ANY, 400, None);
    assert_eq!((rig.sends(late).len(), rig.finals(late)), (0, 1), "refused at once");
    let ordinary = rig.ask(ANY, 800, None);
    assert_eq!(rig.finals(ordinary), 0);
}

// Guards against a slowness that all members share and that looks like the illness of each: with limits cut below what
// their cores bear they stood idle while requests were refused.
#[test]
fn slow_members_are_kept_as_busy_as_their_cores_by_all_routers_together() {
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

// Guards against probes as new work at a member that drains.
#[test]
fn a_member_that_drains_is_not_probed() {
    let mut rig = Rig::new(settings());
    let drains = |m: u32| ListEntry { state: MemberState::Draining, ..entry(m) };
    rig.list(vec![drains(1), drains(2), drains(3)]);
    rig.out.clear();
    for _ in 0..20 {
        rig.ask(WRITE, 2_000, None);
        rig.wait(300);
    }
    assert_eq!(rig.probes(), 0);
}

// Guards against a member that is held back for latencies it has at rest, though it says its processors are idle; and
// against one that says they are busy and is given ever more.
#[test]
fn a_member_that_says_it_is_idle_is_not_held_back() {
    let play = |util: f64| {
        let mut rig = Rig::new(Settings { fleet_size: 3, ..settings() });
        let mut most = 0;
        for _ in 0..50 {
            // Four at once, each with a latency of nearly half the aim.
            let ids: Vec<RequestId> = (0..4).map(|_| rig.ask(SESSION, 2_000, None)).collect();
            let sent: Vec<usize> = ids.iter().map(|id| rig.sends(*id).len()).collect();
            most = sent.iter().sum();
            rig.wait(220);
            for id in &ids {
                rig.ends(*id, (Outcome::Ok, 220), util, |_| true);
            }
            rig.wait(300);
            rig.out.clear();
        }
        most
    };
    assert_eq!(play(0.3), 4, "two replicas, two each");
    assert!(play(0.97) < 4, "strained, and busy by its own word");
}
