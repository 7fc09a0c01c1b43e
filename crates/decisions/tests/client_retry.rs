//! How long clients have been retrying, by the timeouts of their requests; and the work that is dropped
//! because of it.

mod common;

use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::client_retry::ClientRetryEstimator;

const CLIENT_TIMEOUT: u64 = 1_500 * MS;
const OBJECTIVE: u64 = 500 * MS;
const WORK: f64 = 100_000.0;

/// One class with this client timeout.
fn estimator(client_timeout: u64) -> ClientRetryEstimator {
    ClientRetryEstimator::new([client_timeout].into_iter())
}

/// What is left of the latency objective for a request with this timeout.
fn objective_left(estimator: &mut ClientRetryEstimator, timeout: u64) -> Option<u64> {
    estimator.objective_left(0, timeout, OBJECTIVE, WORK)
}

/// Guards against capacity spent on last attempts that can't be in time under overload, instead of on requests that can.
#[test]
fn unusual_timeout_is_what_remains_to_the_client() {
    let mut estimator = estimator(CLIENT_TIMEOUT);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut first_attempts = 0;
    let mut too_late = 0;
    let mut in_time = 0;
    for n in 0..4_000usize {
        let travelled = rng.u64(0..6) * MS;
        if n % 4 < 3 {
            first_attempts +=
                u32::from(objective_left(&mut estimator, 800 * MS - travelled) == Some(OBJECTIVE));
        } else if n % 8 == 3 {
            // Begun 460 to 1,200 ms ago: nothing can be in time.
            let timeout = [rng.u64(300..780), rng.u64(820..1_040)][n / 8 % 2] * MS;
            too_late += u32::from(objective_left(&mut estimator, timeout).is_none());
        } else {
            // Begun 100 to 300 ms ago: the rest of the objective is there.
            let timeout = rng.u64(1_200..1_400) * MS;
            in_time += u32::from(
                objective_left(&mut estimator, timeout) == Some(OBJECTIVE + timeout - CLIENT_TIMEOUT),
            );
        }
    }
    assert!(first_attempts >= 2_990, "{first_attempts} of 3000 first attempts keep their time");
    assert!(too_late >= 450 && in_time >= 450, "{too_late} and {in_time} of 500 last attempts are known");
}

/// Guards against starving clients that are of another kind or each have a timeout of their own, and against extreme
/// timeouts.
#[test]
fn nothing_is_concluded_without_a_usual_timeout() {
    let mut rng = fastrand::Rng::with_seed(12);
    let mut two_kinds = estimator(CLIENT_TIMEOUT);
    let mut all_different = estimator(CLIENT_TIMEOUT);
    let mut unknown_client_timeout = estimator(0);
    let mut some_shorter = estimator(CLIENT_TIMEOUT);
    // Requests of each that lose a part of the objective.
    let mut harmed = [0; 4];
    for n in 0..5_000u64 {
        let is_tenth = n % 10 == 0;
        // One in ten is of a kind that waits for 300 ms only.
        let timeout = (if is_tenth { 300 } else { 900 }) * MS - rng.u64(0..3) * MS;
        let is_harmed = objective_left(&mut two_kinds, timeout) != Some(OBJECTIVE);
        harmed[0] += u32::from(n >= 200 && is_harmed);
        let timeout = rng.u64(1..1_500) * MS;
        harmed[1] += u32::from(objective_left(&mut all_different, timeout) != Some(OBJECTIVE));
        // One in ten has a shorter timeout, each its own, and no client waits for longer than usual.
        let timeout = if is_tenth { rng.u64(100..850) } else { 900 } * MS;
        harmed[2] += u32::from(objective_left(&mut some_shorter, timeout) != Some(OBJECTIVE));
        let timeout = rng.u64(0..2) * u64::MAX;
        harmed[3] += u32::from(objective_left(&mut unknown_client_timeout, timeout) != Some(OBJECTIVE));
    }
    assert_eq!(harmed, [0; 4]);
}

/// Guards against last attempts that take a busy member's capacity, and against rejecting them where there is
/// enough.
#[test]
fn last_attempt_needs_spare_capacity() {
    let mut settings = default_settings();
    let class = settings.classes[ANY.0].clone();
    settings.classes[ANY.0] = Class { client_timeout: Micros(CLIENT_TIMEOUT), late_weight: 0.0, ..class };
    let mut harness = RouterHarness::new(settings);
    for _ in 0..100 {
        let id = harness.send_request(ANY, 800, None);
        let member = *harness.attempted_members(id).last().expect("sent");
        harness.end_attempt(id, 0, member, AttemptResult::without_position(Outcome::Ok, 20, Role::Replica));
        harness.actions.clear();
    }
    let idle = harness.send_request(ANY, 400, None);
    assert_eq!(harness.attempted_members(idle).len(), 1, "members are idle: it is served");
    // Some that wait for longer than usual show that the unusual timeouts are remainders.
    for n in 0..4 {
        let id = harness.send_request(ANY, 900 + 100 * n, None);
        let member = *harness.attempted_members(id).last().expect("sent");
        harness.end_attempt(id, 0, member, AttemptResult::without_position(Outcome::Ok, 20, Role::Replica));
    }
    // Ordinary requests still find capacity, and a last attempt doesn't.
    let busy: Vec<RequestId> = (0..6).map(|_| harness.send_request(ANY, 800, None)).collect();
    assert!(busy.iter().all(|id| harness.attempted_members(*id).len() == 1));
    let late = harness.send_request(ANY, 400, None);
    assert_eq!(
        (harness.attempted_members(late).len(), harness.final_answers(late)),
        (0, 1),
        "rejected at once"
    );
    let ordinary = harness.send_request(ANY, 800, None);
    assert_eq!(harness.final_answers(ordinary), 0);
}
