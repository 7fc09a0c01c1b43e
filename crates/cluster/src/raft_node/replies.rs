//! Requests that wait until their entry is applied, and the replies to them.

use super::RaftNode;
use crate::protocol::{Body, LeaseGranted, LeaseRejected, OperatorReply};
use crate::replicated_state::{AppliedResult, DisruptionResult};
use linenhill_decisions::membership::SessionRejected;
use linenhill_decisions::quota::table::QuotaReply;
use log::info;

/// Most requests that wait for their entry.
pub(super) const MAX_PENDING_REQUESTS: usize = 16_384;
/// How long a request waits: its entry may be lost with its leader. Microseconds.
const PENDING_TIMEOUT_US: u64 = 5_000_000;

/// Which applied result a pending request waits for.
#[derive(Clone, Copy)]
pub(super) enum PendingKey {
    Lease {
        incarnation: u64,
        seq: u64,
        /// Edition of the quarantine that the proxy applies.
        quarantine_edition: u64,
    },
    Disruption {
        request_id: u64,
    },
}

/// A request that waits for its entry.
pub(super) struct PendingRequest<R> {
    pub key: PendingKey,
    /// Microseconds.
    pub received_at: u64,
    pub reply: R,
}

impl<R> RaftNode<R> {
    /// Drops the requests that waited for too long. Their senders ask again by themselves.
    pub(super) fn expire_pending(&mut self) {
        let now = self.now;
        let is_expired = |request: &PendingRequest<R>| now > request.received_at + PENDING_TIMEOUT_US;
        while self.pending.front().is_some_and(is_expired) {
            self.pending.pop_front();
        }
    }

    /// Replies to the request that waits for this result, if one does.
    pub(super) fn reply_to_pending(&mut self, result: AppliedResult) {
        match result {
            AppliedResult::Quota(result) => self.reply_to_lease_request(result),
            AppliedResult::Disruption(result) => self.reply_to_disruption_request(result),
        }
    }

    /// Removes the first pending request whose key fits.
    fn take_pending(&mut self, is_match: impl Fn(PendingKey) -> bool) -> Option<PendingRequest<R>> {
        let place = self.pending.iter().position(|request| is_match(request.key))?;
        self.pending.remove(place)
    }

    fn reply_to_lease_request(&mut self, result: QuotaReply) {
        let QuotaReply { name, incarnation, result } = result;
        // A rejection carries no sequence number and answers the session's first pending request.
        let granted_seq = result.as_ref().ok().map(|grant| grant.seq).filter(|seq| *seq != 0);
        let is_match = |key| match key {
            PendingKey::Lease { incarnation: of, seq, .. } => {
                of == incarnation && granted_seq.is_none_or(|granted| granted == seq)
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
                // A late request and a name in use are frequent while proxies restart, and end by themselves.
                if !matches!(rejection, SessionRejected::StaleRequest | SessionRejected::NameInUse) {
                    info!("fleet: {name} is not let in: {}", rejection.wire_reason());
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

    /// Name of the proxy whose session has this incarnation.
    fn session_name(&self, incarnation: u64) -> Option<String> {
        let mut sessions = self.state.quota.membership.sessions.iter();
        sessions.find(|(_, session)| session.incarnation == incarnation).map(|(name, _)| name.clone())
    }
}
