//! Limits the load on recently started members: what all routers together send must stay below what the member can
//! serve.
//!
//! The capacity of a member is assumed to grow as slowly as the rules allow. Each router schedules its own next send
//! with a random gap, so that routers don't send in step. A low reported utilisation raises this router's rate for
//! that member and, less so, for all members in slow start; a high one lowers it.

use super::member::{Member, SlowStart};
use super::router::Router;
use crate::api::{MemberId, Micros, Time};

/// CPU utilisation to which a member in slow start is loaded.
pub(super) const TARGET_CPU_UTILISATION: f64 = 0.85;
/// Lower bound of a reported utilisation, which the rate is divided by.
const CPU_UTILISATION_MIN: f64 = 0.1;
/// Maximum factor by which a member's last report raises or lowers the rate to that member.
const MEMBER_RATE_MULTIPLIER_MAX: f64 = 2.0;
/// Exponent with which the factor of each report enters the rate multiplier of all members in slow start.
const FLEET_RATE_EXPONENT: f64 = 0.4;
/// Maximum factor by which the multiplier of all members in slow start raises or lowers the rate.
const FLEET_RATE_MULTIPLIER_MAX: f64 = 5.0;
/// Number of cores per member for the load limit in slow start: all routers together may send a member
/// `overload_multiple` times the present capacity of these cores.
const CORES_USED: f64 = 3.0;
/// Lower bound of the load that a gap is computed from, so that the gap is finite.
const LOAD_MIN: f64 = 1e-9;

/// Factor on this router's send rate to all members in slow start, from their utilisation reports.
pub(super) struct FleetRateMultiplier {
    rate_multiplier: f64,
}

impl FleetRateMultiplier {
    /// The multiplier before any report.
    pub(super) fn neutral() -> FleetRateMultiplier {
        FleetRateMultiplier { rate_multiplier: 1.0 }
    }
}

impl SlowStart {
    /// Adjusts the rates by a report of the member's utilisation.
    fn record_cpu_utilisation(&mut self, utilisation: f64, fleet_rate_multiplier: &mut FleetRateMultiplier) {
        let target_ratio = TARGET_CPU_UTILISATION / utilisation.max(CPU_UTILISATION_MIN);
        self.rate_multiplier =
            target_ratio.clamp(1.0 / MEMBER_RATE_MULTIPLIER_MAX, MEMBER_RATE_MULTIPLIER_MAX);
        let rate_multiplier =
            fleet_rate_multiplier.rate_multiplier * self.rate_multiplier.powf(FLEET_RATE_EXPONENT);
        fleet_rate_multiplier.rate_multiplier =
            rate_multiplier.clamp(1.0 / FLEET_RATE_MULTIPLIER_MAX, FLEET_RATE_MULTIPLIER_MAX);
    }
}

impl Router {
    /// The fraction of its full capacity that a member is certain to have, by the slowest ramp that the rules allow:
    /// from 0 to 1.
    pub(super) fn capacity_fraction(&self, member: &Member) -> f64 {
        let Some(since) = member.slow_start.warming_since else { return 1.0 };
        let rules = &self.settings.rules;
        let elapsed = self.now.saturating_since(since).as_f64();
        let progress = elapsed / rules.slow_start.0.max(1) as f64;
        (rules.slow_start_floor + (1.0 - rules.slow_start_floor) * progress).min(1.0)
    }

    /// Records the utilisation that a member reported, if any, and adjusts the rates if the member is in slow start.
    pub(super) fn record_cpu_utilisation(&mut self, member: MemberId, reported: Option<f64>) {
        let Some(member) = self.members.get_mut(&member) else { return };
        member.concurrency.record_cpu_utilisation(reported);
        if let Some(utilisation) = reported
            && member.slow_start.warming_since.is_some()
        {
            member.slow_start.record_cpu_utilisation(utilisation, &mut self.fleet_rate_multiplier);
        }
    }

    /// Resets the multiplier of all members in slow start once no member is in slow start.
    pub(super) fn reset_fleet_rate_multiplier_if_all_warm(&mut self) {
        if self.members.values().all(|member| self.capacity_fraction(member) >= 1.0) {
            self.fleet_rate_multiplier = FleetRateMultiplier::neutral();
        }
    }

    /// Schedules this router's next send to a member in slow start, for requests that take about `work` microseconds.
    /// An unused turn carries over only for half of `overload_duration`; otherwise all routers would accumulate one
    /// each.
    pub(super) fn schedule_slow_start_send(&mut self, id: MemberId, work: f64) {
        let Some(member) = self.members.get(&id) else { return };
        let gap = self.mean_slow_start_gap(member, work);
        let overload_duration = self.settings.rules.overload_duration;
        let earliest = self.now.saturating_sub(Micros(overload_duration.0 / 2));
        let from = member.slow_start.next_send.map_or(self.now, |turn| turn.clamp(earliest, self.now));
        let next_send = from + Micros::from_f64(2.0 * gap * self.rng.get_mut().f64());
        if let Some(member) = self.members.get_mut(&id) {
            member.slow_start.next_send = Some(next_send);
        }
    }

    /// The mean gap between this router's sends to a member, in microseconds, at which the whole fleet's load stays
    /// within the limit.
    fn mean_slow_start_gap(&self, member: &Member, work: f64) -> f64 {
        let rules = &self.settings.rules;
        let load = self.fleet_divisor.slow_start_share_of(rules.overload_multiple * CORES_USED);
        let since = member.slow_start.warming_since.unwrap_or(self.now);
        let elapsed = self.now.saturating_since(since).as_f64();
        // Shortly after its start a member does not get the full multiplier of all members in slow start.
        let fleet_multiplier_max =
            1.0 + FLEET_RATE_MULTIPLIER_MAX * elapsed / rules.overload_duration.0.max(1) as f64;
        let rate_multiplier = member.slow_start.rate_multiplier
            * self.fleet_rate_multiplier.rate_multiplier.min(fleet_multiplier_max);
        work.max(1.0) / (self.capacity_fraction(member) * load * rate_multiplier).max(LOAD_MIN)
    }

    /// Ends slow start once the member is warm; until then reschedules a turn that has not been used for
    /// `overload_duration`.
    pub(super) fn check_slow_start(&mut self, id: MemberId) {
        let Some(member) = self.members.get(&id) else { return };
        let is_warm = self.capacity_fraction(member) >= 1.0;
        let turn = member.slow_start.next_send.unwrap_or_default();
        let is_warming = member.slow_start.warming_since.is_some() && !is_warm;
        if is_warming && self.now >= turn + self.settings.rules.overload_duration {
            self.schedule_slow_start_send(id, self.latencies.overall_mean());
        } else if is_warm && let Some(member) = self.members.get_mut(&id) {
            member.slow_start.warming_since = None;
        }
    }

    /// Starts warm-up of a member that was, or may have been, restarted.
    pub(super) fn begin_slow_start(member: &mut Member, since: Time) {
        member.slow_start = SlowStart::new(Some(since));
    }
}
