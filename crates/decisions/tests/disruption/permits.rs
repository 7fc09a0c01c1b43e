//! Tests of when a permit is granted, is confirmed and ends.

use crate::fixtures::{ALL_IN_SERVICE, Fleet, LEASE_US, policy};
use linenhill_decisions::disruption::table::PermitDenied;
use linenhill_decisions::disruption::{Availability, Subject};

/// Guards against two permits where one proxy may be unavailable, a permit that is lost when its proxy crashes, and one
/// that never ends.
#[test]
fn permit_counts_until_the_proxy_is_back() {
    let mut fleet = Fleet::new(3, policy(1, 1));
    let first = fleet.request_permit("proxy/p0", "p0", false).expect("a permit");
    assert_eq!(fleet.request_permit("proxy/p0", "p0", false).expect("the same").number, first.number);
    let second = fleet.request_permit("proxy/p1", "p1", false);
    assert!(matches!(second, Err(PermitDenied::LimitReached { .. })));
    // A report of being in service before the proxy has become unavailable does not end its permit.
    fleet.report(0, Availability::InService, &[]);
    assert!(fleet.request_permit("proxy/p1", "p1", false).is_err());
    fleet.report(0, Availability::Standby, &[]);
    // The proxy crashes while unavailable: it still counts, once.
    fleet.advance(2 * LEASE_US);
    (1..3).for_each(|proxy| fleet.report(proxy, Availability::InService, &[]));
    assert_eq!(fleet.unavailable(), [("proxy/p0".to_string(), Availability::NoHeartbeat)]);
    assert!(fleet.request_permit("proxy/p1", "p1", false).is_err());
    // It returns to service as another incarnation.
    fleet.incarnations.insert("p0".into(), 77);
    fleet.report(0, Availability::InService, &[]);
    assert!(fleet.unavailable().is_empty());
    assert!(fleet.request_permit("proxy/p1", "p1", false).is_ok());
}

/// Guards against not counting a proxy that is unavailable without a permit or by a forced one.
#[test]
fn every_unavailable_proxy_counts() {
    let mut fleet = Fleet::new(4, policy(2, 1));
    fleet.report(0, Availability::Stopping, &[]);
    assert!(fleet.request_permit("proxy/p1", "p1", false).is_ok());
    let third = fleet.request_permit("proxy/p2", "p2", false);
    let Err(PermitDenied::LimitReached { unavailable, .. }) = third else {
        panic!("a third proxy got a permit")
    };
    assert_eq!(unavailable.len(), 2);
    assert!(fleet.request_permit("proxy/p2", "p2", true).expect("force").forced);
    fleet.report(0, Availability::InService, &[]);
    let fourth = fleet.request_permit("proxy/p3", "p3", false);
    assert!(fourth.is_err(), "two proxies are unavailable, one of them by force");
    // Proxies that a network partition hides from the keepers count as unavailable.
    let mut fleet = Fleet::new(6, policy(2, 1));
    fleet.advance(2 * LEASE_US);
    (0..4).for_each(|proxy| fleet.report(proxy, Availability::InService, &[]));
    let with_two_hidden = fleet.request_permit("proxy/p0", "p0", false);
    assert!(matches!(with_two_hidden, Err(PermitDenied::LimitReached { .. })));
}

/// Guards against a permit for a primary before its role has moved to another member, and against a permit that is
/// confirmed before every proxy has stopped sending to the member.
#[test]
fn member_permit_waits_for_every_proxy() {
    let mut fleet = Fleet::new(3, policy(1, 2));
    (0..3).for_each(|proxy| fleet.report(proxy, Availability::InService, &ALL_IN_SERVICE));
    assert_eq!(fleet.request_permit("member/m0", "p0", false), Err(PermitDenied::IsPrimary));
    assert_eq!(fleet.request_permit("member/m9", "p0", false), Err(PermitDenied::UnknownSubject));
    let permit = fleet.request_permit("member/m1", "p0", false).expect("a permit");
    assert_eq!(permit.unconfirmed.len(), 3);
    assert_eq!(fleet.table.quarantine().members, vec!["m1".to_string()]);
    assert!(fleet.request_permit("member/m1", "p1", false).is_err(), "another proxy holds the permit for it");
    for proxy in 0..2 {
        let banned = [("m1", Availability::OperatorBan)];
        fleet.report_quarantined(proxy, Availability::InService, &banned, permit.quarantine_edition);
    }
    assert_eq!(fleet.unconfirmed_of_m1(), 1);
    // The third proxy is disconnected. It may still send to the member until its session has ended.
    fleet.membership.sessions.remove("p2");
    fleet.advance(0);
    assert_eq!(fleet.unconfirmed_of_m1(), 0);
}

/// Guards against a member's permit that is never confirmed because a proxy sends requests but receives no answers, and
/// against one that is confirmed while that proxy may still serve under an earlier grant.
#[test]
fn member_permit_outlasts_grants_of_a_deaf_proxy() {
    let mut fleet = Fleet::new(2, policy(1, 1));
    (0..2).for_each(|proxy| fleet.report(proxy, Availability::InService, &ALL_IN_SERVICE));
    fleet.request_permit("member/m1", "p0", false).expect("a permit");
    for _ in 0..10 {
        fleet.advance(LEASE_US);
        fleet.report(1, Availability::InService, &[]);
    }
    assert_eq!(fleet.unconfirmed_of_m1(), 2);
    fleet.advance(LEASE_US);
    assert_eq!(fleet.unconfirmed_of_m1(), 0);
}

/// Guards against a permit for the last healthy member of a group when another proxy requests it, and against a return
/// that ends the permit before the member is in service.
#[test]
fn last_member_stays_and_a_return_is_observed() {
    let mut fleet = Fleet::new(2, policy(1, 2));
    (0..2).for_each(|proxy| fleet.report(proxy, Availability::InService, &ALL_IN_SERVICE));
    let permit = fleet.request_permit("member/m1", "p0", false).expect("a permit");
    let unresponsive_primary = [("m0", Availability::Unresponsive), ("m1", Availability::OperatorBan)];
    for proxy in 0..2 {
        let edition = permit.quarantine_edition;
        fleet.report_quarantined(proxy, Availability::InService, &unresponsive_primary, edition);
    }
    // Two of three members may be unavailable, and one must stay in service. The primary is unresponsive, so m2 must
    // stay.
    let last = fleet.request_permit("member/m2", "p1", false);
    assert!(matches!(last, Err(PermitDenied::LimitReached { .. })));
    assert!(fleet.table.request_return(&Subject::Member("m1".into())));
    assert!(fleet.table.quarantine().members.is_empty());
    assert!(fleet.is_unavailable("member/m1"));
    let back = [("m1", Availability::InService)];
    (0..2).for_each(|proxy| fleet.report(proxy, Availability::InService, &back));
    assert!(!fleet.is_unavailable("member/m1"));
}

/// Guards against a member that operators take out again while it still counts as out, and that proxies go on using: its
/// permit was handed out once more although its return was requested, so it was not in the quarantine.
#[test]
fn a_permit_that_is_being_returned_is_not_handed_out_again() {
    let mut fleet = Fleet::new(2, policy(1, 1));
    (0..2).for_each(|proxy| fleet.report(proxy, Availability::InService, &ALL_IN_SERVICE));
    let first = fleet.request_permit("member/m1", "p0", false).expect("a permit");
    let banned = [("m1", Availability::OperatorBan)];
    for proxy in 0..2 {
        fleet.report_quarantined(proxy, Availability::InService, &banned, first.quarantine_edition);
    }
    assert!(fleet.table.request_return(&Subject::Member("m1".into())));
    // The proxies have not reported the member as in service yet.
    let second = fleet.request_permit("member/m1", "p0", false).expect("a permit");
    assert_ne!(second.number, first.number);
    assert_eq!(second.unconfirmed.len(), 2, "every proxy must confirm that it does not use the member");
    assert_eq!(fleet.table.quarantine().members, ["m1".to_string()]);
    let edition = second.quarantine_edition;
    (0..2).for_each(|proxy| fleet.report_quarantined(proxy, Availability::InService, &banned, edition));
    assert_eq!(fleet.unconfirmed_of_m1(), 0);
    let back = [("m1", Availability::InService)];
    fleet.report_quarantined(0, Availability::InService, &back, edition);
    assert!(fleet.request_permit("member/m2", "p0", false).is_err(), "one member may be out, and m1 is");
}

/// Guards against counting a member as unavailable because a minority of the proxies is disconnected from it.
#[test]
fn unresponsive_for_a_minority_does_not_count() {
    let mut fleet = Fleet::new(5, policy(1, 1));
    (0..5).for_each(|proxy| fleet.report(proxy, Availability::InService, &ALL_IN_SERVICE));
    let unresponsive = [("m1", Availability::Unresponsive)];
    (0..2).for_each(|proxy| fleet.report(proxy, Availability::InService, &unresponsive));
    assert!(fleet.unavailable().is_empty());
    fleet.report(2, Availability::InService, &unresponsive);
    assert_eq!(fleet.unavailable(), [("member/m1".to_string(), Availability::Unresponsive)]);
    assert!(fleet.request_permit("member/m2", "p0", false).is_err());
}

/// Guards against a permanently removed member that never stops counting.
#[test]
fn removed_and_forgotten_members_leave_the_table() {
    let mut fleet = Fleet::new(5, policy(1, 1));
    (0..5).for_each(|proxy| fleet.report(proxy, Availability::InService, &ALL_IN_SERVICE));
    let unresponsive = [("m1", Availability::Unresponsive)];
    (0..3).for_each(|proxy| fleet.report(proxy, Availability::InService, &unresponsive));
    let removed = [("m1", Availability::Removed)];
    (0..5).for_each(|proxy| fleet.report(proxy, Availability::InService, &removed));
    assert!(fleet.unavailable().is_empty() && !fleet.table.subjects.contains_key("member/m1"));
    assert!(fleet.table.forget(&Subject::Member("m2".into())));
    assert!(!fleet.table.forget(&Subject::Member("m2".into())));
}
