//! A health check: requests the load report of a member over a connection of the pool. Health checks have their own
//! budget, separate from those of clients' requests, and a check is limited to the pool's connect timeout.

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

/// The statement that requests the load report of a member.
const HEALTH_STATEMENT: &[u8] = b"SHOW health";

/// Requests the load report of a member, within the connect timeout of the pool.
pub async fn run(pool: Pool, member: MemberId) -> (Outcome, LoadReport) {
    let progress = ExchangeProgress::default();
    let deadline = Instant::now() + pool.connect_timeout();
    let intent =
        SendIntent { member, purpose: Purpose::HealthCheck, deadline, is_request_over: Rc::default() };
    let acquire_quota = || pool.quota().try_spend_health_check().then(QuotaUnit::default);
    let render = || (Bytes::from_static(HEALTH_STATEMENT), Bytes::new());
    let exchange = Exchange { pool: &pool, intent: &intent, progress: &progress, written_by: None };
    let running = exchange.run(acquire_quota, render, || ());
    let Ok(result) = timeout(pool.connect_timeout(), running).await else {
        return (Outcome::TimedOut, LoadReport::default());
    };
    let reply = match result {
        Ok(exchange_reply) => exchange_reply.reply,
        Err(outcome) => return (outcome, LoadReport::default()),
    };
    // A load report is never long enough to be streamed.
    if reply.is_streaming {
        return (Outcome::MalformedReply, LoadReport::default());
    }
    (reply.outcome, load_report(reply))
}

/// The report in the column of the reply, or else the one in the `health` parameter.
fn load_report(reply: StatementReply) -> LoadReport {
    let column = reply.column.and_then(|column| String::from_utf8(column.to_vec()).ok());
    column.map_or(reply.state.report, |text| report::parse(&text))
}
