//! Simulated members of a history: their properties, their faults and how they answer. Times are in microseconds.

use fastrand::Rng;
use linenhill_decisions::api::{
    GroupId, KindId, ListEntry, LoadReport, LogPosition, MemberId, MemberState, Outcome, Role,
};
use linenhill_decisions::api::{Time, ZoneId};

const MS: u64 = 1_000;
/// Members per group, including the primary.
const GROUP_SIZE: u32 = 5;
/// Groups per history.
pub(super) const GROUPS: u32 = 2;

/// Fault state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    Healthy,
    /// Accepts requests and never answers.
    Unresponsive,
    /// Refuses connections within a few milliseconds.
    RefusesConnections,
    /// Connection attempts fail only after 190 ms or more.
    Unreachable,
    /// Rejects three of four requests, because its queue is full.
    Overloaded,
    /// Serves with ten times the usual latency.
    Slow,
    /// Ends half of its attempts with errors, broken connections or malformed replies.
    Erratic,
}

/// A simulated member.
#[derive(Clone)]
pub(super) struct ModelMember {
    pub(super) id: MemberId,
    pub(super) group: GroupId,
    pub(super) zone: ZoneId,
    pub(super) state: MemberState,
    pub(super) started: Option<Time>,
    pub(super) is_primary: bool,
    pub(super) condition: Condition,
    /// Replication lag behind the primary.
    pub(super) lag: u64,
    /// Mean time to serve a request.
    pub(super) service_time: u64,
    /// CPU utilisation, from 0 to 1.
    pub(super) utilisation: f64,
}

/// Outcome and latency of an attempt at a member.
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    /// `None` if the member never ends the attempt.
    pub(super) latency: Option<u64>,
}

/// Creates healthy members in groups of five, spread over three zones.
pub(super) fn initial_members(rng: &mut Rng) -> Vec<ModelMember> {
    let member = |number: u32, rng: &mut Rng| ModelMember {
        id: MemberId(number),
        group: GroupId(number / GROUP_SIZE),
        zone: ZoneId(number as usize % 3),
        state: MemberState::InService,
        started: None,
        is_primary: number.is_multiple_of(GROUP_SIZE),
        condition: Condition::Healthy,
        lag: rng.u64(..400) * MS,
        service_time: rng.u64(2..60) * MS,
        utilisation: rng.f64(),
    };
    (0..GROUPS * GROUP_SIZE).map(|number| member(number, rng)).collect()
}

impl ModelMember {
    /// The member's entry in the endpoint list. One entry in ten has a random `primary_hint`.
    pub(super) fn list_entry(&self, rng: &mut Rng) -> ListEntry {
        ListEntry {
            member: self.id,
            zone: self.zone,
            kind: KindId(0),
            group: self.group,
            state: self.state,
            weight: 1.0,
            started: self.started,
            primary_hint: if rng.u32(..10) == 0 { rng.bool() } else { self.is_primary },
        }
    }

    /// Draws the end of an attempt that is sent now.
    pub(super) fn answer(&self, is_write: bool, rng: &mut Rng) -> AttemptEnd {
        let latency = 1 + (self.service_time as f64 * -(1.0 - rng.f64()).ln()) as u64;
        let ends_after = |outcome, latency| AttemptEnd { outcome, latency: Some(latency) };
        match self.condition {
            Condition::Unresponsive => AttemptEnd { outcome: Outcome::TimedOut, latency: None },
            Condition::RefusesConnections => ends_after(Outcome::ConnectError, rng.u64(1..5) * MS),
            Condition::Unreachable => ends_after(Outcome::ConnectError, rng.u64(190..400) * MS),
            Condition::Overloaded if rng.u32(..4) > 0 => ends_after(Outcome::QueueFull, rng.u64(1..10) * MS),
            Condition::Erratic if rng.bool() => {
                let outcomes = [
                    Outcome::Failed,
                    Outcome::Reset,
                    Outcome::MalformedReply,
                    Outcome::NotSent,
                    Outcome::Cancelled,
                ];
                ends_after(*rng.choice(&outcomes).unwrap_or(&Outcome::Failed), latency)
            }
            Condition::Slow => self.serve(is_write, latency * 10, rng),
            _ => self.serve(is_write, latency, rng),
        }
    }

    fn serve(&self, is_write: bool, latency: u64, rng: &mut Rng) -> AttemptEnd {
        let wrong_role = is_write && !self.is_primary;
        let too_far_behind = !is_write && !self.is_primary && rng.u64(..2_000 * MS) < self.lag;
        if wrong_role || too_far_behind {
            return AttemptEnd { outcome: Outcome::NotApplicable, latency: Some(rng.u64(1..4) * MS) };
        }
        let outcome = if rng.u32(..100) == 0 { Outcome::Reset } else { Outcome::Ok };
        AttemptEnd { outcome, latency: Some(latency) }
    }

    /// Log position at `now`.
    pub(super) fn position(&self, now: u64) -> LogPosition {
        LogPosition(if self.is_primary { now } else { now.saturating_sub(self.lag) })
    }

    /// Role, as the member reports it.
    pub(super) fn role(&self) -> Role {
        if self.is_primary { Role::Primary } else { Role::Replica }
    }

    /// Draws a load report in which each field may be absent.
    pub(super) fn report(&self, now: u64, rng: &mut Rng) -> LoadReport {
        LoadReport {
            position: (rng.u32(..4) > 0).then(|| self.position(now)),
            role: (rng.u32(..4) > 0).then(|| self.role()),
            load: rng.bool().then(|| rng.f64() * 20.0),
            utilisation: rng.bool().then_some(self.utilisation),
        }
    }
}
