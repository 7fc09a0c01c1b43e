//! Received messages: Raft messages of other keepers, and requests of proxies and operators.

use super::RaftNode;
use super::replies::{MAX_PENDING_REQUESTS, PendingKey, PendingRequest};
use crate::log_entry::{Command, SessionLeaseRequest};
use crate::protocol::{Body, Envelope, LeaseRejected, LeaseRequest, NotLeader};
use log::info;
use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::Message;

/// Maximum size of a lease request, in bytes.
const MAX_LEASE_REQUEST_BYTES: usize = 256 << 10;

impl<R> RaftNode<R> {
    pub(super) fn on_envelope(&mut self, envelope: Envelope, reply: R) {
        let Envelope { from, incarnation, log_id, body, .. } = envelope;
        match body {
            Some(Body::Raft(bytes)) => self.on_raft_message(&from, incarnation, log_id, &bytes),
            Some(Body::LeaseRequest(request)) => {
                let name = from;
                self.on_lease_request(SessionLeaseRequest { name, incarnation, request }, reply);
            }
            Some(Body::StatusRequest(_)) => {
                let status = self.status();
                self.reply(reply, Body::Status(status));
            }
            Some(Body::Join(join)) => self.on_join_request(&from, incarnation, &join, reply),
            Some(Body::OperatorRequest(request)) => self.on_operator_request(request, reply),
            _ => {}
        }
    }

    fn on_raft_message(&mut self, from: &str, id: u64, log_id: u64, bytes: &[u8]) {
        // A new keeper receives the log's identifier with the reply to its join request, and must not vote without it.
        if log_id == 0 || log_id != self.log_id() {
            return;
        }
        self.add_provisional_peer(from, id);
        let Ok(message) = Message::parse_from_bytes(bytes) else { return };
        if message.to != self.id() || message.from != id {
            return;
        }
        if let Err(error) = self.engine.step(message) {
            info!("fleet: Raft message from {from} rejected: {error}");
        }
    }

    fn on_lease_request(&mut self, request: SessionLeaseRequest, reply: R) {
        if !self.is_leader() {
            let leader = self.leader_name();
            return self.reply(reply, Body::NotLeader(NotLeader { leader }));
        }
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            // Overloaded. A redirect without a leader's name makes the proxy try the next keeper after a delay.
            return self.reply(reply, Body::NotLeader(NotLeader { leader: String::new() }));
        }
        let SessionLeaseRequest { incarnation, .. } = request;
        let LeaseRequest { quota, report, .. } = &request.request;
        let seq = quota.seq;
        if request.request.encoded_len() > MAX_LEASE_REQUEST_BYTES {
            let reason = format!("a request of over {MAX_LEASE_REQUEST_BYTES} bytes");
            let rejected = LeaseRejected { seq, superseded: false, reason, incarnation };
            return self.reply(reply, Body::LeaseRejected(rejected));
        }
        let quarantine_edition = report.as_ref().map_or(0, |report| report.quarantine_edition);
        let key = PendingKey::Lease { incarnation, seq, quarantine_edition };
        self.pending.push_back(PendingRequest { key, received_at: self.now, reply });
        self.proposals.push(Command::LeaseRequest(request).into());
    }
}
