//! Tests of which replica gets a read.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against reads of any age that use up the capacity of fresh replicas, which other reads need.
#[test]
fn any_reads_prefer_the_most_lagging_replica() {
    let mut harness = RouterHarness::new(default_settings());
    harness.advance(6_000);
    harness.report_health(2, harness.now - 5_000 * MS, Role::Replica);
    harness.report_health(3, harness.now, Role::Replica);
    for _ in 0..5 {
        let read = harness.send_request(ANY, 1_000, None);
        assert_eq!(harness.attempted_members(read), [2]);
    }
}
