//! Tests of how long an endpoint list may be used after a start, a message, a failed call and a hold-up, to the
//! millisecond.

use linenhill_decisions::api::{Discovery, Micros, Time};
use linenhill_decisions::list_lease::{Basis, ListLease, ListUnusable};

const MS: u64 = 1_000;
const GRACE: Micros = Micros(2_000 * MS);
const START: u64 = 50_000 * MS;

fn at(ms: u64) -> Time {
    Time(START + ms * MS)
}

fn lease(discovery: Discovery, grace: Micros) -> ListLease {
    ListLease::new(at(0), discovery, grace)
}

/// Records a turn every 100 ms, as the driver does, from `from` to `to`, in milliseconds after the start.
fn run_to(lease: &mut ListLease, from: u64, to: u64) {
    (from..=to).step_by(100).for_each(|ms| assert_eq!(lease.record_turn(at(ms)), None));
    lease.record_turn(at(to));
}

/// Guards against sends to a member that was removed right after the previous process ended, 5 s before this start, as
/// in a recorded incident. The removal counts as notified 1 s after the start, and with a grace of 2 s nothing may be
/// sent from 3 s on. The list expires 0.15 s earlier, to allow for a hold-up between the check and the write.
#[test]
fn saved_list_is_used_until_what_it_lacks_binds() {
    let mut saved = lease(Discovery::OnRequest, GRACE);
    run_to(&mut saved, 0, 2_849);
    assert_eq!(saved.check(at(2_849)), Ok(()));
    assert_eq!(saved.check(at(2_850)), Err(ListUnusable::Expired));
    assert_eq!(saved.basis(), Basis::Saved);
    // Where lists are pushed, the agent's list counts as notified from the start.
    let pushed = lease(Discovery::Pushed, Micros(250 * MS));
    assert_eq!(pushed.check(at(99)), Ok(()));
    assert_eq!(pushed.check(at(100)), Err(ListUnusable::Expired));
    // Even without a grace the list is usable for 50 ms.
    assert_eq!(lease(Discovery::Pushed, Micros(0)).check(at(49)), Ok(()));
}

/// Guards against use of a list beyond its lease without a new message, and against an unusable list after a message.
#[test]
fn message_renews_the_lease_and_silence_ends_it() {
    let mut lease = lease(Discovery::OnRequest, GRACE);
    run_to(&mut lease, 0, 1_000);
    lease.confirmed(at(1_000));
    assert_eq!(lease.basis(), Basis::Confirmed);
    run_to(&mut lease, 1_000, 8_849);
    assert_eq!(lease.check(at(8_849)), Ok(()), "1 s, 6 s and 2 s of grace, less the hold-up of 0.15 s");
    assert_eq!(lease.check(at(8_850)), Err(ListUnusable::Expired));
    lease.confirmed(at(8_860));
    assert_eq!(lease.check(at(8_860)), Ok(()));
}

/// Guards against a proxy that stops serving because discovery is unreachable: consecutive failed calls, with the
/// longest gaps and waits, keep the list usable for any length of time. Without further calls the lease expires.
#[test]
fn list_stays_in_use_while_calls_fail() {
    let (gap, wait) = (3_850, 2_750);
    let mut lease = lease(Discovery::OnRequest, GRACE);
    lease.confirmed(at(0));
    let mut last = 0;
    for calls in 1..40 {
        let (began, ended) = (last + gap, last + gap + wait);
        run_to(&mut lease, last, ended);
        // With the longest wait, the second call ends after the lease as prolonged by the first one.
        assert!(lease.check(at(ended)) == Ok(()) || calls == 2, "{ended}");
        lease.call_failed(at(ended), at(began));
        assert!(lease.basis() == Basis::Unreachable || calls == 1);
        last = ended;
    }
    run_to(&mut lease, last, last + 7_900);
    assert_eq!(
        lease.check(at(last + 7_900)),
        Err(ListUnusable::Expired),
        "no call failed since, so the lease was not renewed"
    );
}

/// Guards against treating one failed call as an outage: it prolongs the current lease by its own duration only.
#[test]
fn one_failed_call_prolongs_the_lease_by_its_own_time() {
    let mut confirmed = lease(Discovery::OnRequest, GRACE);
    confirmed.confirmed(at(0));
    run_to(&mut confirmed, 0, 4_000);
    confirmed.call_failed(at(4_000), at(3_000));
    run_to(&mut confirmed, 4_000, 8_849);
    assert_eq!(confirmed.check(at(8_849)), Ok(()), "7.85 s, and the 1 s of the call");
    assert_eq!(confirmed.check(at(8_850)), Err(ListUnusable::Expired));
    // After a watch that was broken off, the failed call is the second failure in a row.
    let mut broken = lease(Discovery::OnRequest, GRACE);
    broken.confirmed(at(0));
    broken.watch_ended(at(500), false);
    broken.call_failed(at(4_000), at(3_000));
    assert_eq!((broken.basis(), broken.usable_until()), (Basis::Unreachable, at(11_850)));
    // Without any message since the start, a first failed call does not prolong the lease; a second one is an outage.
    let mut saved = lease(Discovery::OnRequest, GRACE);
    run_to(&mut saved, 0, 1_000);
    saved.call_failed(at(1_000), at(900));
    assert_eq!(saved.basis(), Basis::Saved);
    run_to(&mut saved, 1_000, 2_900);
    assert_eq!(saved.check(at(2_900)), Err(ListUnusable::Expired));
    saved.call_failed(at(2_900), at(2_800));
    assert_eq!(saved.basis(), Basis::Unreachable);
    // Even then the saved list stays unusable until 12 s: it may lack changes that counted as notified before the
    // start.
    saved.call_failed(at(6_000), at(5_000));
    run_to(&mut saved, 2_900, 11_999);
    assert_eq!(saved.check(at(11_999)), Err(ListUnusable::Expired));
    assert!(!saved.is_ready(at(11_999)) && saved.is_ready(at(12_000)));
    assert!(!saved.may_report_ready(at(8_499)) && saved.may_report_ready(at(8_500)));
    assert_eq!(saved.check(at(12_000)), Ok(()));
    let mut confirmed_late = lease(Discovery::OnRequest, GRACE);
    confirmed_late.confirmed(at(3_400));
    assert!(confirmed_late.is_ready(at(3_400)));
    run_to(&mut confirmed_late, 0, 3_400);
    assert_eq!(confirmed_late.check(at(3_400)), Ok(()));
}

/// Guards against a full lease on a pushed list whose watch ended, since the agent may hold a newer list; and against a
/// short one after a watch that fell silent because discovery is unreachable, since the agent then has no newer list.
#[test]
fn end_of_a_watch_binds_at_once_where_lists_are_pushed() {
    let cases = [
        (Discovery::Pushed, false, 1_850),
        (Discovery::Pushed, true, 7_850),
        (Discovery::OnRequest, false, 7_850),
    ];
    for (discovery, was_silent, usable) in cases {
        let mut lease = lease(discovery, GRACE);
        lease.confirmed(at(0));
        lease.watch_ended(at(0), was_silent);
        run_to(&mut lease, 0, usable - 1);
        assert_eq!(lease.check(at(usable - 1)), Ok(()));
        assert_eq!(lease.check(at(usable)), Err(ListUnusable::Expired));
    }
    let mut unreachable_agent = lease(Discovery::Pushed, Micros(250 * MS));
    unreachable_agent.call_failed(at(50), at(49));
    assert_eq!(unreachable_agent.check(at(50)), Ok(()), "an unreachable agent receives no new lists");
}

/// Guards against sends by a process that resumes after a suspension and has not yet read what arrived meanwhile.
/// Neither the last turn before the suspension nor the first one after it permits a send.
#[test]
fn nothing_is_sent_after_a_hold_up_until_what_arrived_was_read() {
    let mut lease = lease(Discovery::OnRequest, GRACE);
    lease.confirmed(at(0));
    run_to(&mut lease, 0, 1_000);
    assert_eq!(lease.check(at(1_300)), Ok(()), "a turn may be late by the platform's maximum hold-up");
    assert_eq!(lease.check(at(1_301)), Err(ListUnusable::CatchingUp), "no turn for over 300 ms");
    assert_eq!(lease.held_up_since(at(1_300)), None);
    assert_eq!(
        lease.held_up_since(at(1_301)),
        Some(at(1_000)),
        "input that is read now may have arrived since the last turn"
    );
    assert_eq!(lease.record_turn(at(6_000)), Some(Micros(5_000 * MS)));
    assert_eq!(lease.held_up_since(at(6_049)), Some(at(1_000)));
    assert_eq!(lease.held_up_since(at(6_050)), None);
    assert_eq!(lease.check(at(6_049)), Err(ListUnusable::CatchingUp));
    assert_eq!(lease.check(at(6_050)), Ok(()));
    // After a suspension longer than the lease, the list must be confirmed before it is used.
    assert_eq!(lease.record_turn(at(60_000)), Some(Micros(54_000 * MS)));
    run_to(&mut lease, 60_000, 60_100);
    assert_eq!(lease.check(at(60_100)), Err(ListUnusable::Expired));
    lease.confirmed(at(60_110));
    assert_eq!(lease.check(at(60_110)), Ok(()));
}

/// Guards against an overflow at extreme times.
#[test]
fn extreme_times_cause_no_panic() {
    let lease = ListLease::new(Time(u64::MAX), Discovery::OnRequest, Micros(u64::MAX));
    assert_eq!(lease.check(Time(u64::MAX)), Err(ListUnusable::Expired));
}
