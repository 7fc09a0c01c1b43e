//! The state that all keepers build from the replicated log: quota table, disruption table and list of keepers.
//!
//! Applying an entry must be deterministic: it must not read a clock, use random numbers or depend on the keeper. The
//! rules are in `linenhill_decisions::{quota, disruption}`; this module only routes commands to them.

use crate::log_entry::{
    Command, Declaration, DisruptionAction, DisruptionRequest, LogEntry, LoggedCommand, SessionLeaseRequest,
};
use crate::protocol::LeaseRequest;
use linenhill_decisions::disruption::table::{DisruptionTable, LivenessView, Permit, PermitDenied};
use linenhill_decisions::disruption::{HealthReport, Subject};
use linenhill_decisions::quota::table::{QuotaCommand, QuotaReply, QuotaTable};
use prost::Message;
use std::collections::BTreeMap;
use std::fmt;

/// Result of an applied [`DisruptionRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DisruptionResult {
    /// [`LoggedCommand::request_id`] of the request.
    pub request_id: u64,
    /// Whether the request was accepted.
    pub ok: bool,
    /// Incarnations of the proxies that have not confirmed a member's permit yet: they may still send new requests to
    /// the member.
    pub unconfirmed: Vec<u64>,
    /// Description of the outcome, for operators.
    pub text: String,
}

/// Result of an applied command, for its pending request.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedResult {
    /// Result of a [`Command::LeaseRequest`].
    Quota(QuotaReply),
    /// Result of a [`Command::Disruption`].
    Disruption(DisruptionResult),
}

/// A voter, as recorded in the log.
#[derive(Clone, PartialEq, Message)]
pub struct KeeperRecord {
    /// Name of the keeper.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Address at which the other keepers connect to this voter.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The replicated state. Its encoding is the data of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicatedState {
    /// Budgets, sessions and allocations.
    #[prost(message, required, tag = "1")]
    pub quota: QuotaTable,
    /// Voters by Raft identifier.
    #[prost(btree_map = "uint64, message", tag = "2")]
    pub keepers: BTreeMap<u64, KeeperRecord>,
    /// Availability of proxies and members, and permits.
    #[prost(message, required, tag = "3")]
    pub disruption: DisruptionTable,
}

/// The commands of an entry, by the table that they change. Each list is in the order of the entry.
#[derive(Default)]
struct RoutedCommands {
    quota: Vec<QuotaCommand>,
    reports: Vec<SessionReport>,
    disruption: Vec<(u64, DisruptionRequest)>,
}

/// A health report with the name, incarnation and zone of its sender.
struct SessionReport {
    name: String,
    incarnation: u64,
    zone: String,
    report: HealthReport,
}

impl ReplicatedState {
    /// Applies an encoded [`LogEntry`]: changes to quotas first, then health reports, then disruption requests. Every
    /// keeper ignores an entry that cannot be decoded.
    pub fn apply(&mut self, data: &[u8]) -> Vec<AppliedResult> {
        let Ok(entry) = LogEntry::decode(data) else { return Vec::new() };
        let commands = self.route(entry.commands);
        let quota_replies = self.quota.apply(entry.elapsed_us, commands.quota);
        let liveness = LivenessView::new(&self.quota.membership, &self.quota.terms);
        for SessionReport { name, incarnation, zone, report } in commands.reports {
            let session = self.quota.membership.sessions.get(&name);
            if session.is_some_and(|session| session.incarnation == incarnation) {
                self.disruption.record_report(&liveness, &name, incarnation, &zone, &report);
            }
        }
        self.disruption.expire(&liveness);
        let mut results: Vec<AppliedResult> = quota_replies.into_iter().map(AppliedResult::Quota).collect();
        for (request_id, request) in commands.disruption {
            let outcome = apply_disruption(&mut self.disruption, &liveness, &request);
            results.push(AppliedResult::Disruption(DisruptionResult::new(request_id, outcome)));
        }
        results
    }

    /// Groups commands by table. `Declare` and `RemoveProxy` change the disruption table here, before the quota table
    /// changes.
    fn route(&mut self, commands: Vec<LoggedCommand>) -> RoutedCommands {
        let mut routed = RoutedCommands::default();
        for LoggedCommand { command, request_id } in commands {
            match command {
                Some(Command::Declare(declaration)) => {
                    let Declaration { terms, budgets, revision, disruption_policy } = declaration;
                    if self.quota.accepts_revision(revision) {
                        self.disruption.set_policy(disruption_policy);
                    }
                    routed.quota.push(QuotaCommand::Declare { terms, budgets, revision });
                }
                Some(Command::LeaseRequest(request)) => routed.add_lease_request(request),
                Some(Command::RemoveProxy(name)) => {
                    self.disruption.forget(&Subject::Proxy(name.clone()));
                    routed.quota.push(QuotaCommand::Remove { name });
                }
                Some(Command::Disruption(request)) => routed.disruption.push((request_id, request)),
                None => {}
            }
        }
        routed
    }

    /// Raft identifier of the keeper with this name.
    pub fn keeper_id(&self, name: &str) -> Option<u64> {
        self.keepers.iter().find(|(_, keeper)| keeper.name == name).map(|(id, _)| *id)
    }
}

impl RoutedCommands {
    fn add_lease_request(&mut self, request: SessionLeaseRequest) {
        let SessionLeaseRequest { name, incarnation, request } = request;
        let LeaseRequest { quota, version, zone, report } = request;
        if let Some(report) = report {
            let (name, zone) = (name.clone(), zone.clone());
            self.reports.push(SessionReport { name, incarnation, zone, report });
        }
        self.quota.push(QuotaCommand::Request { name, incarnation, version, zone, request: quota });
    }
}

impl DisruptionResult {
    fn new(request_id: u64, outcome: Result<DisruptionAccepted, DisruptionRejected>) -> DisruptionResult {
        match outcome {
            Ok(DisruptionAccepted { text, unconfirmed }) => {
                DisruptionResult { request_id, ok: true, unconfirmed, text }
            }
            Err(rejected) => {
                let text = rejected.to_string();
                DisruptionResult { request_id, ok: false, unconfirmed: Vec::new(), text }
            }
        }
    }
}

/// An accepted [`DisruptionRequest`].
struct DisruptionAccepted {
    text: String,
    /// As in [`DisruptionResult::unconfirmed`].
    unconfirmed: Vec<u64>,
}

impl DisruptionAccepted {
    /// An accepted change that requires no confirmation by proxies.
    fn confirmed(text: &str) -> DisruptionAccepted {
        DisruptionAccepted { text: text.to_string(), unconfirmed: Vec::new() }
    }
}

/// Why a [`DisruptionRequest`] is rejected. Operators' scripts read these texts, which must not change.
enum DisruptionRejected {
    /// The committed declaration has no disruption limits.
    NoPolicy,
    /// The key is neither `proxy/NAME` nor `member/ID`.
    InvalidSubject(String),
    /// The disruption table denies the permit.
    Denied { subject: String, reason: PermitDenied },
    /// The disruption table has no record of the subject.
    NoRecord,
    /// This version does not support the action.
    UnknownAction,
}

impl fmt::Display for DisruptionRejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DisruptionRejected::NoPolicy => f.write_str("the agreed file bounds no outages"),
            DisruptionRejected::InvalidSubject(key) => {
                write!(f, "'{key}' is neither proxy/NAME nor member/ID")
            }
            DisruptionRejected::Denied { subject, reason } => write_denial(f, subject, reason),
            DisruptionRejected::NoRecord => f.write_str("nothing was known of it"),
            DisruptionRejected::UnknownAction => {
                f.write_str("this keeper's version does not know that request")
            }
        }
    }
}

fn write_denial(f: &mut fmt::Formatter, subject: &str, reason: &PermitDenied) -> fmt::Result {
    match reason {
        PermitDenied::UnknownSubject => write!(f, "no proxy has spoken of {subject}"),
        PermitDenied::HeldByOther { by } => write!(f, "{by} has leave for {subject} already"),
        PermitDenied::IsPrimary => write!(f, "{subject} is its group's primary: it hands over first"),
        PermitDenied::PrimaryUnknown => {
            write!(f, "the primary of the group of {subject} is not known yet")
        }
        PermitDenied::LimitReached { limit, unavailable } if unavailable.is_empty() => {
            write!(f, "no more {limit}: nobody is out")
        }
        PermitDenied::LimitReached { limit, unavailable } => {
            let unavailable: Vec<String> =
                unavailable.iter().map(|(key, cause)| format!("{key} {}", cause.label())).collect();
            write!(f, "no more {limit}: {}", unavailable.join(", "))
        }
    }
}

fn apply_disruption(
    table: &mut DisruptionTable, liveness: &LivenessView, request: &DisruptionRequest,
) -> Result<DisruptionAccepted, DisruptionRejected> {
    if table.policy.is_none() {
        return Err(DisruptionRejected::NoPolicy);
    }
    let Some(subject) = Subject::from_key(&request.subject) else {
        return Err(DisruptionRejected::InvalidSubject(request.subject.clone()));
    };
    match DisruptionAction::try_from(request.action) {
        Ok(DisruptionAction::Permit) => grant_permit(table, liveness, &subject, request),
        Ok(DisruptionAction::Return) if table.request_return(&subject) => {
            Ok(DisruptionAccepted::confirmed("its permit ends once it is seen in service"))
        }
        Ok(DisruptionAction::Return) => Ok(DisruptionAccepted::confirmed("it has no permit")),
        Ok(DisruptionAction::Forget) if table.forget(&subject) => {
            Ok(DisruptionAccepted::confirmed("nothing is known of it any more"))
        }
        Ok(DisruptionAction::Forget) => Err(DisruptionRejected::NoRecord),
        Err(_) => Err(DisruptionRejected::UnknownAction),
    }
}

fn grant_permit(
    table: &mut DisruptionTable, liveness: &LivenessView, subject: &Subject, request: &DisruptionRequest,
) -> Result<DisruptionAccepted, DisruptionRejected> {
    let DisruptionRequest { subject: key, requested_by, reason, force, .. } = request;
    match table.request_permit(liveness, subject, requested_by, reason, *force) {
        Ok(Permit { number, unconfirmed, .. }) => {
            Ok(DisruptionAccepted { text: format!("permit {number} for {key}"), unconfirmed })
        }
        Err(reason) => Err(DisruptionRejected::Denied { subject: key.clone(), reason }),
    }
}
