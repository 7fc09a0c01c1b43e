//! Status requests of operators to a proxy.

use super::FleetClient;
use crate::clock;
use crate::protocol::{Body, BudgetStatus, Status};
use crate::transport::{self, IncomingMessage};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Capacity of the queue of received messages.
const INBOX_LENGTH: usize = 64;

impl FleetClient {
    /// Answers operators' status requests on `listener` and ignores all other messages. Never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let (inbox, mut received) = mpsc::channel::<IncomingMessage>(INBOX_LENGTH);
        let accepting = transport::serve(listener, self.operator.allow.clone(), self.identity(), inbox);
        let answering = async {
            while let Some(IncomingMessage { envelope, reply }) = received.recv().await {
                if matches!(envelope.body, Some(Body::StatusRequest(_))) {
                    let _ = reply.try_send(self.identity().envelope(0, Body::Status(self.status())));
                }
            }
        };
        tokio::join!(accepting, answering);
    }

    /// The status of this proxy: the keepers in its operators' file, the leader, and the budgets that it enforces.
    pub fn status(&self) -> Status {
        let lease = self.lease.borrow();
        let now = clock::now();
        let budget_status = |name: &str| BudgetStatus {
            name: name.to_string(),
            total: 0,
            committed: lease.limit(now, name).unwrap_or(0),
            in_use: lease.in_use(name),
        };
        let keepers = self.operator.keepers.iter();
        Status {
            role: "proxy".to_string(),
            leader: self.leader.borrow().clone(),
            keepers: keepers.map(|keeper| (keeper.name.clone(), keeper.address.to_string())).collect(),
            budgets: lease.budgets().map(budget_status).collect(),
            log_age_ms: now.saturating_sub(self.last_grant_at.get()) / 1_000,
            ..Status::default()
        }
    }
}
