//! Which members are healthy: missing answers, errors and lost zones eject a member, responses readmit it.
//!
//! An ejected member receives trial requests only, unless no member of its group is healthy. A single lost answer or
//! broken connection must not eject a member that has responded recently.

use super::member::Member;
use super::router::Router;
use super::{MEMBER_CHECK_INTERVAL, RECENT_RESPONSE};
use crate::api::{Action, MemberId, MemberState, Micros, ZoneId};
use crate::outlier_recovery::EjectedMember;

/// A member is unresponsive if it serves no attempt for this many expected latencies, plus an allowance that depends
/// on its attempts in flight.
const UNRESPONSIVE_LATENCIES: f64 = 2.0;
/// Allowance before a member is unresponsive, in expected latencies: this number divided by its attempts in flight.
const UNRESPONSIVE_LATENCIES_SHARED: f64 = 5.0;
/// Minimum time without a served attempt before a member is unresponsive, in microseconds.
const UNRESPONSIVE_MIN_US: f64 = 120_000.0;
/// Upper bound of the latency ratio of a readmitted member.
const READMITTED_LATENCY_RATIO_MAX: f64 = 2.0;
/// A recovered member counts as restarted only if it was ejected for longer than this.
const RESTART_ABSENCE_MIN: Micros = Micros::from_millis(1_000);
/// From this many consecutive connection failures on, a failed health check ejects a member, however recently it
/// responded.
const SIGNIFICANT_CONNECT_FAILURES: u32 = 2;

/// The evidence on which a member is ejected.
#[derive(Clone, Copy)]
pub(super) struct Ejection {
    is_unreachable: bool,
    /// Whether the member counts as restarted once it recovers.
    was_restarted: bool,
}

impl Ejection {
    /// The member accepts requests and does not answer them, or answers with errors.
    pub(super) const UNRESPONSIVE: Ejection = Ejection { is_unreachable: false, was_restarted: false };
    /// No member of its zone responds.
    const ZONE_UNRESPONSIVE: Ejection = Ejection { is_unreachable: false, was_restarted: true };

    /// The member can't be reached. If the connection was refused, no process listens there, and recovery counts as a
    /// restart.
    pub(super) fn unreachable(was_refused: bool) -> Ejection {
        Ejection { is_unreachable: true, was_restarted: was_refused }
    }
}

/// What kind of response a member sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Response {
    /// The member served a request.
    Served,
    /// Any other answer, or the answer to a health check: shows only that the process is running.
    Reachable,
}

impl Router {
    /// Records a response of a member and its zone. A served request readmits an ejected member; another response
    /// readmits it only if it was unreachable, and otherwise allows one trial request.
    pub(super) fn record_response(&mut self, id: MemberId, response: Response) {
        let now = self.now;
        let slow_start = self.settings.rules.slow_start;
        let Some(member) = self.members.get_mut(&id) else { return };
        if response == Response::Served {
            member.last_response = now;
        }
        if let Some(zone) = member.zone {
            self.zone_health.record_answer(zone, now);
        }
        let Some(ejected) = &mut member.ejected else { return };
        if response == Response::Reachable && !ejected.unreachable {
            // The process is running, but may still not serve requests: one trial request decides that.
            ejected.trial_ready = true;
            return;
        }
        // The member may have restarted and need slow start before the list reports the restart, unless it was only
        // disconnected.
        let was_restarted = ejected.unreachable && ejected.restarted;
        let was_away_long_enough = now - ejected.since > RESTART_ABSENCE_MIN;
        let is_warm = member.slow_start.warming_since.is_none_or(|since| since + slow_start < now);
        if was_restarted && was_away_long_enough && is_warm {
            Router::begin_slow_start(member, now);
        }
        member.ejected = None;
        member.concurrency.latency_ratio = member.concurrency.latency_ratio.min(READMITTED_LATENCY_RATIO_MAX);
    }

    /// Ejects a member, or postpones the next trial of one that is ejected already.
    pub(super) fn eject(&mut self, id: MemberId, ejection: Ejection) {
        let jitter = 0.5 + self.rng.get_mut().f64();
        let now = self.now;
        let fleet_size = self.settings.fleet_size;
        let Some(member) = self.members.get_mut(&id) else { return };
        let ejected = member.ejected.get_or_insert_with(|| EjectedMember::new(now, fleet_size));
        ejected.failed(now, ejection.is_unreachable, ejection.was_restarted, jitter);
    }

    /// Whether a member is not ejected, and has responded so recently, with so few connection failures since, that a
    /// lost connection is no evidence against it.
    pub(super) fn has_responded_recently(&self, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let is_recent = self.now <= member.last_response_or_report() + RECENT_RESPONSE;
        let has_connected = member.connections.consecutive_failures < SIGNIFICANT_CONNECT_FAILURES;
        member.ejected.is_none() && has_connected && is_recent
    }

    /// Checks the members with attempts in flight, and at each `MEMBER_CHECK_INTERVAL` all members.
    pub(super) fn check_members(&mut self, out: &mut Vec<Action>) {
        let checks_all = self.now >= self.next_member_check;
        if checks_all {
            self.next_member_check = self.now + MEMBER_CHECK_INTERVAL;
        }
        let checked =
            self.members.iter().filter(|(_, member)| checks_all || !member.attempts_in_flight.is_empty());
        for id in checked.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.check_member(id, out);
        }
    }

    fn check_member(&mut self, id: MemberId, out: &mut Vec<Action>) {
        if self.members.get(&id).is_none_or(|member| member.listed_state == MemberState::Gone) {
            return;
        }
        self.check_slow_start(id);
        if self.is_unresponsive(id) {
            self.eject(id, Ejection::UNRESPONSIVE);
        }
        self.check_health_if_due(id, out);
    }

    /// Whether a member that is not ejected has attempts in flight and has served none for too long: it hangs, its
    /// link is down, or its zone is lost. This is detected before the attempts time out.
    fn is_unresponsive(&self, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id).filter(|member| member.ejected.is_none()) else {
            return false;
        };
        let oldest = member.attempts_in_flight.values().min_by_key(|attempt| attempt.sent);
        let Some(oldest) = oldest else { return false };
        let expected = member.expected_latency(self.latencies.mean(oldest.class));
        let unanswered_for = (self.now - oldest.sent.max(member.last_response)).as_f64();
        let in_flight = member.attempts_in_flight.len() as f64;
        let threshold = expected * (UNRESPONSIVE_LATENCIES + UNRESPONSIVE_LATENCIES_SHARED / in_flight);
        unanswered_for > threshold.max(UNRESPONSIVE_MIN_US)
    }

    /// Ejects the members of unresponsive zones, and closes the idle connections to these members, which would break.
    /// Detecting the loss of a zone member by member would cost one request each.
    pub(super) fn eject_unresponsive_zones(&mut self, out: &mut Vec<Action>) {
        let latencies = &self.latencies;
        let in_flight =
            self.members.iter().flat_map(|(id, member)| member.in_flight(*id, |class| latencies.mean(class)));
        for zone in self.zone_health.unresponsive_zones(self.now, in_flight) {
            for member in self.members_to_eject_with_zone(zone) {
                self.eject(member, Ejection::ZONE_UNRESPONSIVE);
                out.push(Action::CloseIdleConnections { member });
            }
        }
    }

    fn members_to_eject_with_zone(&self, zone: ZoneId) -> Vec<MemberId> {
        let is_newly_lost = |member: &Member| {
            let ejected = member.ejected.as_ref();
            member.zone == Some(zone) && ejected.is_none_or(|ejected| !ejected.restarted)
        };
        self.members.iter().filter(|(_, member)| is_newly_lost(member)).map(|(id, _)| *id).collect()
    }
}
