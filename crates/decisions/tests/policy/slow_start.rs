//! Tests of how much all routers together send to recently started members.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against full traffic to members that have just started.
#[test]
fn restarted_member_gets_few_requests() {
    let mut harness = RouterHarness::new(default_settings());
    let mut entries: Vec<ListEntry> = (1..=3).map(list_entry).collect();
    entries[1].started = Some(Time(harness.now));
    entries[2].started = Some(Time(harness.now));
    harness.update_list(entries);
    let mut sent = 0;
    for _ in 0..100 {
        let read = harness.send_request(ANY, 1_000, None);
        for member in harness.attempted_members(read) {
            sent += 1;
            harness.end_attempt(read, 0, member, AttemptResult::answered(10, harness.now, Role::Replica));
        }
        harness.advance(2);
    }
    assert!(sent < 20, "{sent} attempts at two members in slow start in 0.2 s");
}

/// Guards against full traffic to a member that rejected connections, and so may have restarted, when it responds again
/// before the list reports its start.
#[test]
fn recovered_member_starts_slowly_before_the_list_update() {
    let mut harness = RouterHarness::new(default_settings());
    let mut entries: Vec<ListEntry> = (1..=3).map(list_entry).collect();
    entries[2].state = MemberState::Draining;
    harness.update_list(entries);
    let read = harness.send_request(ANY, 1_000, None);
    harness.end_attempt(read, 0, 2, AttemptResult::without_report(Outcome::ConnectError, 1));
    for _ in 0..2 {
        harness.fail_health_check(2, Outcome::ConnectError);
    }
    harness.advance(3_000);
    harness.report_health(2, harness.now, Role::Replica);
    let sent = (0..50).filter(|_| {
        let read = harness.send_request(ANY, 1_000, None);
        let members = harness.attempted_members(read);
        for member in &members {
            let result = AttemptResult::without_role(10, harness.now);
            harness.end_attempt(read, 0, *member, result);
        }
        !members.is_empty()
    });
    let sent = sent.count();
    assert!(sent < 10, "{sent} of 50 reads were sent at once to a recovered member");
}

/// Guards against a slow start of a member that was only disconnected: for 16 s after a zone had recovered, a primary
/// there got 17% of the writes that it could serve.
#[test]
fn disconnected_member_returns_without_slow_start() {
    for (latency_ms, was_disconnected) in [(250, true), (1, false)] {
        let mut harness = RouterHarness::new(default_settings());
        for _ in 0..8 {
            let write = harness.send_request(WRITE, 2_000, None);
            harness.advance(latency_ms);
            for attempt in 0..harness.attempted_members(write).len() as u32 {
                harness.end_attempt(
                    write,
                    attempt,
                    1,
                    AttemptResult::without_report(Outcome::ConnectError, latency_ms),
                );
            }
        }
        harness.advance(3_000);
        harness.report_health(1, harness.now, Role::Primary);
        let first = harness.send_request(WRITE, 2_000, None);
        harness.advance(500);
        let sent = harness.attempted_members(first).len() as u32;
        for attempt in 0..sent {
            harness.end_attempt(first, attempt, 1, AttemptResult::answered(5, harness.now, Role::Primary));
        }
        let writes: Vec<RequestId> = (0..4).map(|_| harness.send_request(WRITE, 1_000, None)).collect();
        let sent = writes.iter().filter(|id| !harness.attempted_members(**id).is_empty()).count();
        assert_eq!(sent == 4, was_disconnected, "{sent} of 4 writes sent at once");
    }
}

/// Guards against routers that each send little to a starting member but overload it together.
#[test]
fn fleet_stays_below_the_slow_start_floor() {
    let mut sent = 0;
    for seed in 0..u64::from(FLEET_SIZE) {
        let mut harness =
            RouterHarness::seeded(Settings { fleet_size: FLEET_SIZE, ..default_settings() }, seed);
        let started = Some(Time(harness.now));
        harness.update_list(vec![ListEntry { started, ..list_entry(2) }, list_entry(1)]);
        harness.report_health(1, harness.now, Role::Primary);
        harness.report_health(2, harness.now, Role::Replica);
        for _ in 0..50 {
            harness.advance(20);
            harness.send_request(ANY, 1_000, None);
        }
        sent += harness.actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
    }
    // A slow-start floor of 0.2 and an overload multiple of 3 on two cores: 12 requests of 100 ms in a second.
    assert!((1..=20).contains(&sent), "{sent} attempts in its first second");
}

/// Simulates a hundred routers that send reads to six members in slow start for 6 s. With `pause_ms`, they first do the
/// same with six other members and pause for that time. Each router sends one read every 100 ms, which takes 50 ms; the
/// members report `utilisation`. Returns the number of attempts in each of the last six seconds.
fn slow_start_sends(utilisation: f64, pause_ms: Option<u64>) -> Vec<usize> {
    let mut sent = vec![0; 6];
    let mut settings = Settings { position_check: PositionCheck::Reject, ..default_settings() };
    settings.rules.slow_start = Micros(10_000 * MS);
    settings.rules.overload_duration = Micros(3_000 * MS);
    for mut harness in fleet_of_routers(settings) {
        for wave in u32::from(pause_ms.is_none())..2 {
            let first = 10 + 10 * wave;
            let started = Some(Time(harness.now));
            let new = (first..first + 6).map(|member| ListEntry { started, ..list_entry(member) });
            harness.update_list(new.chain([list_entry(1)]).collect());
            harness.report_health(1, harness.now, Role::Primary);
            for step in 0..60 {
                let read = harness.send_request(ANY, 90, None);
                harness.advance(50);
                let answer = MemberAnswer { outcome: Outcome::Ok, latency_ms: 50, utilisation };
                let answered = harness.end_latest_attempt(read, answer, |member| member >= first);
                if answered.is_some() && wave == 1 {
                    sent[step / 10] += 1;
                }
                harness.advance(50);
            }
            harness.update_list(vec![list_entry(1)]);
            harness.advance(pause_ms.filter(|_| wave == 0).unwrap_or(0));
        }
    }
    sent
}

/// Guards against members in slow start that stay mostly idle. Each router sends to each of them only once in seconds,
/// so the gaps between sends leave most of the capacity unused unless low reported utilisation shortens them; the
/// reports of one member count for all. Also guards against overload: whatever is reported, in every window of 3 s all
/// routers together stay below the overload multiple of what four cores of each member serve on the slowest ramp, and
/// later members do not start at the raised rate of earlier ones.
#[test]
fn slow_start_follows_utilisation_within_its_bound() {
    let (idle, busy) = (slow_start_sends(0.2, None), slow_start_sends(1.0, None));
    let (later, soon) = (slow_start_sends(0.2, Some(10_000)), slow_start_sends(0.2, Some(0)));
    let last_seconds = |sent: &[usize]| sent[3..].iter().sum::<usize>();
    assert!(
        last_seconds(&idle) * 4 > last_seconds(&busy) * 5,
        "idle members {idle:?}, busy members {busy:?}"
    );
    for sent in [&idle, &busy, &later, &soon] {
        for (from, window) in sent.windows(3).enumerate() {
            let ramp: f64 = (from..from + 3).map(|second| 0.2 + 0.08 * second as f64).sum();
            let bound = 3.0 * ramp * 4.0 * 6.0 / 0.05;
            assert!((window.iter().sum::<usize>() as f64) < bound, "{sent:?} from second {from}");
        }
    }
    assert!(later[0] * 2 < idle[0] * 3, "later members {later:?}, first members {idle:?}");
}
