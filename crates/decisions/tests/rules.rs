//! The rules and the mechanism, on the decision module alone.

mod common;
use common::*;
use linenhill_decisions::api::*;

#[test]
fn a_session_read_waits_for_a_replica_that_has_its_write() {
    let mut rig = Rig::new(settings());
    let commit = rig.write(5, 50);
    let read = rig.ask(SESSION, 1_000, Some(5));
    assert!(rig.sends(read).is_empty(), "no replica is known to have the write");
    rig.report(3, commit + 5 * MS, Role::Replica);
    assert_eq!(rig.sends(read), [3]);
}

#[test]
fn the_wait_ends_on_the_primary() {
    let mut rig = Rig::new(settings());
    rig.write(5, 10);
    let read = rig.ask(SESSION, 1_000, Some(5));
    rig.wait(400);
    assert_eq!(rig.sends(read), [1]);
}

#[test]
fn a_commit_counts_though_its_client_has_left() {
    let mut rig = Rig::new(settings());
    let write = rig.ask(WRITE, 2_000, Some(5));
    rig.wait(30);
    rig.event(Event::ClientGone { id: write });
    rig.answer(write, 0, 1, Outcome::Ok, 30, Some(rig.now), Some(Role::Primary));
    let read = rig.ask(SESSION, 1_000, Some(5));
    assert!(rig.sends(read).iter().all(|m| *m == 1), "a replica behind the write must not answer");
}

#[test]
fn a_bounded_target_moves_with_the_clock() {
    let mut rig = Rig::new(settings());
    let fresh = rig.ask(BOUNDED, 1_000, None);
    assert_ne!(rig.sends(fresh), [1]);
    rig.wait(205);
    let late = rig.ask(BOUNDED, 1_000, None);
    assert!(rig.sends(late).is_empty(), "both replicas were heard of over 200 ms ago");
}

#[test]
fn reads_don_t_trust_a_primary_that_only_the_list_names() {
    let mut rig = Rig::empty(settings());
    let mut entries: Vec<ListEntry> = (1..=3).map(entry).collect();
    entries[0].primary_hint = true;
    rig.list(entries);
    let read = rig.ask(FRESH, 1_000, None);
    rig.wait(100);
    assert!(rig.sends(read).is_empty());
    let write = rig.ask(WRITE, 1_000, None);
    assert_eq!(rig.sends(write), [1], "a write there can do no harm");
}

#[test]
fn a_draining_member_gets_nothing_new() {
    let mut rig = Rig::new(settings());
    let mut entries: Vec<ListEntry> = (1..=3).map(entry).collect();
    entries[1].state = MemberState::Draining;
    rig.list(entries);
    for _ in 0..6 {
        let read = rig.ask(ANY, 1_000, None);
        assert_eq!(rig.sends(read), [3]);
        rig.answer(read, 0, 3, Outcome::Ok, 10, Some(rig.now), Some(Role::Replica));
    }
}

#[test]
fn an_unsafe_write_that_may_have_run_fails_at_once_and_is_not_sent_again() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Failed] {
        let mut rig = Rig::new(settings());
        let write = rig.ask(WRITE, 2_000, None);
        rig.answer(write, 0, 1, outcome, 100, None, None);
        assert_eq!(rig.sends(write), [1]);
        assert!(rig.out.contains(&Action::Fail { id: write }));
        rig.wait(2_500);
        assert_eq!(rig.finals(write), 1);
    }
}

#[test]
fn a_missed_write_finds_the_new_primary_and_runs_there() {
    let mut rig = Rig::new(settings());
    rig.wait(20);
    let write = rig.ask(WRITE, 2_000, None);
    rig.answer(write, 0, 1, Outcome::NotApplicable, 1, None, Some(Role::Replica));
    assert_eq!(rig.sends(write), [1]);
    rig.wait(100);
    assert!(rig.probes() >= 2, "it looks for the primary");
    rig.report(2, rig.now, Role::Primary);
    assert_eq!(rig.sends(write), [1, 2]);
}

#[test]
fn without_a_primary_probes_stay_bounded_and_each_write_gets_one_answer() {
    let mut rig = Rig::empty(settings());
    rig.list((1..=3).map(entry).collect());
    let write = rig.ask(WRITE, 1_000, None);
    let mut guesses = 0;
    for _ in 0..100 {
        rig.wait(10);
        for m in 1..=3 {
            rig.report(m, rig.now - 500 * MS, Role::Replica);
        }
        for (n, member) in rig.sends(write).into_iter().enumerate().skip(guesses) {
            rig.answer(write, n as u32, member, Outcome::NotApplicable, 2, None, Some(Role::Replica));
            guesses += 1;
        }
    }
    assert!((1..=3).contains(&guesses), "it looks for itself, and keeps attempts for when one is found");
    assert_eq!(rig.finals(write), 1);
    assert!(rig.probes() < 3 * 20, "{} probes in a second", rig.probes());
}

#[test]
fn silence_stops_writes_and_moves_reads() {
    let mut rig = Rig::new(settings());
    let first: Vec<RequestId> = (0..4).map(|_| rig.ask(WRITE, 2_000, None)).collect();
    assert!(first.iter().all(|id| rig.sends(*id) == [1]));
    rig.wait(450);
    let later = rig.ask(WRITE, 100, None);
    rig.wait(100);
    assert!(rig.sends(later).is_empty(), "a member that answers nothing gets no more writes");
    assert_eq!(rig.finals(later), 1);
    let trials: Vec<RequestId> = (0..10).map(|_| rig.ask(WRITE, 1_000, None)).collect();
    rig.wait(400);
    let sent = trials.iter().filter(|id| !rig.sends(**id).is_empty()).count();
    assert!(sent <= 2, "{sent} writes tried a silent primary at once");
}

#[test]
fn a_hung_primary_is_believed_again_when_the_log_moves_on() {
    let mut rig = Rig::new(settings());
    let first = rig.ask(WRITE, 5_000, None);
    assert_eq!(rig.sends(first), [1]);
    rig.wait(800);
    rig.report(2, rig.now + 500 * MS, Role::Replica);
    let later = rig.ask(WRITE, 2_000, None);
    assert_eq!(rig.sends(later), [1]);
}

#[test]
fn a_cold_member_gets_little() {
    let mut rig = Rig::new(settings());
    let mut entries: Vec<ListEntry> = (1..=3).map(entry).collect();
    entries[1].started = Some(Time(rig.now));
    entries[2].started = Some(Time(rig.now));
    rig.list(entries);
    let mut sent = 0;
    for _ in 0..100 {
        let read = rig.ask(ANY, 1_000, None);
        for member in rig.sends(read) {
            sent += 1;
            rig.answer(read, 0, member, Outcome::Ok, 10, Some(rig.now), Some(Role::Replica));
        }
        rig.wait(2);
    }
    assert!(sent < 20, "{sent} sends to two cold members in 0.2 s");
}

#[test]
fn long_reads_of_any_age_gather_on_the_replica_furthest_behind() {
    let mut rig = Rig::new(settings());
    rig.wait(6_000);
    rig.report(2, rig.now - 5_000 * MS, Role::Replica);
    rig.report(3, rig.now, Role::Replica);
    for _ in 0..5 {
        let read = rig.ask(ANY, 1_000, None);
        assert_eq!(rig.sends(read), [2]);
    }
}

#[test]
fn clients_that_leave_early_hurry_the_fallback() {
    let fallen_after = |hasty: bool| {
        let mut rig = Rig::new(settings());
        for _ in 0..30 * u32::from(hasty) {
            rig.wait(205);
            let read = rig.ask(BOUNDED, 1_000, None);
            rig.wait(60);
            rig.event(Event::ClientGone { id: read });
            for m in rig.sends(read) {
                rig.answer(read, 0, m, Outcome::Cancelled, 10, None, None);
            }
        }
        rig.wait(1_500);
        let read = rig.ask(BOUNDED, 1_000, None);
        (0..100).find(|_| {
            rig.wait(5);
            !rig.sends(read).is_empty()
        })
    };
    assert!(fallen_after(true) < fallen_after(false));
}

#[test]
fn fallen_back_reads_don_t_flood_the_primary() {
    let mut rig = Rig::new(Settings { fleet_size: 40, ..settings() });
    rig.wait(3_000);
    let reads: Vec<RequestId> = (0..40).map(|_| rig.ask(BOUNDED, 1_000, None)).collect();
    rig.wait(400);
    let fallen = reads.iter().filter(|id| rig.sends(**id).contains(&1)).count();
    assert!((1..=4).contains(&fallen), "{fallen} reads fell on the primary at once");
    rig.wait(1_000);
    assert!(reads.iter().all(|id| rig.finals(*id) + rig.sends(*id).len() >= 1));
}

#[test]
fn dead_members_are_not_tried_in_a_loop() {
    let mut rig = Rig::new(settings());
    let read = rig.ask(ANY, 1_000, None);
    for attempt in 0..8 {
        let Some(member) = rig.sends(read).get(attempt).copied() else { break };
        rig.answer(read, attempt as u32, member, Outcome::ConnectError, 1, None, None);
    }
    assert!(rig.sends(read).len() <= 3, "{:?}", rig.sends(read));
}

#[test]
fn unknown_and_late_ids_are_passed_over() {
    let mut rig = Rig::new(settings());
    let ghost = RequestId([200; 36]);
    rig.event(Event::ClientGone { id: ghost });
    rig.answer(ghost, 3, 2, Outcome::Ok, 10, None, None);
    rig.answer(ghost, 0, 99, Outcome::Ok, 10, None, None);
    rig.event(Event::TimerDue { token: 12_345 });
    rig.report(99, 5, Role::Primary);
    assert!(rig.out.iter().all(|a| matches!(a, Action::CheckHealth { .. })), "{:?}", rig.out);
}

#[test]
fn a_group_without_members_answers_each_request_once() {
    let mut rig = Rig::empty(settings());
    let ids: Vec<RequestId> = [WRITE, SESSION, BOUNDED, FRESH, ANY].map(|c| rig.ask(c, 300, None)).to_vec();
    rig.wait(290);
    assert!(ids.iter().all(|id| rig.finals(*id) == 1 && rig.sends(*id).is_empty()));
}

#[test]
fn equal_events_give_equal_actions() {
    let play = || {
        let mut rig = Rig::new(settings());
        for i in 0..20 {
            let id = rig.ask(if i % 3 == 0 { WRITE } else { ANY }, 1_000, Some(i));
            for (n, m) in rig.sends(id).into_iter().enumerate() {
                rig.answer(id, n as u32, m, Outcome::Ok, 5 + i, Some(rig.now), None);
            }
            rig.wait(7);
        }
        rig.out
    };
    assert_eq!(play(), play());
}

#[test]
fn discovery_is_asked_again_after_an_error_with_backoff() {
    let mut rig = Rig::empty(Settings { discovery: Discovery::OnRequest, ..settings() });
    rig.event(Event::ListUpdated(ListUpdate::Cached(vec![entry(1)].into())));
    let mut asked = 0;
    for _ in 0..200 {
        rig.wait(10);
        let n = rig.out.iter().filter(|a| **a == Action::Subscribe).count();
        if n > asked {
            asked = n;
            rig.event(Event::ListUpdated(ListUpdate::Failed { silent_for: None }));
        }
    }
    assert!((3..=6).contains(&asked), "asked {asked} times in 2 s");
}

#[test]
fn a_keyed_request_is_repeated_only_within_its_window() {
    for (window, again) in [(5_000, true), (50, false)] {
        let mut s = settings();
        s.classes[0].idempotency =
            Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(window * MS) };
        let mut rig = Rig::new(s);
        let write = rig.ask(WRITE, 2_000, None);
        rig.wait(100);
        rig.answer(write, 0, 1, Outcome::Failed, 100, None, None);
        assert_eq!(rig.sends(write).len() == 2, again);
        assert_eq!(rig.out.contains(&Action::Fail { id: write }), !again);
    }
}

// Guards against a repeat that was allowed when it was held for want of a member, and is sent when its key's window is
// over; or decided just before, and written once its connection is up.
#[test]
fn a_keyed_request_that_waited_for_its_repeat_is_not_sent_past_its_window() {
    for (waits, again) in [(400, true), (800, false), (1_200, false)] {
        let mut s = settings();
        s.classes[0].idempotency =
            Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(1_000 * MS) };
        let mut rig = Rig::new(s);
        let write = rig.ask(WRITE, 5_000, None);
        let all = |state| (1..=3).map(|n| ListEntry { state, ..entry(n) }).collect::<Vec<_>>();
        rig.list(all(MemberState::Draining));
        rig.answer(write, 0, 1, Outcome::Reset, 1, None, None);
        assert_eq!((rig.sends(write).len(), rig.finals(write)), (1, 0), "held");
        rig.wait(waits);
        rig.list(all(MemberState::InService));
        rig.report(1, rig.now, Role::Primary);
        rig.wait(100);
        assert_eq!(rig.sends(write).len() == 2, again, "after {waits} ms");
        assert_eq!(rig.out.contains(&Action::Fail { id: write }), !again, "after {waits} ms");
    }
}

#[test]
fn a_slow_read_gets_one_second_copy_where_allowed() {
    for allowed in [false, true] {
        let mut s = settings();
        s.limits.hedging = allowed;
        s.classes[4].latency_objective = Micros(2_000 * MS);
        let mut rig = Rig::new(s);
        // A busy neighbour keeps answering, so the member itself is no suspect.
        for _ in 0..40 {
            let id = rig.ask(ANY, 1_000, None);
            let at = rig.sends(id)[0];
            rig.wait(10);
            rig.answer(id, 0, at, Outcome::Ok, 10, Some(rig.now), Some(Role::Replica));
        }
        let read = rig.ask(ANY, 3_000, None);
        let at = rig.sends(read)[0];
        for _ in 0..130 {
            rig.wait(10);
            let other = rig.ask(BOUNDED, 1_000, None);
            for m in rig.sends(other) {
                rig.answer(other, 0, m, Outcome::Ok, 10, Some(rig.now), None);
            }
            rig.report(at, rig.now, Role::Replica);
        }
        assert_eq!(rig.sends(read).len(), if allowed { 2 } else { 1 });
    }
}

#[test]
fn no_full_wait_is_paid_when_every_replica_is_known_to_lag() {
    let mut s = settings();
    (s.position_check, s.session_positions) = (PositionCheck::Reject, SessionPositions::CarriedByRequest);
    let mut rig = Rig::new(s);
    rig.wait(3_000);
    for m in 2..=3 {
        rig.report(m, rig.now - 2_900 * MS, Role::Replica);
    }
    let id = RequestId([250; 36]);
    rig.event(Event::RequestArrived(Request {
        id,
        class: SESSION,
        time_left: Micros(1_000 * MS),
        tenant: None,
        last_write_age: Some(Micros(100 * MS)),
        group: GROUP,
        session: Some(SessionKey(1)),
    }));
    assert_eq!(rig.sends(id), [1], "at once, without a hold");
}

#[test]
fn a_turned_away_read_tries_another_replica() {
    let mut s = settings();
    s.position_check = PositionCheck::Wait(Micros(50 * MS));
    let mut rig = Rig::new(s);
    let read = rig.ask(BOUNDED, 1_000, None);
    let first = rig.sends(read)[0];
    rig.answer(read, 0, first, Outcome::NotApplicable, 50, None, Some(Role::Replica));
    let other = if first == 2 { 3 } else { 2 };
    assert_eq!(rig.sends(read), [first, other]);
}

#[test]
fn a_member_back_from_the_dead_starts_slowly_before_the_list_knows() {
    let mut rig = Rig::new(settings());
    let mut entries: Vec<ListEntry> = (1..=3).map(entry).collect();
    entries[2].state = MemberState::Draining;
    rig.list(entries);
    let read = rig.ask(ANY, 1_000, None);
    rig.answer(read, 0, 2, Outcome::ConnectError, 1, None, None);
    for _ in 0..2 {
        rig.event(Event::HealthCheckEnded {
            member: MemberId(2),
            outcome: Outcome::ConnectError,
            report: LoadReport::default(),
        });
    }
    rig.wait(3_000);
    rig.report(2, rig.now, Role::Replica);
    let sent = (0..50).filter(|_| {
        let id = rig.ask(ANY, 1_000, None);
        let to = rig.sends(id);
        to.iter().for_each(|m| rig.answer(id, 0, *m, Outcome::Ok, 10, Some(rig.now), None));
        !to.is_empty()
    });
    let sent = sent.count();
    assert!(sent < 10, "{sent} sends at once to a member just back");
}

#[test]
fn what_is_over_a_tenants_allowance_goes_first() {
    let mut s = settings();
    s.tenants = vec![Tenant { allowance_per_s: 5.0 }, Tenant { allowance_per_s: 1_000.0 }];
    let mut rig = Rig::new(s);
    let mut end = |tenant: usize, n: u8| {
        let id = RequestId([n; 36]);
        rig.event(Event::RequestArrived(Request {
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
    let greedy: Vec<RequestId> = (0..40).map(|n| end(0, 100 + n)).collect();
    let modest = end(1, 99);
    let first = greedy[0];
    let at = rig.sends(first).len();
    assert_eq!(at, 1, "served while there is room");
    rig.wait(50);
    rig.answer(first, 0, 1, Outcome::Ok, 50, Some(rig.now), Some(Role::Primary));
    assert_eq!(rig.sends(modest), [1], "the modest tenant's write goes before forty that waited longer");
}

// Guards against a write held to the end of its time while its primary can't be reached: its client, told
// early, comes back; held on, it loses its time and the operators charge for it.
#[test]
fn what_reached_nobody_is_refused_by_half_its_time() {
    let mut rig = Rig::new(settings());
    let write = rig.ask(WRITE, 2_000, None);
    rig.wait(250);
    let mut ended = 0;
    for _ in 0..7 {
        while ended < rig.sends(write).len() as u32 {
            rig.answer(write, ended, 1, Outcome::ConnectError, 250, None, None);
            ended += 1;
        }
        rig.event(Event::HealthCheckEnded {
            member: MemberId(1),
            outcome: Outcome::ConnectError,
            report: LoadReport::default(),
        });
        assert_eq!(rig.finals(write), 0, "there is still time for the primary to come back");
        rig.wait(100);
    }
    rig.wait(40);
    assert_eq!(rig.finals(write), 1);
    assert!(matches!(rig.out.last(), Some(Action::Reject { id, retry_after: Some(_) }) if *id == write));
}

// Guards against the same loss after the primary is back: counted as cold, it takes only a few at a time.
#[test]
fn what_waits_for_a_cold_primary_is_refused_by_half_its_time() {
    let mut rig = Rig::new(settings());
    let mut cold: Vec<ListEntry> = (1..=3).map(entry).collect();
    cold[0].started = Some(Time(rig.now - MS));
    rig.list(cold);
    rig.report(1, rig.now, Role::Primary);
    let writes: Vec<RequestId> = (0..40).map(|_| rig.ask(WRITE, 1_000, None)).collect();
    rig.wait(490);
    for write in writes {
        assert_eq!(rig.sends(write).len() + rig.finals(write), 1, "sent, or refused in time to come back");
    }
}

// Guards against holding it against a member that its answers arrive spoilt, and against a repeat of what may
// have run.
#[test]
fn a_garbled_answer_may_have_run_and_says_nothing_against_the_member() {
    let mut rig = Rig::new(settings());
    let read = rig.ask(BOUNDED, 2_000, None);
    let sent = rig.sends(read);
    rig.answer(read, 0, sent[0], Outcome::MalformedReply, 20, None, None);
    assert_eq!(rig.sends(read).len(), 2, "a read is sent again");
    let write = rig.ask(WRITE, 2_000, None);
    rig.answer(write, 0, 1, Outcome::MalformedReply, 20, None, None);
    assert!(rig.out.contains(&Action::Fail { id: write }), "an unsafe write is not");
    for _ in 0..20 {
        let probed = Event::HealthCheckEnded {
            member: MemberId(1),
            outcome: Outcome::MalformedReply,
            report: LoadReport::default(),
        };
        rig.event(probed);
        let id = rig.ask(WRITE, 2_000, None);
        assert_eq!(rig.sends(id), [1], "the member stays in use");
        rig.answer(id, 0, 1, Outcome::MalformedReply, 20, None, None);
    }
}

// Guards against reads of data older than they may be, for a report that tells of the future.
#[test]
fn a_position_from_the_future_is_not_believed() {
    let mut rig = Rig::new(Settings { position_check: PositionCheck::None, ..settings() });
    rig.report(2, rig.now + 3_600_000 * MS, Role::Replica);
    let commit = rig.write(5, 50);
    rig.wait(100);
    let id = rig.ask(SESSION, 2_000, Some(5));
    assert!(!rig.sends(id).contains(&2), "nobody has told that it applied {commit}");
}

// Guards against memory that grows with every group, session or member that is named once.
#[test]
fn what_is_kept_is_dropped_with_its_subject() {
    let brought = Settings { session_positions: SessionPositions::CarriedByRequest, ..settings() };
    let mut rig = Rig::new(brought);
    let before = rig.router.record_count();
    for n in 0..100u8 {
        rig.write(u64::from(n), 1);
        let unknown = Request {
            id: RequestId([128 + n; 36]),
            class: ANY,
            time_left: Micros(5 * MS),
            tenant: None,
            last_write_age: None,
            group: GroupId(1_000 + u32::from(n)),
            session: None,
        };
        rig.event(Event::RequestArrived(unknown));
        rig.wait(10);
    }
    rig.wait(1_000);
    assert_eq!(rig.router.record_count(), before);
    (1..=3).for_each(|member| rig.report(member, rig.now, Role::Replica));
    rig.list((4..=6).map(entry).collect());
    rig.wait(61_000);
    rig.list((4..=6).map(entry).collect());
    assert!(!rig.router.has_record_of(MemberId(1)) && rig.router.has_record_of(MemberId(4)));
}

// Guards against a write that waits to its deadline for an answer that is lost, and against a repeat of one
// whose primary is only slow, or that must not be repeated.
#[test]
fn a_keyed_write_is_sent_anew_once_later_ones_are_answered() {
    let keyed = Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(5_000 * MS) };
    for (effect, answered, again) in
        [(keyed, true, true), (keyed, false, false), (Idempotency::NotIdempotent, true, false)]
    {
        let mut set = settings();
        (set.classes[0].idempotency, set.classes[0].latency_objective) = (effect, Micros(200 * MS));
        let mut rig = Rig::new(set);
        let first = rig.ask(WRITE, 2_000, None);
        for _ in 0..50 {
            rig.wait(20);
            let next = rig.ask(WRITE, 2_000, None);
            if answered {
                rig.answer(next, 0, 1, Outcome::Ok, 20, Some(rig.now), Some(Role::Primary));
            }
        }
        let cancel = Action::Cancel { id: first, attempt: 0 };
        assert_eq!(rig.out.contains(&cancel), again, "{effect:?}, answered={answered}");
        if again {
            rig.answer(first, 0, 1, Outcome::Cancelled, 1_000, None, None);
            assert_eq!(rig.sends(first), [1, 1]);
        }
    }
}

// Guards against a member believed dead for a probe whose connection broke, though it has just answered; and
// against one believed alive that nobody has heard of for long.
#[test]
fn a_probe_whose_connection_breaks_counts_against_the_silent_only() {
    for broken in [Outcome::Reset, Outcome::ConnectError] {
        let mut rig = Rig::new(settings());
        let report = LoadReport::default();
        rig.event(Event::HealthCheckEnded { member: MemberId(1), outcome: broken, report });
        let write = rig.ask(WRITE, 1_000, None);
        assert_eq!(rig.sends(write), [1], "it has just answered a write");
        rig.answer(write, 0, 1, Outcome::Ok, 5, Some(rig.now), Some(Role::Primary));
        rig.wait(1_100);
        rig.event(Event::HealthCheckEnded { member: MemberId(1), outcome: broken, report });
        let write = rig.ask(WRITE, 1_000, None);
        assert!(rig.sends(write).is_empty(), "nobody has heard of it for a second");
    }
}

// Guards against room spent on what will miss its aim while what could win waits behind it, and against slow
// times that rule out fresh requests too.
#[test]
fn what_has_waited_too_long_is_refused_and_what_is_fresh_goes_first() {
    let mut s = settings();
    s.classes[FRESH.0].late_weight = 0.0;
    let mut rig = Rig::new(s);
    rig.list(vec![entry(1)]);
    // Only the primary is left; it is filled up, and what comes then is held.
    let busy: Vec<RequestId> = (0..20).map(|_| rig.ask(FRESH, 2_000, None)).collect();
    let out: Vec<RequestId> = busy.iter().copied().filter(|id| !rig.sends(*id).is_empty()).collect();
    let old = *busy.last().expect("some");
    assert!(out.len() < busy.len() && rig.sends(old).is_empty());
    rig.wait(200);
    let fresh = rig.ask(FRESH, 2_000, None);
    assert!(rig.sends(fresh).is_empty() && rig.finals(old) == 0);
    rig.answer(out[0], 0, 1, Outcome::Ok, 200, Some(rig.now), Some(Role::Primary));
    assert_eq!(rig.sends(fresh), [1], "its odds are better than those of what came before");
    assert!(rig.sends(old).is_empty());
    assert_eq!(rig.finals(old), 0, "its wait for a replica may not be over");
    rig.wait(100);
    assert_eq!(
        rig.finals(old),
        1,
        "300 ms of its 500 are over: it is answered at once, with when to come back"
    );
}

// Guards against sparing a member for the whole time of a warm-up when it was only cut off: its primary took 17%
// of the writes it could for 16 s after a data room was back.
#[test]
fn a_member_that_was_only_cut_off_gets_its_full_share_at_once() {
    for (took, cut) in [(250, true), (1, false)] {
        let mut rig = Rig::new(settings());
        for _ in 0..8 {
            let write = rig.ask(WRITE, 2_000, None);
            rig.wait(took);
            for attempt in 0..rig.sends(write).len() as u32 {
                rig.answer(write, attempt, 1, Outcome::ConnectError, took, None, None);
            }
        }
        rig.wait(3_000);
        rig.report(1, rig.now, Role::Primary);
        let first = rig.ask(WRITE, 2_000, None);
        rig.wait(500);
        let sent = rig.sends(first).len() as u32;
        (0..sent).for_each(|n| rig.answer(first, n, 1, Outcome::Ok, 5, Some(rig.now), Some(Role::Primary)));
        let writes: Vec<RequestId> = (0..4).map(|_| rig.ask(WRITE, 1_000, None)).collect();
        let sent = writes.iter().filter(|id| !rig.sends(**id).is_empty()).count();
        assert_eq!(sent == 4, cut, "{sent} of 4 writes sent at once");
    }
}
