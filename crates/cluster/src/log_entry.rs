//! The entries of the replicated log, as they are encoded on disk and between keepers.
//!
//! This module holds messages only; [`crate::replicated_state`] applies them. Tags are part of the stored format and never
//! change; names of Rust types and fields are not.

use crate::protocol::LeaseRequest;
use linenhill_decisions::disruption::DisruptionPolicy;
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::Budgets;
use linenhill_settings::operator::Operator;
use prost::Message;

/// One entry of the log: the time that passed at the leader, and the commands that it accepted meanwhile.
#[derive(Clone, PartialEq, Message)]
pub struct LogEntry {
    /// Time since the leader's previous entry, or since it became leader, on the leader's clock. Microseconds.
    #[prost(uint64, tag = "1")]
    pub elapsed_us: u64,
    /// Commands, in the order in which they apply.
    #[prost(message, repeated, tag = "2")]
    pub commands: Vec<LoggedCommand>,
}

/// One command of an entry.
#[derive(Clone, PartialEq, Message)]
pub struct LoggedCommand {
    /// The command; none if this version does not know it.
    #[prost(oneof = "Command", tags = "1, 2, 3, 4")]
    pub command: Option<Command>,
    /// Identifies the pending request of a [`Command::Disruption`] at the leader; 0 where no request waits by this number.
    #[prost(uint64, tag = "15")]
    pub request_id: u64,
}

impl From<Command> for LoggedCommand {
    /// A command for which no request waits by a `request_id`.
    fn from(command: Command) -> LoggedCommand {
        LoggedCommand { command: Some(command), request_id: 0 }
    }
}

/// A change to the replicated state.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Command {
    /// Replaces budgets, lease terms and disruption limits if the revision is newer.
    #[prost(message, tag = "1")]
    Declare(Declaration),
    /// A proxy asks for quota and renews its membership.
    #[prost(message, tag = "2")]
    LeaseRequest(SessionLeaseRequest),
    /// Removes the proxy of this name.
    #[prost(string, tag = "3")]
    RemoveProxy(String),
    /// Changes the disruption table.
    #[prost(message, tag = "4")]
    Disruption(DisruptionRequest),
}

/// A request to change what the disruption table says of one subject.
#[derive(Clone, PartialEq, Message)]
pub struct DisruptionRequest {
    /// Key of the subject: `proxy/NAME` or `member/ID`.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// A [`DisruptionAction`].
    #[prost(enumeration = "DisruptionAction", tag = "2")]
    pub action: i32,
    /// Who asks.
    #[prost(string, tag = "3")]
    pub requested_by: String,
    /// Why, for the status that operators see.
    #[prost(string, tag = "4")]
    pub reason: String,
    /// Grants a permit beyond the limits.
    #[prost(bool, tag = "5")]
    pub force: bool,
}

/// What a [`DisruptionRequest`] asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum DisruptionAction {
    /// A permit for the subject to be unavailable.
    Permit = 0,
    /// The end of the permit, once the subject is observed in service.
    Return = 1,
    /// Removal of the subject's record.
    Forget = 2,
}

/// Budgets, lease terms and disruption limits of an operators' file.
#[derive(Clone, PartialEq, Message)]
pub struct Declaration {
    /// Durations of leases and membership.
    #[prost(message, required, tag = "1")]
    pub terms: LeaseTerms,
    /// Budgets by name.
    #[prost(btree_map = "string, message", tag = "2")]
    pub budgets: Budgets,
    /// Revision of the file: a declaration replaces only an older one.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Limits of disruptions; none if they are not limited.
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

/// A [`LeaseRequest`] with the session that sent it.
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
