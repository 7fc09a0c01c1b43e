//! Tests of the final answers to requests that can't succeed: exactly one each, in time for a retry, and with a spread
//! Retry-After.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against requests without a final answer, or with several, in a group without members.
#[test]
fn group_without_members_rejects_each_request_once() {
    let mut harness = RouterHarness::empty(default_settings());
    let ids: Vec<RequestId> =
        [WRITE, SESSION, BOUNDED, FRESH, ANY].map(|class| harness.send_request(class, 300, None)).to_vec();
    harness.advance(290);
    assert!(
        ids.iter().all(|id| harness.final_answers(*id) == 1 && harness.attempted_members(*id).is_empty())
    );
}

/// Guards against a write that is queued until its deadline while its primary is unreachable. If it is rejected
/// earlier, its client can retry in time.
#[test]
fn unreachable_write_is_rejected_by_half_its_time() {
    let mut harness = RouterHarness::new(default_settings());
    let write = harness.send_request(WRITE, 2_000, None);
    harness.advance(250);
    let mut ended = 0;
    for _ in 0..7 {
        while ended < harness.attempted_members(write).len() as u32 {
            harness.end_attempt(write, ended, 1, AttemptResult::without_report(Outcome::ConnectError, 250));
            ended += 1;
        }
        harness.fail_health_check(1, Outcome::ConnectError);
        assert_eq!(harness.final_answers(write), 0, "the primary can still return in time");
        harness.advance(100);
    }
    harness.advance(40);
    assert_eq!(harness.final_answers(write), 1);
    assert!(
        matches!(harness.actions.last(), Some(Action::Reject { id, retry_after: Some(_) }) if *id == write)
    );
}

/// Guards against a write that is queued until its deadline because its primary is in slow start and takes only a few
/// writes at a time.
#[test]
fn write_queued_for_slow_start_is_rejected_by_half_its_time() {
    let mut harness = RouterHarness::new(default_settings());
    let mut entries: Vec<ListEntry> = (1..=3).map(list_entry).collect();
    entries[0].started = Some(Time(harness.now - MS));
    harness.update_list(entries);
    harness.report_health(1, harness.now, Role::Primary);
    let writes: Vec<RequestId> = (0..40).map(|_| harness.send_request(WRITE, 1_000, None)).collect();
    harness.advance(490);
    for write in writes {
        assert_eq!(
            harness.attempted_members(write).len() + harness.final_answers(write),
            1,
            "the write is sent, or rejected in time for a retry"
        );
    }
}

/// Guards against a wave of retries after an event at which a hundred routers reject requests at the same time; retried
/// reads may then fall back on the primary together. With random Retry-After times, no 100 ms contain more than half of
/// the retries.
#[test]
fn retry_after_of_a_fleet_is_spread() {
    let mut retries_ms = Vec::new();
    for mut harness in fleet_of_routers(default_settings()) {
        harness.update_list(vec![ListEntry { state: MemberState::Draining, ..list_entry(2) }]);
        let read = harness.send_request(SESSION, 1_000, None);
        let sent_at = harness.now;
        while harness.final_answers(read) == 0 {
            harness.advance(10);
        }
        let Some(Action::Reject { retry_after: Some(retry_after), .. }) = harness.actions.last() else {
            panic!("the read was not rejected with a Retry-After")
        };
        retries_ms.push((harness.now - sent_at + retry_after.0) / MS);
    }
    let most = retries_ms
        .iter()
        .map(|at| retries_ms.iter().filter(|other| (*at..at + 100).contains(*other)).count())
        .max();
    assert!(
        most.is_some_and(|most| most <= 50),
        "{most:?} of {} retries within 100 ms: {retries_ms:?}",
        retries_ms.len()
    );
}
