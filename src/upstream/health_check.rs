//! One health check: asks a member for its load report over a connection of the pool. It is no client's request, so it
//! needs a quota of its own kind, and it must never outlast the time that a new connection may take.

use crate::api::{LoadReport, MemberId, Outcome};
use crate::fleet::quota::QuotaUnit;
use crate::upstream::exchange::{Exchange, ExchangeProgress};
use crate::upstream::pool::Pool;
use crate::upstream::reply::StatementReply;
use crate::upstream::report;
use crate::upstream::send_guard::{Purpose, SendIntent};
use bytes::Bytes;
use std::rc::Rc;
use tokio::time::{Instant, timeout};

/// The statement that asks a member for its load report.
const HEALTH_STATEMENT: &[u8] = b"SHOW health";

/// Asks a member for its load report. Takes as long as a new connection may take, at most.
pub async fn run(pool: Pool, member: MemberId) -> (Outcome, LoadReport) {
    let progress = ExchangeProgress::default();
    let deadline = Instant::now() + pool.connect_timeout();
    let intent =
        SendIntent { member, purpose: Purpose::HealthCheck, deadline, is_request_over: Rc::default() };
    let acquire_quota = || pool.quota().try_spend_health_check().then(QuotaUnit::default);
    let render = || (Bytes::from_static(HEALTH_STATEMENT), Bytes::new());
    let exchange = Exchange { pool: &pool, intent: &intent, progress: &progress };
    let running = exchange.run(acquire_quota, render, || ());
    let Ok(result) = timeout(pool.connect_timeout(), running).await else {
        return (Outcome::TimedOut, LoadReport::default());
    };
    let reply = match result {
        Ok(exchange_reply) => exchange_reply.reply,
        Err(outcome) => return (outcome, LoadReport::default()),
    };
    // No report is long enough to be streamed.
    if reply.is_streaming {
        return (Outcome::MalformedReply, LoadReport::default());
    }
    (reply.outcome, load_report(reply))
}

/// The report in the reply's column, or else the one that a parameter gave.
fn load_report(reply: StatementReply) -> LoadReport {
    let column = reply.column.and_then(|column| String::from_utf8(column.to_vec()).ok());
    column.map_or(reply.report, |text| report::parse(&text))
}
