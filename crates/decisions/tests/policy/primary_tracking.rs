//! Who is primary by the newest evidence, and how routers search for one while none is confirmed.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against fresh reads at a member that only the list names as primary: it may have been demoted. It rejects
/// a write itself if it is no primary.
#[test]
fn reads_need_a_confirmed_primary() {
    let mut harness = RouterHarness::empty(default_settings());
    let mut entries: Vec<ListEntry> = (1..=3).map(list_entry).collect();
    entries[0].primary_hint = true;
    harness.update_list(entries);
    let read = harness.send_request(FRESH, 1_000, None);
    harness.advance(100);
    assert!(harness.attempted_members(read).is_empty());
    let write = harness.send_request(WRITE, 1_000, None);
    assert_eq!(harness.attempted_members(write), [1], "a write there can do no harm");
}

/// Guards against a write that stays at a demoted primary.
#[test]
fn not_applicable_write_finds_the_new_primary() {
    let mut harness = RouterHarness::new(default_settings());
    harness.advance(20);
    let write = harness.send_request(WRITE, 2_000, None);
    harness.end_attempt(
        write,
        0,
        1,
        AttemptResult::without_position(Outcome::NotApplicable, 1, Role::Replica),
    );
    assert_eq!(harness.attempted_members(write), [1]);
    harness.advance(100);
    assert!(harness.health_checks() >= 2, "it searches for the primary");
    harness.report_health(2, harness.now, Role::Primary);
    assert_eq!(harness.attempted_members(write), [1, 2]);
}

/// Guards against a search that floods members with health checks and attempts while no member is primary, and
/// against a write that gets no final answer or several.
#[test]
fn search_without_a_primary_is_bounded() {
    let mut harness = RouterHarness::empty(default_settings());
    harness.update_list((1..=3).map(list_entry).collect());
    let write = harness.send_request(WRITE, 1_000, None);
    let mut attempts = 0;
    for _ in 0..100 {
        harness.advance(10);
        for member in 1..=3 {
            harness.report_health(member, harness.now - 500 * MS, Role::Replica);
        }
        for (attempt, member) in harness.attempted_members(write).into_iter().enumerate().skip(attempts) {
            harness.end_attempt(
                write,
                attempt as u32,
                member,
                AttemptResult::without_position(Outcome::NotApplicable, 2, Role::Replica),
            );
            attempts += 1;
        }
    }
    assert!((1..=3).contains(&attempts), "it searches, and keeps attempts for when a primary is found");
    assert_eq!(harness.final_answers(write), 1);
    assert!(harness.health_checks() < 3 * 20, "{} health checks in a second", harness.health_checks());
}

/// Guards against a search that, repeated by each router of a large fleet, overloads the members.
#[test]
fn search_in_a_large_fleet_stays_small() {
    let mut harness = RouterHarness::empty(Settings { fleet_size: 200, ..default_settings() });
    harness.update_list((1..=9).map(list_entry).collect());
    let report_all = |harness: &mut RouterHarness| {
        (1..=9).for_each(|member| harness.report_health(member, harness.now - 500 * MS, Role::Replica));
    };
    harness.advance(20);
    report_all(&mut harness);
    let before = harness.health_checks();
    harness.send_request(WRITE, 1_000, None);
    for _ in 0..10 {
        harness.advance(50);
        report_all(&mut harness);
    }
    let searching = harness.health_checks() - before;
    assert!((1..=12).contains(&searching), "{searching} health checks in half a second");
}

/// Guards against searches that are small at each router and together overload the members: two health checks in
/// 100 ms from each of a hundred routers were 2,953 in this second.
#[test]
fn hundred_routers_search_with_few_health_checks() {
    let mut health_checks = 0;
    let mut attempts = 0;
    for mut harness in fleet_of_routers(default_settings()) {
        harness.update_list((1..=5).map(list_entry).collect());
        let write = harness.send_request(WRITE, 4_000, None);
        let mut tried = 0;
        let mut checked = 0;
        for _ in 0..100 {
            while harness.attempted_members(write).len() > tried {
                tried += 1;
                harness.end_latest_attempt(
                    write,
                    MemberAnswer { outcome: Outcome::NotApplicable, latency_ms: 2, utilisation: 0.5 },
                    |_| true,
                );
            }
            let newly_checked: Vec<u32> = harness.checked_members().skip(checked).collect();
            checked += newly_checked.len();
            for member in newly_checked {
                harness.report_health(member, harness.now - 500 * MS, Role::Replica);
            }
            harness.advance(10);
        }
        health_checks += checked;
        attempts += tried;
    }
    assert!((100..=400).contains(&health_checks), "{health_checks} health checks in a second");
    assert!((100..=300).contains(&attempts), "{attempts} attempts in a second");
}

/// Guards against a new primary that no router finds: after a release its group's members are in slow start, and a
/// write that needs a slow-start permit at each before it may be tried there waits for seconds: 23 of these were served,
/// 86 since. Also guards against too many of them there: 0.2 of two cores for 3 s, three times over, and half as much
/// again for what the ramp has added by then.
#[test]
fn writes_find_an_unnamed_primary_in_slow_start() {
    let mut served = 0;
    for (index, mut harness) in fleet_of_routers(default_settings()).enumerate() {
        let started = Some(Time(harness.now));
        harness.update_list((1..=5).map(|member| ListEntry { started, ..list_entry(member) }).collect());
        harness.advance(index as u64 * 10);
        for _ in 0..2 {
            let write = harness.send_request(WRITE, 2_000, None);
            let mut tried = 0;
            while tried < harness.attempted_members(write).len() {
                tried = harness.attempted_members(write).len();
                if harness.attempted_members(write)[tried - 1] == 1 {
                    harness.advance(50);
                    harness.end_attempt(
                        write,
                        tried as u32 - 1,
                        1,
                        AttemptResult::without_position(Outcome::Ok, 50, Role::Primary),
                    );
                    served += 1;
                    break;
                }
                harness.end_latest_attempt(
                    write,
                    MemberAnswer { outcome: Outcome::NotApplicable, latency_ms: 2, utilisation: 0.5 },
                    |_| true,
                );
            }
            assert!(tried <= 3, "the other attempts are kept for when a primary is found");
            harness.advance(1_000);
            served += usize::from(harness.attempted_members(write).len() > tried);
        }
        assert_eq!(
            harness.attempted_members(RequestId([1; 36])).len().min(1),
            1,
            "the first searches at once"
        );
    }
    assert!((60..=200).contains(&served), "{served} of 200 writes served");
}
