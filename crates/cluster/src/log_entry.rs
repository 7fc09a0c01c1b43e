//! The entries of the replicated log, as they are encoded on disk and between keepers.
//!
//! This module defines messages only; [`crate::replicated_state`] applies them. Tags are part of the stored format and
//! must never change; names of Rust types and fields may.

use crate::protocol::LeaseRequest;
use linenhill_decisions::disruption::DisruptionPolicy;
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::Budgets;
use linenhill_settings::operator::Operator;
use prost::Message;

/// One entry of the log: the time that elapsed at the leader since its previous entry, and a batch of commands.
#[derive(Clone, PartialEq, Message)]
pub struct LogEntry {
    /// Time since the leader's previous entry, or since it became leader, on its own clock. Microseconds.
    #[prost(uint64, tag = "1")]
    pub elapsed_us: u64,
    /// Commands, in the order in which they are applied.
    #[prost(message, repeated, tag = "2")]
    pub commands: Vec<LoggedCommand>,
}

/// One command of an entry.
#[derive(Clone, PartialEq, Message)]
pub struct LoggedCommand {
    /// The command; `None` if this version does not support it, in which case it is ignored.
    #[prost(oneof = "Command", tags = "1, 2, 3, 4")]
    pub command: Option<Command>,
    /// Identifies the leader's pending request of a [`Command::Disruption`]; 0 for other commands.
    #[prost(uint64, tag = "15")]
    pub request_id: u64,
}

impl From<Command> for LoggedCommand {
    /// Wraps a command other than [`Command::Disruption`], with `request_id` 0.
    fn from(command: Command) -> LoggedCommand {
        LoggedCommand { command: Some(command), request_id: 0 }
    }
}

/// A change to the replicated state.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Command {
    /// Replaces budgets, lease terms and disruption limits if its revision is higher than that of the committed
    /// declaration, or if none is committed.
    #[prost(message, tag = "1")]
    Declare(Declaration),
    /// Requests quotas for a proxy, renews its session and records its health report.
    #[prost(message, tag = "2")]
    LeaseRequest(SessionLeaseRequest),
    /// Removes the session and the disruption record of the proxy with this name, and rejects its current incarnation
    /// from then on.
    #[prost(string, tag = "3")]
    RemoveProxy(String),
    /// Changes the disruption table.
    #[prost(message, tag = "4")]
    Disruption(DisruptionRequest),
}

/// A request to change one subject in the disruption table.
#[derive(Clone, PartialEq, Message)]
pub struct DisruptionRequest {
    /// Key of the subject: `proxy/NAME` or `member/ID`.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// A [`DisruptionAction`].
    #[prost(enumeration = "DisruptionAction", tag = "2")]
    pub action: i32,
    /// Name of the requester.
    #[prost(string, tag = "3")]
    pub requested_by: String,
    /// Reason, shown in the status for operators.
    #[prost(string, tag = "4")]
    pub reason: String,
    /// Whether to grant the permit without a check of the limits, and to accept one that another requester holds.
    #[prost(bool, tag = "5")]
    pub force: bool,
}

/// The change that a [`DisruptionRequest`] makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum DisruptionAction {
    /// Grants a permit for the subject to be unavailable.
    Permit = 0,
    /// Ends the permit once the subject is reported in service. A member leaves the quarantine immediately.
    Return = 1,
    /// Removes the subject's record, with its permit.
    Forget = 2,
}

/// Budgets, lease terms and disruption limits from an operators' file.
#[derive(Clone, PartialEq, Message)]
pub struct Declaration {
    /// Durations of leases and memberships, and the bound on clock drift.
    #[prost(message, required, tag = "1")]
    pub terms: LeaseTerms,
    /// Budgets by name.
    #[prost(btree_map = "string, message", tag = "2")]
    pub budgets: Budgets,
    /// Revision of the operators' file; a declaration only replaces one of a lower revision.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Limits of disruptions; `None` if they are not limited.
    #[prost(message, optional, tag = "4")]
    pub disruption_policy: Option<DisruptionPolicy>,
}

impl From<&Operator> for Declaration {
    fn from(operator: &Operator) -> Declaration {
        Declaration {
            terms: operator.terms,
            budgets: operator.budgets.clone(),
            revision: operator.revision,
            disruption_policy: operator.outages,
        }
    }
}

/// A [`LeaseRequest`] with the name and incarnation of its sender.
#[derive(Clone, PartialEq, Message)]
pub struct SessionLeaseRequest {
    /// Name of the proxy.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the proxy.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The request.
    #[prost(message, required, tag = "3")]
    pub request: LeaseRequest,
}
