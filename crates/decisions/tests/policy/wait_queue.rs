//! The order in which queued requests are served.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against a tenant over its allowance whose queue delays the requests of the others.
#[test]
fn over_quota_requests_are_served_last() {
    let mut settings = default_settings();
    settings.tenants = vec![Tenant { allowance_per_s: 5.0 }, Tenant { allowance_per_s: 1_000.0 }];
    let mut harness = RouterHarness::new(settings);
    let mut send_for = |tenant: usize, n: u8| {
        let id = RequestId([n; 36]);
        harness.handle(Event::RequestArrived(Request {
            id,
            class: WRITE,
            time_left: Micros(2_000 * MS),
            tenant: Some(TenantId(tenant)),
            last_write_age: None,
            group: GROUP,
            session: None,
        }));
        id
    };
    let greedy: Vec<RequestId> = (0..40).map(|n| send_for(0, 100 + n)).collect();
    let modest = send_for(1, 99);
    let first = greedy[0];
    let attempts = harness.attempted_members(first).len();
    assert_eq!(attempts, 1, "served while there is capacity");
    harness.advance(50);
    harness.end_attempt(first, 0, 1, AttemptResult::answered(50, harness.now, Role::Primary));
    assert_eq!(
        harness.attempted_members(modest),
        [1],
        "the modest tenant's write goes before forty that waited longer"
    );
}

/// Guards against capacity spent on requests that will miss their latency objective while others behind them could meet
/// it, and against slow times that rule out fresh requests too.
#[test]
fn late_requests_are_rejected_and_fresh_ones_served() {
    let mut settings = default_settings();
    settings.classes[FRESH.0].late_weight = 0.0;
    let mut harness = RouterHarness::new(settings);
    harness.update_list(vec![list_entry(1)]);
    // Only the primary is left. Its capacity is used up, and what comes then is queued.
    let busy: Vec<RequestId> = (0..20).map(|_| harness.send_request(FRESH, 2_000, None)).collect();
    let out: Vec<RequestId> =
        busy.iter().copied().filter(|id| !harness.attempted_members(*id).is_empty()).collect();
    let old = *busy.last().expect("some");
    assert!(out.len() < busy.len() && harness.attempted_members(old).is_empty());
    harness.advance(200);
    let fresh = harness.send_request(FRESH, 2_000, None);
    assert!(harness.attempted_members(fresh).is_empty() && harness.final_answers(old) == 0);
    harness.end_attempt(out[0], 0, 1, AttemptResult::answered(200, harness.now, Role::Primary));
    assert_eq!(
        harness.attempted_members(fresh),
        [1],
        "it is more likely to meet its objective than the earlier ones"
    );
    assert!(harness.attempted_members(old).is_empty());
    assert_eq!(harness.final_answers(old), 0, "its wait for a replica may not be over");
    harness.advance(100);
    assert_eq!(
        harness.final_answers(old),
        1,
        "300 ms of its 500 are over: it is rejected at once, with a Retry-After"
    );
}
