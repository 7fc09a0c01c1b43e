//! Handles connection failures: the member is unreachable, is out of connections, or a single connection broke.

use super::member_health::Ejection;
use super::router::Router;
use super::{RECENT_RESPONSE, TICK};
use crate::api::{Action, MemberId, Micros, Time};

/// After more consecutive failures than this a member counts as unreachable, however recently it responded.
const CONSECUTIVE_FAILURES_MAX: u32 = 5;
/// Minimum time since a member's last health check before a failed connection causes another one.
const HEALTH_CHECK_INTERVAL_MIN: Micros = Micros::from_millis(200);
/// Weight of a new connection in the smoothed cost of connecting.
const CONNECTION_SMOOTHING: f64 = 0.1;
/// Cost of a failed connection, and the maximum for an established one, in mean latencies.
const CONNECTION_COST_MAX: f64 = 5.0;

/// The cost of establishing a connection, and whether members are short of connections.
#[derive(Default)]
pub(super) struct ConnectionCost {
    /// Smoothed extra cost of an attempt that needs a new connection, in mean latencies of its class.
    mean_latencies: f64,
    /// Members count as short of connections before this time.
    shortage_until: Time,
}

impl ConnectionCost {
    /// The cost of an attempt that needs a new connection, relative to one that does not.
    pub(super) fn relative_cost(&self) -> f64 {
        1.0 + self.mean_latencies
    }

    /// Records an attempt that took this many mean latencies longer because it needed a new connection.
    pub(super) fn record_connected(&mut self, extra: f64) {
        self.record(extra.clamp(0.0, CONNECTION_COST_MAX));
    }

    fn record_failed(&mut self) {
        self.record(CONNECTION_COST_MAX);
    }

    fn record(&mut self, cost: f64) {
        self.mean_latencies += CONNECTION_SMOOTHING * (cost - self.mean_latencies);
    }

    /// Whether members are short of connections, so that idle ones are to be closed.
    pub(super) fn has_shortage(&self, now: Time) -> bool {
        now < self.shortage_until
    }
}

impl Router {
    /// Handles a connection that failed after `taken`. A member that has not responded recently, or to which too many
    /// connections in a row have failed, is ejected as unreachable. Any other member is assumed to be short of
    /// connections: it is paced, it may be health-checked, and repeated refusals start a shortage, during which the
    /// router closes idle connections to members. Trade-off: a member that has just gone down is tried again.
    pub(super) fn on_connect_failed(&mut self, id: MemberId, taken: Micros, out: &mut Vec<Action>) {
        let jitter = 0.5 + self.rng.get_mut().f64();
        let Some(member) = self.members.get_mut(&id) else { return };
        member.connections.last_connected = None;
        member.connections.consecutive_failures += 1;
        self.connection_cost.record_failed();
        let failures = member.connections.consecutive_failures;
        // A quick failure is a refusal, a slow one a handshake that timed out.
        let was_refused = taken.0 < self.settings.limits.connect_timeout.0 / 2;
        let has_responded_recently = self.now <= member.last_response_or_report() + RECENT_RESPONSE;
        if failures > CONSECUTIVE_FAILURES_MAX || !has_responded_recently {
            return self.eject(id, Ejection::unreachable(was_refused));
        }
        let pause = Micros::from_f64((TICK.0 << failures) as f64 * jitter);
        member.concurrency.paced_until = self.now + pause;
        let is_check_due = self.now > member.health_check.last_sent + HEALTH_CHECK_INTERVAL_MIN;
        // A single failure is one broken connection, not a shortage.
        if failures > 1 && was_refused {
            self.connection_cost.shortage_until = self.now + RECENT_RESPONSE;
        }
        if is_check_due && self.budgets.health_checks.try_spend(1.0) {
            self.check_health(id, out);
        }
    }
}
