//! Requests of operators, and disruption requests of proxies.

use super::RaftNode;
use super::replies::{MAX_PENDING_REQUESTS, PendingKey, PendingRequest};
use crate::log_entry::{Command, Declaration, DisruptionRequest, LoggedCommand};
use crate::protocol::{Body, OperatorReply, OperatorRequest};
use prost::Message as _;
use std::fmt;

/// Maximum size of a disruption request, in bytes.
const MAX_DISRUPTION_REQUEST_BYTES: usize = 4_096;

/// Why an operator's request or a join request is rejected. Operators' scripts read these texts, which must not
/// change.
pub(super) enum ChangeRejected {
    /// This keeper does not lead; the leader's name is empty while it is unknown.
    NotLeader { leader: String },
    /// The committed declaration has this revision, which is the same as the requested one or higher.
    RevisionNotNewer { committed: u64 },
    /// No voter has this name.
    UnknownKeeper { name: String },
    /// The leader cannot remove itself.
    IsLeader,
    /// The name belongs to a voter with another Raft identifier, which is that of another store.
    StoreMismatch { name: String },
    /// The leader's operators' file names no keeper of this name.
    NotConfigured { name: String },
    /// The engine rejected the proposal, for example while another change of voters is in progress.
    Engine(raft::Error),
}

impl fmt::Display for ChangeRejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ChangeRejected::NotLeader { leader } => write!(f, "the leader is {leader}"),
            ChangeRejected::RevisionNotNewer { committed } => {
                write!(f, "revision {committed} is agreed on: a change needs a higher one")
            }
            ChangeRejected::UnknownKeeper { name } => write!(f, "there is no keeper '{name}'"),
            ChangeRejected::IsLeader => f.write_str("this keeper leads"),
            ChangeRejected::StoreMismatch { name } => {
                write!(f, "keeper {name} has another store: a lost one is replaced by 'fleet replace {name}'")
            }
            ChangeRejected::NotConfigured { name } => write!(f, "the leader's file names no keeper {name}"),
            ChangeRejected::Engine(error) => write!(f, "{error}"),
        }
    }
}

impl From<raft::Error> for ChangeRejected {
    fn from(error: raft::Error) -> ChangeRejected {
        ChangeRejected::Engine(error)
    }
}

/// The reply to a request that is answered before its entry, if it has one, is applied.
pub(super) fn immediate_reply(outcome: Result<String, ChangeRejected>) -> OperatorReply {
    let ok = outcome.is_ok();
    let not_leader = matches!(outcome, Err(ChangeRejected::NotLeader { .. }));
    let text = outcome.unwrap_or_else(|rejected| rejected.to_string());
    OperatorReply { ok, text, unconfirmed: Vec::new(), not_leader }
}

impl<R> RaftNode<R> {
    /// Replies to a disruption request once its entry is applied, and to any other request immediately.
    pub(super) fn on_operator_request(&mut self, request: OperatorRequest, reply: R) {
        let outcome = match request {
            _ if !self.is_leader() => Err(ChangeRejected::NotLeader { leader: self.leader_name() }),
            OperatorRequest { disruption: Some(request), .. } => {
                return self.on_disruption_request(request, reply);
            }
            OperatorRequest { declare: Some(declaration), .. } => self.propose_declaration(declaration),
            OperatorRequest { remove, .. } if !remove.is_empty() => Ok(self.propose_removal(remove)),
            OperatorRequest { replace, .. } => self.replace_keeper(&replace),
        };
        self.reply(reply, Body::OperatorReply(immediate_reply(outcome)));
    }

    fn on_disruption_request(&mut self, request: DisruptionRequest, reply: R) {
        let is_too_long = request.encoded_len() > MAX_DISRUPTION_REQUEST_BYTES;
        if is_too_long || self.pending.len() >= MAX_PENDING_REQUESTS {
            let text = format!("a request of over {MAX_DISRUPTION_REQUEST_BYTES} bytes, or too many at once");
            let rejection = OperatorReply { text, ..OperatorReply::default() };
            return self.reply(reply, Body::OperatorReply(rejection));
        }
        self.disruption_requests += 1;
        let request_id = fastrand::Rng::with_seed(self.seed ^ self.disruption_requests).u64(1..u64::MAX);
        let key = PendingKey::Disruption { request_id };
        self.pending.push_back(PendingRequest { key, received_at: self.now, reply });
        self.proposals.push(LoggedCommand { command: Some(Command::Disruption(request)), request_id });
    }

    fn propose_declaration(&mut self, declaration: Declaration) -> Result<String, ChangeRejected> {
        let revision = declaration.revision;
        let committed = self.state.quota.revision;
        if !self.state.quota.accepts_revision(revision) {
            return Err(ChangeRejected::RevisionNotNewer { committed });
        }
        self.proposals.push(Command::Declare(declaration).into());
        Ok(format!("revision {revision} is declared in the place of {committed}"))
    }

    fn propose_removal(&mut self, name: String) -> String {
        let text = format!("{name} is taken off; what it holds ends by itself");
        self.proposals.push(Command::RemoveProxy(name).into());
        text
    }
}
