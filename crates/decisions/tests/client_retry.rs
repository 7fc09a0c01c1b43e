//! Tests of the estimate of how long a client has been retrying, and of the requests that are rejected because of it.

mod common;

use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::client_retry::ClientRetryEstimator;

const CLIENT_TIMEOUT: u64 = 1_500 * MS;
const OBJECTIVE: u64 = 500 * MS;
const WORK: f64 = 100_000.0;

/// An estimator for one class with this client timeout, in microseconds.
fn estimator(client_timeout: u64) -> ClientRetryEstimator {
    ClientRetryEstimator::new([client_timeout].into_iter())
}

/// The remainder of the latency objective for a request with this timeout; `None` if it can't be met.
fn objective_left(estimator: &mut ClientRetryEstimator, timeout: u64) -> Option<u64> {
    estimator.objective_left(0, timeout, OBJECTIVE, WORK)
}

/// Guards against capacity spent, under overload, on a client's last attempt that can no longer meet the objective.
/// The timeout of a last attempt is the remainder of the client's total timeout, so it differs from the usual one.
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
            // First attempt 460 to 1,200 ms ago: no answer can meet the objective.
            let timeout = [rng.u64(300..780), rng.u64(820..1_040)][n / 8 % 2] * MS;
            too_late += u32::from(objective_left(&mut estimator, timeout).is_none());
        } else {
            // First attempt 100 to 300 ms ago: part of the objective is left.
            let timeout = rng.u64(1_200..1_400) * MS;
            in_time += u32::from(
                objective_left(&mut estimator, timeout) == Some(OBJECTIVE + timeout - CLIENT_TIMEOUT),
            );
        }
    }
    assert!(first_attempts >= 2_990, "{first_attempts} of 3000 first attempts keep the full objective");
    assert!(
        too_late >= 450 && in_time >= 450,
        "{too_late} of 500 late and {in_time} of 500 timely last attempts are recognised"
    );
}

/// Guards against a shortened objective for first attempts: for a minority of clients with another timeout, for clients
/// whose timeouts all differ, and for extreme timeouts.
#[test]
fn nothing_is_concluded_without_a_usual_timeout() {
    let mut rng = fastrand::Rng::with_seed(12);
    let mut two_kinds = estimator(CLIENT_TIMEOUT);
    let mut all_different = estimator(CLIENT_TIMEOUT);
    let mut unknown_client_timeout = estimator(0);
    let mut some_shorter = estimator(CLIENT_TIMEOUT);
    // The number of requests for each estimator whose objective was shortened.
    let mut shortened = [0; 4];
    for n in 0..5_000u64 {
        let is_tenth = n % 10 == 0;
        // One request in ten comes from clients with a timeout of 300 ms.
        let timeout = (if is_tenth { 300 } else { 900 }) * MS - rng.u64(0..3) * MS;
        let is_shortened = objective_left(&mut two_kinds, timeout) != Some(OBJECTIVE);
        shortened[0] += u32::from(n >= 200 && is_shortened);
        let timeout = rng.u64(1..1_500) * MS;
        shortened[1] += u32::from(objective_left(&mut all_different, timeout) != Some(OBJECTIVE));
        // One request in ten has a random shorter timeout. No timeout is longer than the usual one, which would show
        // that the shorter ones are remainders.
        let timeout = if is_tenth { rng.u64(100..850) } else { 900 } * MS;
        shortened[2] += u32::from(objective_left(&mut some_shorter, timeout) != Some(OBJECTIVE));
        let timeout = rng.u64(0..2) * u64::MAX;
        shortened[3] += u32::from(objective_left(&mut unknown_client_timeout, timeout) != Some(OBJECTIVE));
    }
    assert_eq!(shortened, [0; 4]);
}

/// Guards against last attempts that use capacity of busy members, and against rejecting them while members have spare
/// capacity.
#[test]
fn last_attempt_needs_spare_capacity() {
    let mut settings = default_settings();
    let class = settings.classes[ANY.0].clone();
    settings.classes[ANY.0] = Class { client_timeout: Micros(CLIENT_TIMEOUT), late_weight: 0.0, ..class };
    let mut harness = RouterHarness::new(settings);
    for _ in 0..100 {
        let id = harness.send_request(ANY, 800, None);
        let member = *harness.attempted_members(id).last().expect("the request was sent");
        harness.end_attempt(id, 0, member, AttemptResult::without_position(Outcome::Ok, 20, Role::Replica));
        harness.actions.clear();
    }
    let idle = harness.send_request(ANY, 400, None);
    assert_eq!(harness.attempted_members(idle).len(), 1, "members are idle, so the last attempt is sent");
    // Timeouts longer than the usual one show that unusual timeouts are remainders.
    for n in 0..4 {
        let id = harness.send_request(ANY, 900 + 100 * n, None);
        let member = *harness.attempted_members(id).last().expect("the request was sent");
        harness.end_attempt(id, 0, member, AttemptResult::without_position(Outcome::Ok, 20, Role::Replica));
    }
    // First attempts still get capacity; a last attempt is rejected.
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
