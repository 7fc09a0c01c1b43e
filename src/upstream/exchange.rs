//! One exchange of a statement and its reply with a member: obtain a connection, ask for the permit, write, read.
//!
//! It must never write a statement that the permit or the quota does not allow at that moment, and it puts a connection
//! back into the pool only when nothing more is to come on it.

use crate::api::{MemberId, Outcome};
use crate::close_reason::CloseReason;
use crate::fleet::quota::QuotaUnit;
use crate::list_lease::ListUnusable;
use crate::upstream::connection::MemberConnection;
use crate::upstream::pool::Pool;
use crate::upstream::reply::StatementReply;
use crate::upstream::send_guard::SendIntent;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// What the code that ends an exchange from outside needs to know of it.
#[derive(Default)]
pub(super) struct ExchangeProgress {
    is_written: Cell<bool>,
    /// The close reason of the connection in use, once there is one.
    close_reason: RefCell<Option<Rc<Cell<CloseReason>>>>,
}

impl ExchangeProgress {
    /// Whether the complete statement was written, so that it may have run.
    pub(super) fn is_written(&self) -> bool {
        self.is_written.get()
    }

    /// Sets the reason under which the connection in use is logged when the exchange is dropped.
    pub(super) fn set_close_reason(&self, reason: CloseReason) {
        if let Some(close_reason) = self.close_reason.borrow().as_ref() {
            close_reason.set(reason);
        }
    }
}

/// What an exchange gave.
pub(super) struct ExchangeReply {
    pub(super) reply: StatementReply,
    /// The connection, if the rest of a long answer is still to come on it.
    pub(super) streaming_connection: Option<MemberConnection>,
}

/// One statement to one member. Dropping its future closes the connection in use.
pub(super) struct Exchange<'a> {
    pub(super) pool: &'a Pool,
    pub(super) intent: &'a SendIntent,
    pub(super) progress: &'a ExchangeProgress,
}

impl Exchange<'_> {
    /// Writes a statement and reads the reply. `acquire_quota` and `render` are called right before the statement is
    /// written, `on_written` right after.
    ///
    /// # Errors
    /// The outcome of a statement that has not run.
    pub(super) async fn run(
        &self, acquire_quota: impl FnOnce() -> Option<QuotaUnit>, render: impl FnOnce() -> (Bytes, Bytes),
        on_written: impl FnOnce(),
    ) -> Result<ExchangeReply, Outcome> {
        self.check_sendable()?;
        let member = self.intent.member;
        let mut connection = open_or_reuse(self.pool, member).await?;
        // While the connection came up, a list may have announced a drain, the request may have ended, or the process
        // may have been stopped.
        let Some(permit) = self.pool.send_permit(self.intent.clone()).await else {
            // The connection itself is good where only the request is over.
            if self.pool.is_accepting(member) {
                self.pool.put_back(member, connection);
            }
            return Err(Outcome::NotSent);
        };
        *self.progress.close_reason.borrow_mut() = Some(connection.close_reason());
        // The member may have ended the connection while the permit was waited for.
        if permit.has_waited() {
            ensure_usable(&connection)?;
        }
        // The quota is checked at the moment of use: a process that was stopped finds its lease expired here.
        let Some(_quota) = acquire_quota() else {
            self.pool.put_back(member, connection);
            return Err(Outcome::NotSent);
        };
        let (head, tail) = render();
        connection.write_statement(permit, head, tail).await?;
        self.progress.is_written.set(true);
        on_written();
        Ok(self.read_reply(connection).await)
    }

    /// Reads the reply. The connection goes back into the pool if it can carry another statement.
    async fn read_reply(&self, mut connection: MemberConnection) -> ExchangeReply {
        let reply = connection.read_reply().await;
        if reply.is_streaming {
            return ExchangeReply { reply, streaming_connection: Some(connection) };
        }
        if reply.is_reusable {
            self.pool.put_back(self.intent.member, connection);
        }
        ExchangeReply { reply, streaming_connection: None }
    }

    /// Whether a connection is worth its price. Ending it here needs no permission to cancel, since nothing has
    /// reached the member.
    fn check_sendable(&self) -> Result<(), Outcome> {
        let is_expired = self.pool.guard().check_lease() == Err(ListUnusable::Expired);
        let is_over = self.intent.is_request_over.get();
        let sendable = self.pool.is_accepting(self.intent.member) && !is_over && !is_expired;
        if sendable { Ok(()) } else { Err(Outcome::NotSent) }
    }
}

/// An idle connection of the pool, or else a new one.
async fn open_or_reuse(pool: &Pool, member: MemberId) -> Result<MemberConnection, Outcome> {
    if let Some(connection) = pool.checkout(member) {
        return Ok(connection);
    }
    let address = pool.address(member).ok_or(Outcome::ConnectError)?;
    // A proxy without a free descriptor or quota learns nothing about the member.
    let descriptor = pool.reserve_descriptor().ok_or(Outcome::NotSent)?;
    let quota = pool.connection_permit(member).ok_or(Outcome::NotSent)?;
    let mut connection = MemberConnection::open(address, descriptor, pool.connect_timeout()).await?;
    // Bytes that a member sends before the statement would be taken for the reply.
    ensure_usable(&connection)?;
    connection.hold_quota(quota);
    Ok(connection)
}

/// Checks with the kernel that a connection is open and silent; if not, sets its close reason.
fn ensure_usable(connection: &MemberConnection) -> Result<(), Outcome> {
    let Some(reason) = connection.unusable_reason_now() else { return Ok(()) };
    connection.close_reason().set(reason);
    Err(Outcome::ConnectError)
}
