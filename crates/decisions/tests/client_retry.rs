//! How long clients have been retrying, by the timeouts of their requests; and the work that is dropped
//! because of it.

mod common;

use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::client_retry::ClientRetryEstimator;

const GIVE_UP: u64 = 1_500 * MS;
const AIM: u64 = 500 * MS;
const WORK: f64 = 100_000.0;

/// Guards against last attempts that are served for nothing under overload, in the place of requests that can
/// be in time.
#[test]
fn unusual_timeout_is_what_remains_to_the_client() {
    let (mut estimator, mut rng) =
        (ClientRetryEstimator::new([GIVE_UP].into_iter()), fastrand::Rng::with_seed(11));
    let (mut firsts, mut late, mut early) = (0, 0, 0);
    for n in 0..4_000usize {
        let way = rng.u64(0..6) * MS;
        if n % 4 < 3 {
            firsts += u32::from(estimator.objective_left(0, 800 * MS - way, AIM, WORK) == Some(AIM));
        } else if n % 8 == 3 {
            // Begun 460 to 1,200 ms ago: nothing can be in time.
            let left = [rng.u64(300..780), rng.u64(820..1_040)][n / 8 % 2] * MS;
            late += u32::from(estimator.objective_left(0, left, AIM, WORK).is_none());
        } else {
            // Begun 100 to 300 ms ago: the rest of the aim is there.
            let left = rng.u64(1_200..1_400) * MS;
            early += u32::from(estimator.objective_left(0, left, AIM, WORK) == Some(AIM + left - GIVE_UP));
        }
    }
    assert!(firsts >= 2_990, "{firsts} of 3000 first tries keep their time");
    assert!(late >= 450 && early >= 450, "{late} and {early} of 500 last tries are known");
}

/// Guards against clients that are starved because they are of another kind or have a timeout of their own
/// each, and against figures that nobody can mean.
#[test]
fn nothing_is_concluded_without_a_usual_timeout() {
    let mut rng = fastrand::Rng::with_seed(12);
    let mut kinds = ClientRetryEstimator::new([GIVE_UP].into_iter());
    let mut each = ClientRetryEstimator::new([GIVE_UP].into_iter());
    let mut untold = ClientRetryEstimator::new([0].into_iter());
    let mut hasty = ClientRetryEstimator::new([GIVE_UP].into_iter());
    let (mut hurt, mut untold_hurt, mut each_hurt, mut hasty_hurt) = (0, 0, 0, 0);
    for n in 0..5_000u64 {
        // One in ten is of a kind that waits for 300 ms only.
        let left = (if n % 10 == 0 { 300 } else { 900 }) * MS - rng.u64(0..3) * MS;
        hurt += u32::from(n >= 200 && kinds.objective_left(0, left, AIM, WORK) != Some(AIM));
        each_hurt += u32::from(each.objective_left(0, rng.u64(1..1_500) * MS, AIM, WORK) != Some(AIM));
        // One in ten is in a hurry, each in its own, and nobody ever waits for longer than usual.
        let hurry = if n % 10 == 0 { rng.u64(100..850) } else { 900 } * MS;
        hasty_hurt += u32::from(hasty.objective_left(0, hurry, AIM, WORK) != Some(AIM));
        untold_hurt += u32::from(untold.objective_left(0, rng.u64(0..2) * u64::MAX, AIM, WORK) != Some(AIM));
    }
    assert_eq!((hurt, each_hurt, untold_hurt, hasty_hurt), (0, 0, 0, 0));
}

/// Guards against last attempts that take a busy member's capacity, and against rejecting them where there is
/// enough.
#[test]
fn last_attempt_needs_spare_capacity() {
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
