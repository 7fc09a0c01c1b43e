//! Requests whose log entry is not applied yet, and the replies to them.

use super::RaftNode;
use crate::protocol::{Body, LeaseGranted, LeaseRejected, OperatorReply};
use crate::replicated_state::{AppliedResult, DisruptionResult};
use linenhill_decisions::membership::SessionRejected;
use linenhill_decisions::quota::table::QuotaReply;
use log::info;

/// Limit of pending requests.
pub(super) const MAX_PENDING_REQUESTS: usize = 16_384;
/// Time after which a pending request is dropped, since its entry may have been lost in a change of leader.
/// Microseconds.
const PENDING_TIMEOUT_US: u64 = 5_000_000;

/// Identifies the applied result that a pending request waits for.
#[derive(Clone, Copy)]
pub(super) enum PendingKey {
    Lease {
        incarnation: u64,
        seq: u64,
        /// Edition of the quarantine that the proxy has applied.
        quarantine_edition: u64,
    },
    Disruption {
        request_id: u64,
    },
}

/// A request whose log entry is not applied yet.
pub(super) struct PendingRequest<R> {
    pub key: PendingKey,
    /// Time of receipt. Microseconds.
    pub received_at: u64,
    pub reply: R,
}

impl<R> RaftNode<R> {
    /// Drops the requests that are pending for longer than [`PENDING_TIMEOUT_US`], without a reply. Their senders have
    /// timeouts of their own.
    pub(super) fn expire_pending(&mut self) {
        let now = self.now;
        let is_expired = |request: &PendingRequest<R>| now > request.received_at + PENDING_TIMEOUT_US;
        while self.pending.front().is_some_and(is_expired) {
            self.pending.pop_front();
        }
    }

    /// Replies to the pending request for this result, if there is one.
    pub(super) fn reply_to_pending(&mut self, result: AppliedResult) {
        match result {
            AppliedResult::Quota(result) => self.reply_to_lease_request(result),
            AppliedResult::Disruption(result) => self.reply_to_disruption_request(result),
        }
    }

    /// Removes and returns the first pending request whose key matches.
    fn take_pending(&mut self, is_match: impl Fn(PendingKey) -> bool) -> Option<PendingRequest<R>> {
        let position = self.pending.iter().position(|request| is_match(request.key))?;
        self.pending.remove(position)
    }

    fn reply_to_lease_request(&mut self, result: QuotaReply) {
        let QuotaReply { name, incarnation, result } = result;
        // A rejection carries no sequence number, so it answers the incarnation's first pending request.
        let granted_seq = result.as_ref().ok().map(|grant| grant.seq).filter(|seq| *seq != 0);
        let is_match = |key| match key {
            PendingKey::Lease { incarnation: pending, seq, .. } => {
                pending == incarnation && granted_seq.is_none_or(|granted| granted == seq)
            }
            PendingKey::Disruption { .. } => false,
        };
        let Some(request) = self.take_pending(is_match) else { return };
        let PendingKey::Lease { seq, quarantine_edition, .. } = request.key else { return };
        let body = match result {
            Ok(grant) => {
                let quarantine = self.state.disruption.quarantine();
                let quarantine = Some(quarantine).filter(|current| current.edition > quarantine_edition);
                Body::LeaseGranted(LeaseGranted { grant, quarantine })
            }
            Err(rejection) => {
                // Not logged: stale requests and names in use are frequent while proxies restart, and resolve without
                // action.
                if !matches!(rejection, SessionRejected::StaleRequest | SessionRejected::NameInUse) {
                    info!("fleet: lease request of {name} rejected: {}", rejection.wire_reason());
                }
                let superseded = matches!(rejection, SessionRejected::Superseded);
                let reason = rejection.wire_reason().to_string();
                Body::LeaseRejected(LeaseRejected { seq, superseded, reason, incarnation })
            }
        };
        self.reply(request.reply, body);
    }

    fn reply_to_disruption_request(&mut self, result: DisruptionResult) {
        let DisruptionResult { request_id, ok, unconfirmed, text } = result;
        let is_match =
            |key| matches!(key, PendingKey::Disruption { request_id: pending } if pending == request_id);
        let Some(request) = self.take_pending(is_match) else { return };
        let unconfirmed =
            unconfirmed.iter().filter_map(|incarnation| self.session_name(*incarnation)).collect();
        let reply = OperatorReply { ok, text, unconfirmed, not_leader: false };
        self.reply(request.reply, Body::OperatorReply(reply));
    }

    /// Name of the proxy with a session of this incarnation.
    fn session_name(&self, incarnation: u64) -> Option<String> {
        let mut sessions = self.state.quota.membership.sessions.iter();
        sessions.find(|(_, session)| session.incarnation == incarnation).map(|(name, _)| name.clone())
    }
}
