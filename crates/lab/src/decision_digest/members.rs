//! The members of a history: what they are, what is wrong with them, and how they answer.

use fastrand::Rng;
use linenhill_decisions::api::{
    GroupId, KindId, ListEntry, LoadReport, LogPosition, MemberId, MemberState, Outcome, Role,
};
use linenhill_decisions::api::{Time, ZoneId};

const MS: u64 = 1_000;
/// Members of each group, the primary among them.
const GROUP_SIZE: u32 = 5;
/// Groups of a history.
pub(super) const GROUPS: u32 = 2;

/// What is wrong with a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    Healthy,
    /// Takes requests and answers nothing.
    Silent,
    /// Answers connections with a rejection.
    RefusesConnections,
    /// Connections to it are never established.
    Unreachable,
    /// Rejects most requests.
    Overloaded,
    /// Answers ten times later than others.
    Slow,
    /// Answers with errors, broken connections and malformed replies.
    Erratic,
}

/// A member of a history.
#[derive(Clone)]
pub(super) struct ModelMember {
    pub(super) id: MemberId,
    pub(super) group: GroupId,
    pub(super) zone: ZoneId,
    pub(super) state: MemberState,
    pub(super) started: Option<Time>,
    pub(super) is_primary: bool,
    pub(super) condition: Condition,
    /// How far its log is behind the primary's, in microseconds.
    pub(super) lag: u64,
    /// Its usual time for a request, in microseconds.
    pub(super) service_time: u64,
    /// Share of its processors in use.
    pub(super) utilisation: f64,
}

/// How a member ends an attempt, and after how long.
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    /// In microseconds; `None` where it never ends by itself.
    pub(super) latency: Option<u64>,
}

/// The members at the start: groups of five, spread over three zones.
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
    /// Its entry in the list of members.
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

    /// How an attempt of a write or read sent now ends.
    pub(super) fn answer(&self, is_write: bool, rng: &mut Rng) -> AttemptEnd {
        let usual = 1 + (self.service_time as f64 * -(1.0 - rng.f64()).ln()) as u64;
        let ends = |outcome, latency| AttemptEnd { outcome, latency: Some(latency) };
        match self.condition {
            Condition::Silent => AttemptEnd { outcome: Outcome::TimedOut, latency: None },
            Condition::RefusesConnections => ends(Outcome::ConnectError, rng.u64(1..5) * MS),
            Condition::Unreachable => ends(Outcome::ConnectError, rng.u64(190..400) * MS),
            Condition::Overloaded if rng.u32(..4) > 0 => ends(Outcome::QueueFull, rng.u64(1..10) * MS),
            Condition::Erratic if rng.bool() => {
                let outcomes = [
                    Outcome::Failed,
                    Outcome::Reset,
                    Outcome::MalformedReply,
                    Outcome::NotSent,
                    Outcome::Cancelled,
                ];
                ends(*rng.choice(&outcomes).unwrap_or(&Outcome::Failed), usual)
            }
            Condition::Slow => self.serve(is_write, usual * 10, rng),
            _ => self.serve(is_write, usual, rng),
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

    /// Its log position at `now`.
    pub(super) fn position(&self, now: u64) -> LogPosition {
        LogPosition(if self.is_primary { now } else { now.saturating_sub(self.lag) })
    }

    /// Its role.
    pub(super) fn role(&self) -> Role {
        if self.is_primary { Role::Primary } else { Role::Replica }
    }

    /// A load report, in some of whose fields it says nothing.
    pub(super) fn report(&self, now: u64, rng: &mut Rng) -> LoadReport {
        LoadReport {
            position: (rng.u32(..4) > 0).then(|| self.position(now)),
            role: (rng.u32(..4) > 0).then(|| self.role()),
            load: rng.bool().then(|| rng.f64() * 20.0),
            utilisation: rng.bool().then_some(self.utilisation),
        }
    }
}
