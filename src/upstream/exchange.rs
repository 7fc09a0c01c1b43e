//! One exchange of a statement and its reply with a member: obtain a connection, acquire a send permit, write, read.
//!
//! An exchange must never write a statement without a permit and the quota at that moment, and returns a connection to
//! the pool only when no further input is expected on that connection.

use crate::api::{MemberId, Outcome};
use crate::close_reason::CloseReason;
use crate::fleet::quota::QuotaUnit;
use crate::list_lease::ListUnusable;
use crate::request::MAX_SHORT_STATEMENT_BYTES;
use crate::upstream::connection::MemberConnection;
use crate::upstream::pool::Pool;
use crate::upstream::reply::StatementReply;
use crate::upstream::send_guard::{SendIntent, SendPermit};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// The progress of an exchange, for the code that cancels it from outside.
#[derive(Default)]
pub(super) struct ExchangeProgress {
    is_written: Cell<bool>,
    /// The close reason of the connection in use; `None` until the send permit is issued.
    close_reason: RefCell<Option<Rc<Cell<CloseReason>>>>,
}

impl ExchangeProgress {
    /// Whether the statement was written to its last byte, so that it may have run.
    pub(super) fn is_written(&self) -> bool {
        self.is_written.get()
    }

    /// Sets the close reason that is logged for the connection in use when the exchange is dropped. Has no effect
    /// before the send permit is issued.
    pub(super) fn set_close_reason(&self, reason: CloseReason) {
        if let Some(close_reason) = self.close_reason.borrow().as_ref() {
            close_reason.set(reason);
        }
    }
}

/// The result of an exchange.
pub(super) struct ExchangeReply {
    pub(super) reply: StatementReply,
    /// The connection, if the rest of a long answer is outstanding on it.
    pub(super) streaming_connection: Option<MemberConnection>,
}

/// An exchange of one statement with one member. Dropping the future of [`Exchange::run`] closes the connection in use,
/// and discards what the member has not received of the statement.
pub(super) struct Exchange<'a> {
    pub(super) pool: &'a Pool,
    pub(super) intent: &'a SendIntent,
    pub(super) progress: &'a ExchangeProgress,
    /// The time by which the last byte of the statement must be written; `None` for no limit.
    pub(super) written_by: Option<Instant>,
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
        // While the connection was established, a list may have announced a drain, the request may have ended, or the
        // process may have been held up.
        let Some(permit) = self.pool.send_permit(self.intent.clone()).await else {
            // If the member still accepts statements, the connection can be reused.
            if self.pool.is_accepting(member) {
                self.pool.put_back(member, connection);
            }
            return Err(Outcome::NotSent);
        };
        *self.progress.close_reason.borrow_mut() = Some(connection.close_reason());
        // The member may have closed the connection during the wait for the permit.
        if permit.has_waited() {
            ensure_usable(&connection)?;
        }
        // The quota is acquired at the moment of use, so that a process resuming after a hold-up detects an expired
        // lease.
        let Some(_quota) = acquire_quota() else {
            self.pool.put_back(member, connection);
            return Err(Outcome::NotSent);
        };
        let (head, tail) = render();
        let is_long = head.len() + tail.len() > MAX_SHORT_STATEMENT_BYTES;
        self.write_in_time(&mut connection, permit, head, tail).await?;
        self.progress.is_written.set(true);
        on_written();
        match self.written_by.filter(|_| is_long) {
            Some(written_by) => Ok(self.read_reply_in_time(connection, written_by).await),
            None => Ok(self.read_reply(connection).await),
        }
    }

    /// Writes the statement. If its last byte is not written in time, it never reaches the member.
    async fn write_in_time(
        &self, connection: &mut MemberConnection, permit: SendPermit, head: Bytes, tail: Bytes,
    ) -> Result<(), Outcome> {
        let Some(written_by) = self.written_by else {
            return connection.write_statement(permit, head, tail).await;
        };
        let written = timeout_at(written_by, connection.write_statement(permit, head, tail)).await;
        written.unwrap_or_else(|_| {
            connection.close_reason().set(CloseReason::TimedOut);
            Err(Outcome::NotSent)
        })
    }

    /// Reads the reply to a long statement whose last bytes may still be in the send buffer of this system. If there is no
    /// reply in time, what the member has not received is discarded with the connection.
    async fn read_reply_in_time(
        &self, mut connection: MemberConnection, written_by: Instant,
    ) -> ExchangeReply {
        match timeout_at(written_by, connection.read_reply(self.pool.response_memory())).await {
            Ok(reply) => self.finish_reply(connection, reply),
            Err(_) => {
                connection.close_reason().set(CloseReason::TimedOut);
                ExchangeReply {
                    reply: StatementReply::without_answer(Outcome::TimedOut),
                    streaming_connection: None,
                }
            }
        }
    }

    async fn read_reply(&self, mut connection: MemberConnection) -> ExchangeReply {
        let reply = connection.read_reply(self.pool.response_memory()).await;
        self.finish_reply(connection, reply)
    }

    /// Returns the connection to the pool if it can carry another statement, hands it over with the beginning of a long
    /// answer, and closes it otherwise.
    fn finish_reply(&self, connection: MemberConnection, reply: StatementReply) -> ExchangeReply {
        if reply.is_streaming {
            return ExchangeReply { reply, streaming_connection: Some(connection) };
        }
        if reply.is_reusable {
            self.pool.put_back(self.intent.member, connection);
        }
        ExchangeReply { reply, streaming_connection: None }
    }

    /// Checks the conditions of the send before the cost of opening a connection. The exchange may be abandoned here
    /// even if the settings do not allow cancelling, since nothing has reached the member.
    fn check_sendable(&self) -> Result<(), Outcome> {
        let is_expired = self.pool.guard().check_lease() == Err(ListUnusable::Expired);
        let is_over = self.intent.is_request_over.get();
        let sendable = self.pool.is_accepting(self.intent.member) && !is_over && !is_expired;
        if sendable { Ok(()) } else { Err(Outcome::NotSent) }
    }
}

/// Takes an idle connection from the pool, or opens a new one.
async fn open_or_reuse(pool: &Pool, member: MemberId) -> Result<MemberConnection, Outcome> {
    if let Some(connection) = pool.checkout(member) {
        return Ok(connection);
    }
    let address = pool.address(member).ok_or(Outcome::ConnectError)?;
    // A lack of descriptors or quota is local to this proxy, and says nothing about the health of the member.
    let descriptor = pool.reserve_descriptor().ok_or(Outcome::NotSent)?;
    let quota = pool.acquire_connection_quota(member).ok_or(Outcome::NotSent)?;
    let mut connection = MemberConnection::open(address, descriptor, pool.connect_timeout()).await?;
    // Bytes received before the statement is written would be read as part of the reply.
    ensure_usable(&connection)?;
    connection.hold_quota(quota);
    Ok(connection)
}

/// Checks, including the socket buffer of the kernel, that a connection is open without pending input. If not, sets its
/// close reason.
fn ensure_usable(connection: &MemberConnection) -> Result<(), Outcome> {
    let Some(reason) = connection.unusable_reason_with_peek() else { return Ok(()) };
    connection.close_reason().set(reason);
    Err(Outcome::ConnectError)
}
