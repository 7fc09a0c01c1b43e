//! Which member gets a request, when, and what happens after failures.
//!
//! Writes and fresh reads run on the primary; without a confirmed primary, a replica that is fresh enough may serve a
//! fresh read. Other reads run on a replica that has applied their target log position, or on the primary if no
//! replica can take them within a limited wait. The modules by subject:
//!
//! - arrival and queueing: `arrival`, `read_position`, `wait_queue`;
//! - selection of a member: `dispatch`, `replica_selection`, `primary_tracking`;
//! - end of an attempt: `attempt_outcome`, `connection_failure`, `concurrency_limit`, `retry`, `hedging`;
//! - requests that can't succeed: `deadline`, `rejection`;
//! - state of members: `member_list`, `member_health`, `health_checks`, `slow_start`, `gossip`.
//!
//! The policy does no I/O and reads no clock: equal events at equal times give equal actions.

mod arrival;
mod attempt_outcome;
mod class_latency;
mod concurrency_limit;
mod connection_failure;
mod cost_budget;
mod deadline;
mod dispatch;
mod fleet_divisor;
mod gossip;
mod group;
mod health_checks;
mod hedging;
mod member;
mod member_health;
mod member_list;
mod primary_tracking;
mod read_position;
mod rejection;
mod replica_selection;
mod request;
mod retry;
mod router;
mod slow_start;
mod wait_queue;

pub use router::{ObservedHealth, Router};

use crate::api::Micros;

/// Minimum interval between rounds of periodic work while requests are open.
const TICK: Micros = Micros::from_millis(10);
/// Interval between checks of members without attempts in flight, and between rounds of periodic work while no
/// request is open.
const MEMBER_CHECK_INTERVAL: Micros = Micros::from_millis(100);
/// Time reserved before a request's deadline for its final answer.
const ANSWER_MARGIN: Micros = Micros::from_millis(15);
/// Maximum age of a load report on arrival, allowed for when the report is compared with other evidence.
const REPORT_DELAY_MAX: Micros = Micros::from_millis(400);
/// Positions and commits are reported in whole milliseconds, rounded up: the position 1 ms lower is certain to be
/// applied.
const POSITION_ROUNDING: Micros = Micros::from_millis(1);
/// Maximum time that a read waits for a replica before the primary may serve it.
const POSITION_WAIT_MAX: Micros = Micros::from_millis(1_000);
/// A member that has responded within this time does not count as unreachable because of a few failed connections.
const RECENT_RESPONSE: Micros = Micros::from_millis(1_000);
/// Weight of a new observation in the smoothed statistics of a member.
const MEMBER_SMOOTHING: f64 = 0.12;
