//! Tests of the order in which queued requests are served.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against a tenant over its allowance whose queued requests delay those of other tenants.
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
            is_statement_long: false,
        }));
        id
    };
    let over_allowance: Vec<RequestId> = (0..40).map(|n| send_for(0, 100 + n)).collect();
    let within_allowance = send_for(1, 99);
    let first = over_allowance[0];
    let attempts = harness.attempted_members(first).len();
    assert_eq!(attempts, 1, "the first write is sent while there is capacity");
    harness.advance(50);
    harness.end_attempt(first, 0, 1, AttemptResult::answered(50, harness.now, Role::Primary));
    assert_eq!(
        harness.attempted_members(within_allowance),
        [1],
        "the write of the tenant within its allowance precedes those that waited longer"
    );
}

/// Guards against capacity spent on requests that will miss their latency objective while later ones could meet it, and
/// against rejecting new requests as well after slow answers.
#[test]
fn late_requests_are_rejected_and_fresh_ones_served() {
    let mut settings = default_settings();
    settings.classes[FRESH.0].late_weight = 0.0;
    let mut harness = RouterHarness::new(settings);
    harness.update_list(vec![list_entry(1)]);
    // Only the primary is listed. Once its capacity is used up, further requests are queued.
    let busy: Vec<RequestId> = (0..20).map(|_| harness.send_request(FRESH, 2_000, None)).collect();
    let sent: Vec<RequestId> =
        busy.iter().copied().filter(|id| !harness.attempted_members(*id).is_empty()).collect();
    let earlier = *busy.last().expect("a request");
    assert!(sent.len() < busy.len() && harness.attempted_members(earlier).is_empty());
    harness.advance(200);
    let later = harness.send_request(FRESH, 2_000, None);
    assert!(harness.attempted_members(later).is_empty() && harness.final_answers(earlier) == 0);
    harness.end_attempt(sent[0], 0, 1, AttemptResult::answered(200, harness.now, Role::Primary));
    assert_eq!(
        harness.attempted_members(later),
        [1],
        "the later request is more likely to meet its objective than the earlier ones"
    );
    assert!(harness.attempted_members(earlier).is_empty());
    assert_eq!(
        harness.final_answers(earlier),
        0,
        "the earlier request is not rejected while it may still wait for a replica"
    );
    harness.advance(100);
    assert_eq!(
        harness.final_answers(earlier),
        1,
        "300 ms of its objective of 500 ms have elapsed, so it is rejected"
    );
}
