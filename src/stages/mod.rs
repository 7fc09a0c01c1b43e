//! The chain that a request passes: taken in, admitted, routed, sent, relayed and booked. The types here know
//! no protocol, so that another one can stand before the same decisions.

pub mod admit;
pub mod book;
pub mod intake;
pub mod relay;
pub mod route;
pub mod send;

use crate::api::{AttemptEnd, LoadReport, MemberId, Micros, Outcome, Request, RequestId};
use crate::discovery::list::ListEvent;
use crate::request::Payload;
use bytes::Bytes;
use linenhill_decisions::disruption::HealthObservation;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// A long answer whose first bytes are there.
#[derive(Debug)]
pub struct Flow {
    /// What came first, in the protocol's own form.
    pub first: Bytes,
    /// The rest as it comes, within a bounded window. It ends without [`Passed::Whole`] if it was cut off.
    pub rest: mpsc::Receiver<Passed>,
}

/// What passes of a long answer.
#[derive(Debug)]
pub enum Passed {
    /// More of it.
    Part(Bytes),
    /// Its end: it is whole.
    Whole(Bytes),
}

/// What a member gave.
#[derive(Debug)]
pub enum Value {
    /// The whole answer.
    Whole(Bytes),
    /// A long one, on its way.
    Passing(Flow),
}

/// The one final answer of a request.
#[derive(Debug)]
pub enum Answer {
    /// Served with a long answer, which is on its way: it may yet be cut off.
    Passing(Flow),
    /// Served: the answer as a member gave it, in the protocol's own form.
    Served(Bytes),
    /// Refused: a retry does no harm.
    Refused {
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Failed: no word about the effect.
    Failed,
}

/// A request that was taken in and admitted.
pub struct Taken {
    /// What the decisions are told.
    pub request: Request,
    /// What is passed on.
    pub payload: Payload,
    /// When the client gives up.
    pub deadline: Instant,
    /// Where its final answer goes.
    pub reply: oneshot::Sender<Answer>,
}

/// What happens to the driver of the decisions.
pub enum Input {
    /// A request came.
    Taken(Box<Taken>),
    /// The client of a request has left.
    Gone(RequestId),
    /// An attempt ended; `closed` is filled in by the driver.
    Ended(AttemptEnd, Option<Value>),
    /// A probe ended.
    Probed(MemberId, Outcome, LoadReport),
    /// News of the list.
    List(ListEvent),
    /// Somebody asks how many members are listed, and how many of them avoided.
    Asked(oneshot::Sender<(usize, usize)>),
    /// Operators have said something new on the member with this name.
    MaintenanceChanged(String),
    /// The fleet asks how members are seen.
    Sights(oneshot::Sender<BTreeMap<String, HealthObservation>>),
    /// The fleet says to whom nothing new may be sent; answered once that is so.
    Fence(Vec<String>, oneshot::Sender<()>),
}
