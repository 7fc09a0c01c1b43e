//! Tests of endpoint lists: members that drain, are absent or return; and the polls after a failed list.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against new requests to a draining member.
#[test]
fn draining_member_gets_no_new_requests() {
    let mut harness = RouterHarness::new(default_settings());
    let mut entries: Vec<ListEntry> = (1..=3).map(list_entry).collect();
    entries[1].state = MemberState::Draining;
    harness.update_list(entries);
    for _ in 0..6 {
        let read = harness.send_request(ANY, 1_000, None);
        assert_eq!(harness.attempted_members(read), [3]);
        harness.end_attempt(read, 0, 3, AttemptResult::answered(10, harness.now, Role::Replica));
    }
}

/// Guards against an empty list that stops all requests at a site where removed members stay usable, and against
/// requests to removed members at other sites.
#[test]
fn empty_list_binds_only_where_removal_does() {
    for is_usable in [true, false] {
        let mut harness = RouterHarness::new(Settings {
            rules: Rules { removed_members_stay_usable: is_usable, ..default_settings().rules },
            ..default_settings()
        });
        harness.update_list(vec![]);
        let write = harness.send_request(WRITE, 1_000, None);
        let read = harness.send_request(BOUNDED, 1_000, None);
        assert_eq!(harness.attempted_members(write) == [1], is_usable);
        assert_eq!(!harness.attempted_members(read).is_empty(), is_usable);
    }
}

/// Guards against new requests to a draining member after the list has removed it.
#[test]
fn drain_outlives_removal_from_the_list() {
    let mut harness = RouterHarness::new(Settings {
        rules: Rules { removed_members_stay_usable: true, ..default_settings().rules },
        ..default_settings()
    });
    let mut entries: Vec<ListEntry> = (1..=3).map(list_entry).collect();
    entries[1].state = MemberState::Draining;
    harness.update_list(entries);
    harness.update_list(vec![list_entry(1), list_entry(3)]);
    harness.report_health(2, harness.now, Role::Replica);
    harness.assert_reads_go_to(BOUNDED, 6, 3);
}

/// Guards against losing the known positions of members that a list omits briefly.
#[test]
fn member_record_outlives_its_absence() {
    let mut harness = RouterHarness::new(Settings {
        rules: Rules { removed_members_stay_usable: false, ..default_settings().rules },
        ..default_settings()
    });
    harness.update_list(vec![]);
    harness.update_list((1..=3).map(list_entry).collect());
    let read = harness.send_request(BOUNDED, 1_000, None);
    assert!([2, 3].contains(&harness.attempted_members(read)[0]), "the positions are still known");
}

/// Guards against a discovery service that is not polled again after an error, or is polled in a busy loop.
#[test]
fn failed_list_is_polled_again_with_backoff() {
    let mut harness =
        RouterHarness::empty(Settings { discovery: Discovery::OnRequest, ..default_settings() });
    harness.handle(Event::ListUpdated(ListUpdate::Cached(vec![list_entry(1)].into())));
    let mut polls = 0;
    for _ in 0..200 {
        harness.advance(10);
        let subscribed = harness.actions.iter().filter(|action| **action == Action::Subscribe).count();
        if subscribed > polls {
            polls = subscribed;
            harness.handle(Event::ListUpdated(ListUpdate::Failed { silent_for: None }));
        }
    }
    assert!((3..=6).contains(&polls), "{polls} polls in 2 s");
}
