//! Which member gets a request, when, and what happens after failures.
//!
//! One mechanism decides the ordinary path. A read with a target log position runs on a replica that has applied it,
//! waits for that up to a limit, and otherwise runs on the primary; writes and fresh reads run on the primary.
//! Everything else here guards that path:
//!
//! - a request arrives: `arrival`, `read_position`, `wait_queue`;
//! - a member is chosen: `dispatch`, `replica_selection`, `primary_tracking`;
//! - an attempt ends: `attempt_outcome`, `connection_failure`, `concurrency_limit`, `retry`, `hedging`;
//! - a request can't succeed: `deadline`, `rejection`;
//! - what is known of members: `member_list`, `member_health`, `health_checks`, `slow_start`, `gossip`.
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

/// The shortest time between two rounds of looking at everything while requests are queued or in flight.
const TICK: Micros = Micros::from_millis(10);
/// The gap at which members without attempts in flight are looked at.
const MEMBER_CHECK_INTERVAL: Micros = Micros::from_millis(100);
/// Final answers are owed before the deadline: a queued request is given up this long before it.
const ANSWER_MARGIN: Micros = Micros::from_millis(15);
/// Load reports may be this old when they arrive; nothing is concluded from less.
const REPORT_DELAY_MAX: Micros = Micros::from_millis(400);
/// Positions and commits are told in whole milliseconds, rounded up: what lies one before is surely applied.
const POSITION_ROUNDING: Micros = Micros::from_millis(1);
/// No read waits longer for its position before the primary is asked.
const POSITION_WAIT_MAX: Micros = Micros::from_millis(1_000);
/// A member that responded within this time isn't dead for want of a connection.
const RECENT_RESPONSE: Micros = Micros::from_millis(1_000);
/// Weight of one more observation in the smoothed figures of a member.
const MEMBER_SMOOTHING: f64 = 0.12;
