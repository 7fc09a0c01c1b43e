//! Requests of operators, and of proxies that ask for a permit.

use super::RaftNode;
use super::replies::{MAX_PENDING_REQUESTS, PendingKey, PendingRequest};
use crate::log_entry::{Command, Declaration, DisruptionRequest, LoggedCommand};
use crate::protocol::{Body, OperatorReply, OperatorRequest};
use prost::Message as _;

/// Longest disruption request, in bytes.
const MAX_DISRUPTION_REQUEST_BYTES: usize = 4_096;

impl<R> RaftNode<R> {
    /// A disruption request is answered once its entry is applied, any other one as soon as it is proposed.
    pub(super) fn on_operator_request(&mut self, request: OperatorRequest, reply: R) {
        let not_leader = !self.is_leader();
        let (ok, text) = match request {
            _ if not_leader => (false, format!("the leader is {}", self.leader_name())),
            OperatorRequest { disruption: Some(request), .. } => {
                return self.on_disruption_request(request, reply);
            }
            OperatorRequest { declare: Some(declaration), .. } => self.propose_declaration(declaration),
            OperatorRequest { remove, .. } if !remove.is_empty() => self.propose_removal(remove),
            OperatorRequest { replace, .. } => self.replace_keeper(&replace),
        };
        let unconfirmed = Vec::new();
        self.reply(reply, Body::OperatorReply(OperatorReply { ok, text, unconfirmed, not_leader }));
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

    fn propose_declaration(&mut self, declaration: Declaration) -> (bool, String) {
        let revision = declaration.revision;
        let agreed = self.state.quota.revision;
        if !self.state.quota.accepts_revision(revision) {
            return (false, format!("revision {agreed} is agreed on: a change needs a higher one"));
        }
        self.proposals.push(Command::Declare(declaration).into());
        (true, format!("revision {revision} is declared in the place of {agreed}"))
    }

    fn propose_removal(&mut self, name: String) -> (bool, String) {
        let text = format!("{name} is taken off; what it holds ends by itself");
        self.proposals.push(Command::RemoveProxy(name).into());
        (true, text)
    }
}
