//! Tests of the router as a whole: unknown ids, deterministic results, and the size of its state.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against actions on events that name unknown requests, members or timers.
#[test]
fn unknown_ids_are_ignored() {
    let mut harness = RouterHarness::new(default_settings());
    let unknown = RequestId([200; 36]);
    harness.handle(Event::ClientGone { id: unknown });
    harness.end_attempt(unknown, 3, 2, AttemptResult::without_report(Outcome::Ok, 10));
    harness.end_attempt(unknown, 0, 99, AttemptResult::without_report(Outcome::Ok, 10));
    harness.handle(Event::TimerDue { token: 12_345 });
    harness.report_health(99, 5, Role::Primary);
    assert!(
        harness.actions.iter().all(|action| matches!(action, Action::CheckHealth { .. })),
        "{:?}",
        harness.actions
    );
}

/// Guards against decisions that depend on anything other than the events, their times and the seed.
#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = RouterHarness::new(default_settings());
        for step in 0..20 {
            let id = harness.send_request(if step % 3 == 0 { WRITE } else { ANY }, 1_000, Some(step));
            for (attempt, member) in harness.attempted_members(id).into_iter().enumerate() {
                harness.end_attempt(
                    id,
                    attempt as u32,
                    member,
                    AttemptResult::without_role(5 + step, harness.now),
                );
            }
            harness.advance(7);
        }
        harness.actions
    };
    assert_eq!(run(), run());
}

/// Guards against memory that grows with each group, session or member that was named once.
#[test]
fn records_are_dropped_with_their_subject() {
    let settings = Settings { session_positions: SessionPositions::CarriedByRequest, ..default_settings() };
    let mut harness = RouterHarness::new(settings);
    let before = harness.router.record_count();
    for n in 0..100u8 {
        harness.complete_write(u64::from(n), 1);
        let unknown = Request {
            id: RequestId([128 + n; 36]),
            class: ANY,
            time_left: Micros(5 * MS),
            tenant: None,
            last_write_age: None,
            group: GroupId(1_000 + u32::from(n)),
            session: None,
            is_statement_long: false,
        };
        harness.handle(Event::RequestArrived(unknown));
        harness.advance(10);
    }
    harness.advance(1_000);
    assert_eq!(harness.router.record_count(), before);
    (1..=3).for_each(|member| harness.report_health(member, harness.now, Role::Replica));
    harness.update_list((4..=6).map(list_entry).collect());
    harness.advance(61_000);
    harness.update_list((4..=6).map(list_entry).collect());
    assert!(!harness.router.has_record_of(MemberId(1)) && harness.router.has_record_of(MemberId(4)));
}
