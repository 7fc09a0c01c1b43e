//! How long clients have been retrying, by the timeouts of their requests; and the work that is dropped
//! because of it.

mod common;

use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::client_retry::ClientRetryEstimator;

const GIVE_UP: u64 = 1_500 * MS;
const AIM: u64 = 500 * MS;
const WORK: f64 = 100_000.0;

/// One class whose clients give up after this time.
fn estimator(give_up: u64) -> ClientRetryEstimator {
    ClientRetryEstimator::new([give_up].into_iter())
}

/// What is left of the latency objective for a request with this timeout.
fn objective_left(estimator: &mut ClientRetryEstimator, timeout: u64) -> Option<u64> {
    estimator.objective_left(0, timeout, AIM, WORK)
}

/// Guards against last attempts that are served for nothing under overload, in the place of requests that can
/// be in time.
#[test]
fn unusual_timeout_is_what_remains_to_the_client() {
    let mut estimator = estimator(GIVE_UP);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut first_attempts = 0;
    let mut too_late = 0;
    let mut in_time = 0;
    for n in 0..4_000usize {
        let travelled = rng.u64(0..6) * MS;
        if n % 4 < 3 {
            first_attempts += u32::from(objective_left(&mut estimator, 800 * MS - travelled) == Some(AIM));
        } else if n % 8 == 3 {
            // Begun 460 to 1,200 ms ago: nothing can be in time.
            let timeout = [rng.u64(300..780), rng.u64(820..1_040)][n / 8 % 2] * MS;
            too_late += u32::from(objective_left(&mut estimator, timeout).is_none());
        } else {
            // Begun 100 to 300 ms ago: the rest of the objective is there.
            let timeout = rng.u64(1_200..1_400) * MS;
            in_time += u32::from(objective_left(&mut estimator, timeout) == Some(AIM + timeout - GIVE_UP));
        }
    }
    assert!(first_attempts >= 2_990, "{first_attempts} of 3000 first attempts keep their time");
    assert!(too_late >= 450 && in_time >= 450, "{too_late} and {in_time} of 500 last attempts are known");
}

/// Guards against clients that are starved because they are of another kind or have a timeout of their own
/// each, and against figures that nobody can mean.
#[test]
fn nothing_is_concluded_without_a_usual_timeout() {
    let mut rng = fastrand::Rng::with_seed(12);
    let mut two_kinds = estimator(GIVE_UP);
    let mut all_different = estimator(GIVE_UP);
    let mut unknown_give_up = estimator(0);
    let mut some_in_a_hurry = estimator(GIVE_UP);
    // Requests of each that lose a part of the objective.
    let mut harmed = [0; 4];
    for n in 0..5_000u64 {
        let is_tenth = n % 10 == 0;
        // One in ten is of a kind that waits for 300 ms only.
        let timeout = (if is_tenth { 300 } else { 900 }) * MS - rng.u64(0..3) * MS;
        let is_harmed = objective_left(&mut two_kinds, timeout) != Some(AIM);
        harmed[0] += u32::from(n >= 200 && is_harmed);
        let timeout = rng.u64(1..1_500) * MS;
        harmed[1] += u32::from(objective_left(&mut all_different, timeout) != Some(AIM));
        // One in ten is in a hurry, each in its own, and nobody ever waits for longer than usual.
        let timeout = if is_tenth { rng.u64(100..850) } else { 900 } * MS;
        harmed[2] += u32::from(objective_left(&mut some_in_a_hurry, timeout) != Some(AIM));
        let timeout = rng.u64(0..2) * u64::MAX;
        harmed[3] += u32::from(objective_left(&mut unknown_give_up, timeout) != Some(AIM));
    }
    assert_eq!(harmed, [0; 4]);
}

/// Guards against last attempts that take a busy member's capacity, and against rejecting them where there is
/// enough.
#[test]
fn last_attempt_needs_spare_capacity() {
    let mut settings = settings();
    let class = settings.classes[ANY.0].clone();
    settings.classes[ANY.0] = Class { client_timeout: Micros(GIVE_UP), late_weight: 0.0, ..class };
    let mut rig = Rig::new(settings);
    for _ in 0..100 {
        let id = rig.ask(ANY, 800, None);
        let member = *rig.sends(id).last().expect("sent");
        rig.answer(id, 0, member, Outcome::Ok, 20, None, Some(Role::Replica));
        rig.out.clear();
    }
    let idle = rig.ask(ANY, 400, None);
    assert_eq!(rig.sends(idle).len(), 1, "members are idle: it is served");
    // Some that wait for longer than usual show that the unusual timeouts are remainders.
    for n in 0..4 {
        let id = rig.ask(ANY, 900 + 100 * n, None);
        let member = *rig.sends(id).last().expect("sent");
        rig.answer(id, 0, member, Outcome::Ok, 20, None, Some(Role::Replica));
    }
    // Ordinary requests still find capacity, and a last attempt doesn't.
    let busy: Vec<RequestId> = (0..6).map(|_| rig.ask(ANY, 800, None)).collect();
    assert!(busy.iter().all(|id| rig.sends(*id).len() == 1));
    let late = rig.ask(ANY, 400, None);
    assert_eq!((rig.sends(late).len(), rig.finals(late)), (0, 1), "rejected at once");
    let ordinary = rig.ask(ANY, 800, None);
    assert_eq!(rig.finals(ordinary), 0);
}
