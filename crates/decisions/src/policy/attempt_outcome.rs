//! Handles the end of an attempt: updates the state of the member, and finishes the request or dispatches it again.
//!
//! A request is sent again only where `retry` allows it.

use super::POSITION_ROUNDING;
use super::hedging::has_answered_later_send;
use super::member::SentAttempt;
use super::member_health::{Ejection, Response};
use super::primary_tracking::RoleReport;
use super::router::Router;
use crate::api::{
    Action, AttemptEnd, GroupId, LoadReport, LogPosition, LongAnswerEnd, MemberId, Micros, Outcome,
    ReadLevel, Role, SessionKey, SessionPositions,
};

/// Maximum age, on arrival, of the role that an answer to an attempt reports.
const ANSWER_ROLE_AGE_MAX: Micros = Micros::from_millis(2);
/// Maximum number of sessions per group whose last commit is kept, to bound memory. A dropped commit raises the
/// group's watermark, which applies to all its sessions.
const SESSIONS_MAX: usize = 50_000;

/// An attempt that ended, with the data recorded when it was sent.
struct EndedAttempt {
    end: AttemptEnd,
    sent: SentAttempt,
    group: GroupId,
    is_write: bool,
}

impl EndedAttempt {
    /// Whether the member replied, including with a rejection, an error or a malformed reply.
    fn is_answered(&self) -> bool {
        use Outcome::{Failed, MalformedReply, NotApplicable, Ok, QueueFull};
        matches!(self.end.outcome, Ok | Failed | QueueFull | NotApplicable | MalformedReply)
    }

    /// Whether the member may have run the request.
    fn may_have_run(&self) -> bool {
        use Outcome::{Cancelled, Failed, MalformedReply, Reset, TimedOut};
        matches!(self.end.outcome, Cancelled | Failed | MalformedReply | Reset | TimedOut)
    }

    /// Whether the attempt ended by a close of its connection from this side, after which the member may still read
    /// what its system has received. A connection that the member has reset is not read any more.
    fn was_abandoned(&self) -> bool {
        matches!(self.end.outcome, Outcome::Cancelled | Outcome::MalformedReply | Outcome::TimedOut)
    }

    /// The position that the member has applied, if the answer carries one. The commit of a write is rounded up, so
    /// the rounding is subtracted.
    fn applied_position(&self) -> Option<LogPosition> {
        let rounding = if self.is_write { POSITION_ROUNDING } else { Micros(0) };
        self.end.position.map(|position| position.saturating_sub(rounding))
    }

    /// The member's role. A member that rejects a write as not applicable is a replica, whatever role it reports.
    fn role(&self) -> Option<Role> {
        let rejected_write = self.is_write && self.end.outcome == Outcome::NotApplicable;
        if rejected_write { Some(Role::Replica) } else { self.end.role }
    }
}

impl Router {
    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(ended) = self.take_sent_attempt(end) else { return };
        if ended.is_answered() {
            self.record_answer(&ended, out);
        }
        self.record_position_and_role(&ended, out);
        self.record_session_commit(&ended);
        self.record_unanswered(&ended);
        self.update_member_from_outcome(&ended, out);
        self.continue_request(&ended, out);
        self.dispatch_queued(ended.group, out);
    }

    /// Removes an ended attempt from the state of its member; `None` if no attempt of this number is in flight at the
    /// member.
    fn take_sent_attempt(&mut self, end: AttemptEnd) -> Option<EndedAttempt> {
        let member = self.members.get_mut(&end.member)?;
        let sent = member.attempts_in_flight.remove(&(end.id, end.attempt))?;
        let group = member.group?;
        let is_write = self.class(sent.class).read_level == ReadLevel::Write;
        Some(EndedAttempt { end, sent, group, is_write })
    }

    /// Records a reply: the member responds and is connected. During a shortage of connections, the member's idle
    /// connections are closed if it has no other attempt in flight.
    fn record_answer(&mut self, ended: &EndedAttempt, out: &mut Vec<Action>) {
        let id = ended.end.member;
        let is_served = ended.end.outcome == Outcome::Ok;
        self.record_response(id, if is_served { Response::Served } else { Response::Reachable });
        self.record_connect_latency(ended);
        self.record_cpu_utilisation(id, ended.end.report.utilisation);
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        member.connections.consecutive_failures = 0;
        member.connections.last_connected = Some(now);
        member.last_answered_send = member.last_answered_send.max(ended.sent.sent);
        if self.connection_cost.has_shortage(now) && member.attempts_in_flight.is_empty() {
            member.connections.last_connected = None;
            out.push(Action::CloseIdleConnections { member: id });
        }
    }

    /// Updates the cost of connecting if the attempt needed a new connection. Writes are left out, since their
    /// latency varies more.
    fn record_connect_latency(&mut self, ended: &EndedAttempt) {
        let Some(member) = self.members.get(&ended.end.member) else { return };
        if member.connections.last_connected.is_some() || ended.is_write {
            return;
        }
        let mean = self.latencies.mean(ended.sent.class).max(1.0);
        self.connection_cost.record_connected(ended.end.latency.as_f64() / mean - 1.0);
    }

    fn record_position_and_role(&mut self, ended: &EndedAttempt, out: &mut Vec<Action>) {
        let (id, position, role) = (ended.end.member, ended.applied_position(), ended.role());
        self.record_answer_state(id, position, role, &ended.end.report, out);
    }

    /// Records what a member says with an answer: the position that it has applied, its role and its load report.
    fn record_answer_state(
        &mut self, id: MemberId, position: Option<LogPosition>, role: Option<Role>, report: &LoadReport,
        out: &mut Vec<Action>,
    ) {
        let as_of = self.now.saturating_sub(ANSWER_ROLE_AGE_MAX);
        let role_report = RoleReport { role, primary_as_of: as_of, replica_as_of: self.now };
        self.record_report(id, position, role_report);
        if let (Some(member), Some(role)) = (self.members.get_mut(&id), role) {
            member.role.is_confirmed_primary = role == Role::Primary;
        }
        let reported = report.position;
        let reported = reported.map(|position| position.saturating_sub(POSITION_ROUNDING));
        self.record_report(id, reported, RoleReport::default());
        self.gossip_position(id, out);
    }

    /// Records the commit of a served write, even if its client has left: the session's next read must see it.
    fn record_session_commit(&mut self, ended: &EndedAttempt) {
        if ended.end.outcome != Outcome::Ok || !ended.is_write {
            return;
        }
        let (Some(session), Some(commit)) = (ended.sent.session, ended.end.position) else { return };
        self.record_commit(ended.group, session, commit);
    }

    fn record_commit(&mut self, group: GroupId, session: SessionKey, commit: LogPosition) {
        let commits = &mut self.groups.entry(group).or_default().session_commits;
        commits.record(session, commit);
        commits.shrink_to(SESSIONS_MAX);
    }

    /// Handles the end of a long answer. A write that has answered has run, also if the answer broke off: without its
    /// position, its commit is assumed to be as late as now.
    pub(super) fn on_long_answer_ended(&mut self, end: LongAnswerEnd, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(end.class.0) else { return };
        let is_write = class.read_level == ReadLevel::Write;
        let rounding = if is_write { POSITION_ROUNDING } else { Micros(0) };
        let applied = end.position.map(|position| position.saturating_sub(rounding));
        self.record_cpu_utilisation(end.member, end.report.utilisation);
        self.record_answer_state(end.member, applied, end.role, &end.report, out);
        let remembers_sessions = self.settings.session_positions == SessionPositions::Remembered;
        if let Some(session) = end.session.filter(|_| is_write && remembers_sessions) {
            let commit = end.position.unwrap_or_else(|| self.now.as_log_position());
            self.record_commit(end.group, session, commit);
        }
        self.dispatch_queued(end.group, out);
    }

    /// Updates the fraction of unanswered attempts. A cancelled attempt counts as unanswered if its request is still
    /// open and the member has answered an attempt that was sent much later. Other cancelled attempts, and those that
    /// reached no member, are not counted.
    fn record_unanswered(&mut self, ended: &EndedAttempt) {
        let member = self.members.get(&ended.end.member);
        let was_overtaken = member.is_some_and(|member| {
            has_answered_later_send(member.last_answered_send, ended.sent.sent, ended.end.latency)
        });
        let is_cancelled_unanswered =
            ended.end.outcome == Outcome::Cancelled && !ended.end.is_request_over && was_overtaken;
        let is_unanswered =
            is_cancelled_unanswered || matches!(ended.end.outcome, Outcome::TimedOut | Outcome::Reset);
        if ended.is_answered() || is_unanswered {
            self.hedging.record_attempt(is_unanswered);
        }
    }

    /// Updates the member's concurrency limit and health by the attempt's outcome.
    fn update_member_from_outcome(&mut self, ended: &EndedAttempt, out: &mut Vec<Action>) {
        let AttemptEnd { id, member, latency, .. } = ended.end;
        let class = ended.sent.class;
        match ended.end.outcome {
            Outcome::Ok => self.on_served(id, member, class, latency),
            Outcome::NotApplicable if !ended.is_write => self.record_lagging(ended),
            Outcome::QueueFull => self.on_rejected_or_failed(member, 0),
            // A member may report a full queue as a quick error, so one error does not eject it, but two in a row do.
            Outcome::Failed if !ended.is_write => self.on_rejected_or_failed(member, 1),
            Outcome::ConnectError => self.on_connect_failed(member, latency, out),
            Outcome::TimedOut => {
                self.on_unfinished(member, class, latency);
                self.reduce_limit(member);
            }
            Outcome::Cancelled => self.on_unfinished(member, class, latency),
            _ => {}
        }
    }

    /// Records that a member rejected a read because it had not applied the read's target position.
    fn record_lagging(&mut self, ended: &EndedAttempt) {
        let request = self.requests.get(&ended.end.id);
        let target = request.map_or(LogPosition::default(), |request| self.target_position(request));
        if let Some(member) = self.members.get_mut(&ended.end.member) {
            member.replication.lagging_position = target;
            member.replication.lagging_at = self.now;
        }
    }

    /// Handles a rejection for lack of capacity or a failed read: reduces the member's limit, paces the member, adds
    /// `errors` to its consecutive errors, and ejects it if there is more than one.
    fn on_rejected_or_failed(&mut self, id: MemberId, errors: u32) {
        self.pace_after_error(id);
        let Some(member) = self.members.get_mut(&id) else { return };
        member.consecutive_errors += errors;
        if member.consecutive_errors > 1 {
            self.eject(id, Ejection::UNRESPONSIVE);
        }
    }

    /// Updates the request, and removes it if it is over; otherwise dispatches it again unless another attempt is in
    /// flight.
    fn continue_request(&mut self, ended: &EndedAttempt, out: &mut Vec<Action>) {
        let end = &ended.end;
        let now = self.now;
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        request.attempts_in_flight.retain(|attempt| attempt.number != end.attempt);
        if end.outcome != Outcome::Ok {
            request.last_failures.insert(end.member, now);
        }
        if ended.may_have_run() {
            let sent = ended.sent.sent;
            let earliest = request.first_possible_execution.map_or(sent, |earliest| earliest.min(sent));
            request.first_possible_execution = Some(earliest);
        }
        request.may_run_later |= request.is_statement_long && ended.was_abandoned();
        request.has_reached_member |= !matches!(end.outcome, Outcome::ConnectError | Outcome::NotSent);
        if end.is_request_over {
            self.remove_request(end.id, out);
        } else if request.attempts_in_flight.is_empty() {
            self.dispatch_or_queue(end.id, out);
        }
    }
}
