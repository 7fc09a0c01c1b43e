//! Health checks: when a member is checked, and how the result is applied.
//!
//! Periodic checks of healthy members, and checks after failed connections, are paid from a budget; checks in search
//! of a primary or a fresh replica are not. Members that are draining or gone are not checked.

use super::member_health::{Ejection, Response};
use super::primary_tracking::RoleReport;
use super::router::Router;
use super::{POSITION_ROUNDING, REPORT_DELAY_MAX, concurrency_limit};
use crate::api::{Action, LoadReport, MemberId, Micros, Outcome};

/// Minimum time since the last report or check of a healthy member before its next periodic check.
const HEALTH_CHECK_INTERVAL_MIN: Micros = Micros::from_millis(200);

impl Router {
    /// Sends a health check if health checks are allowed, the member is listed as in service, and no check of it is
    /// in flight.
    pub(super) fn check_health(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let is_allowed = self.settings.limits.health_checks;
        let Some(member) = self.members.get_mut(&id).filter(|member| is_allowed && member.may_be_checked())
        else {
            return;
        };
        member.health_check.is_in_flight = true;
        member.health_check.last_sent = self.now;
        out.push(Action::CheckHealth { member: id });
    }

    /// Sends health checks to a random sample of these members, since the routers of a large fleet must not each
    /// check every member.
    pub(super) fn check_health_of_sample(&mut self, mut ids: Vec<MemberId>, out: &mut Vec<Action>) {
        self.rng.get_mut().shuffle(&mut ids);
        let at_once = concurrency_limit::health_checks_at_once(self.fleet_divisor);
        for id in ids.into_iter().take(at_once) {
            self.check_health(id, out);
        }
    }

    /// Checks an ejected member whose trial is due, or, within the budget, a healthy one without a recent report or
    /// check.
    pub(super) fn check_health_if_due(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        let is_allowed = self.settings.limits.health_checks;
        let Some(member) = self.members.get_mut(&id) else { return };
        if let Some(ejected) = &mut member.ejected
            && ejected.take_due_trial(now, is_allowed)
        {
            return self.check_health(id, out);
        }
        let last_report_or_check = member.replication.reported.max(member.health_check.last_sent);
        let is_due = member.is_healthy() && now >= last_report_or_check + HEALTH_CHECK_INTERVAL_MIN;
        if is_due && self.budgets.health_checks.try_spend(1.0) {
            self.check_health(id, out);
        }
    }

    pub(super) fn on_health_check_ended(
        &mut self, id: MemberId, outcome: Outcome, report: LoadReport, out: &mut Vec<Action>,
    ) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.health_check.is_in_flight = false;
        let taken = self.now - member.health_check.last_sent;
        let Some(group) = member.group else { return };
        match outcome {
            Outcome::Ok => self.on_health_check_passed(id, report, out),
            Outcome::QueueFull | Outcome::NotSent | Outcome::Cancelled | Outcome::MalformedReply => {}
            // A broken connection, whether reused or new, is weaker evidence than the member's recent response.
            Outcome::Reset if self.has_responded_recently(id) => {}
            Outcome::ConnectError if self.has_responded_recently(id) => {
                if let Some(member) = self.members.get_mut(&id) {
                    member.connections.consecutive_failures += 1;
                }
            }
            _ => {
                let is_quick = taken.0 < self.settings.limits.connect_timeout.0 / 2;
                let was_refused = outcome == Outcome::ConnectError && is_quick;
                self.eject(id, Ejection::unreachable(was_refused));
            }
        }
        self.dispatch_queued(group, out);
    }

    fn on_health_check_passed(&mut self, id: MemberId, report: LoadReport, out: &mut Vec<Action>) {
        self.record_response(id, Response::Reachable);
        let position = report.position.map(|position| position.saturating_sub(POSITION_ROUNDING));
        let oldest = self.now.saturating_sub(REPORT_DELAY_MAX);
        // A primary's position is the time of its report. A replica's position may lag, so it does not show the
        // report's age.
        let primary_as_of = position.map_or(oldest, |position| position.as_time()).min(self.now);
        let role = RoleReport { role: report.role, primary_as_of, replica_as_of: oldest };
        self.record_report(id, position, role);
        self.gossip_position(id, out);
    }
}
