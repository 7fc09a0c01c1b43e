//! Tests of a proxy's health reports, in requests that may be lost.

use linenhill_decisions::disruption::reporter::HealthReporter;
use linenhill_decisions::disruption::{Availability, HealthObservation, Quarantine};
use std::collections::BTreeMap;

fn observed(availability: Availability) -> HealthObservation {
    HealthObservation { group: 1, availability: availability as i32, is_primary: false }
}

/// Guards against a lost report that is never sent again, and against a quarantine that reverts to an older edition.
#[test]
fn observations_are_reported_until_answered() {
    let mut reporter = HealthReporter::default();
    assert!(reporter.observe([("m1".to_string(), observed(Availability::Unresponsive))].into()));
    assert_eq!(reporter.next_report(1).observations.len(), 1);
    assert_eq!(reporter.next_report(2).observations.len(), 1, "the first report may be lost");
    assert_eq!(reporter.handle_grant(1, None), None, "only an answer to the latest report acknowledges it");
    let quarantine = Quarantine { edition: 3, members: vec!["m1".into()] };
    assert_eq!(reporter.handle_grant(2, Some(quarantine.clone())), Some(quarantine));
    assert!(reporter.next_report(3).observations.is_empty());
    assert_eq!(reporter.handle_grant(3, Some(Quarantine { edition: 2, members: Vec::new() })), None);
    assert_eq!(reporter.next_report(4).quarantine_edition, 0, "the quarantine is not applied yet");
    reporter.quarantine_applied(3);
    assert_eq!(reporter.next_report(5).quarantine_edition, 3);
    assert!(reporter.observe(BTreeMap::new()), "a member that is not observed is reported as removed");
    assert_eq!(reporter.next_report(6).observations["m1"].availability, Availability::Removed as i32);
    reporter.reset();
    assert!(reporter.set_own_availability(Availability::Standby));
    assert!(!reporter.set_own_availability(Availability::Standby));
}

/// Guards against a first report on thousands of members that is too long for the keepers, so that its proxy never
/// joins.
#[test]
fn long_report_is_sent_in_parts() {
    let mut reporter = HealthReporter::default();
    reporter.observe((0..1_300).map(|i| (format!("m{i}"), observed(Availability::InService))).collect());
    let mut lengths = Vec::new();
    for seq in 1..5 {
        lengths.push(reporter.next_report(seq).observations.len());
        reporter.handle_grant(seq, None);
    }
    assert_eq!(lengths, [512, 512, 276, 0]);
}
