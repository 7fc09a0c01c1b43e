//! Which member gets a request, when, and what happens after failures.
//!
//! Writes and fresh reads run on the primary. A read with a target log position runs on a replica that has applied
//! it, waits for one up to a limit, and otherwise runs on the primary. The modules by subject:
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

/// Minimum interval between rounds of periodic work while requests are queued or in flight.
const TICK: Micros = Micros::from_millis(10);
/// Interval between checks of members without attempts in flight.
const MEMBER_CHECK_INTERVAL: Micros = Micros::from_millis(100);
/// Final answers must be given before the deadline: a queued request is given up this long before it.
const ANSWER_MARGIN: Micros = Micros::from_millis(15);
/// Maximum age of a load report on arrival. Smaller differences in time are not used as evidence.
const REPORT_DELAY_MAX: Micros = Micros::from_millis(400);
/// Positions and commits are reported in whole milliseconds, rounded up: the position 1 ms lower is certain to be
/// applied.
const POSITION_ROUNDING: Micros = Micros::from_millis(1);
/// Maximum time that a read waits for its position before the primary may serve it.
const POSITION_WAIT_MAX: Micros = Micros::from_millis(1_000);
/// A member that responded within this time is not taken for down because a connection failed.
const RECENT_RESPONSE: Micros = Micros::from_millis(1_000);
/// Weight of one more observation in the smoothed statistics of a member.
const MEMBER_SMOOTHING: f64 = 0.12;
