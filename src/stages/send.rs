//! Carries out sends: one task for each attempt, called off on demand, and one ending for each.

use super::Input;
use super::book::Book;
use crate::api::{AttemptEnd, Limits, LoadReport, MemberId, Micros, Outcome, RequestId};
use crate::invariants::Invariant;
use crate::request::Payload;
use crate::upstream::attempt::{self, AttemptOutcome, AttemptRequest};
use crate::upstream::pool::Pool;
use crate::upstream::send_guard::Purpose;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

struct Job {
    payload: Payload,
    deadline: Instant,
    sent: u32,
    out: BTreeMap<u32, oneshot::Sender<()>>,
    /// Seen by the attempts that are still to be written.
    over: Rc<Cell<bool>>,
}

/// The stage.
pub struct Sender {
    jobs: BTreeMap<RequestId, Job>,
    pool: Pool,
    inbox: mpsc::UnboundedSender<Input>,
    book: Book,
    most: u32,
    /// Whether a second attempt may run beside the first.
    allows_copies: bool,
}

impl Sender {
    /// Sends over `pool`, within these limits for each request; endings go to `inbox`.
    pub fn new(pool: Pool, inbox: mpsc::UnboundedSender<Input>, book: Book, limits: &Limits) -> Sender {
        let (most, allows_copies) = (limits.max_attempts, limits.hedging);
        Sender { jobs: BTreeMap::new(), pool, inbox, book, most, allows_copies }
    }

    /// Keeps what is to be sent for a request.
    pub fn keep(&mut self, id: RequestId, payload: Payload, deadline: Instant) {
        let job = Job { payload, deadline, sent: 0, out: BTreeMap::new(), over: Rc::default() };
        self.jobs.insert(id, job);
    }

    /// Starts the next attempt.
    pub fn start(&mut self, id: RequestId, member: MemberId, timeout: Option<Micros>) {
        let (inbox, started) = (self.inbox.clone(), Instant::now());
        let Some(job) = self.jobs.get_mut(&id) else {
            // Not one of ours, or long over: it was never sent.
            let _ =
                inbox.send(ended(id, 0, member, started, AttemptOutcome::without_response(Outcome::NotSent)));
            return;
        };
        let number = job.sent;
        job.sent += 1;
        if job.over.get() || number >= self.most || started >= job.deadline {
            let _ = inbox.send(ended(
                id,
                number,
                member,
                started,
                AttemptOutcome::without_response(Outcome::NotSent),
            ));
            return;
        }
        self.pool.guard().monitor().check(
            Invariant::OneAttempt,
            job.out.is_empty() || self.allows_copies,
            format_args!("request {id} attempt {number} at member {}, out: {:?}", member.0, job.out.keys()),
        );
        let (call_off, called_off) = oneshot::channel();
        job.out.insert(number, call_off);
        let deadline = match timeout.filter(|t| t.0 > 0) {
            Some(t) => job.deadline.min(started + Duration::from_micros(t.0)),
            None => job.deadline,
        };
        let (payload, is_request_over) = (job.payload.clone(), job.over.clone());
        let purpose = Purpose::Attempt(id, number);
        let attempt_request =
            AttemptRequest { member, payload, deadline, is_retry: number > 0, purpose, is_request_over };
        let (pool, book) = (self.pool.clone(), self.book.clone());
        let counted = book.clone();
        book.sent();
        tokio::task::spawn_local(async move {
            let ending = attempt::run(pool, attempt_request, called_off, || counted.written()).await;
            book.ended(ending.outcome);
            let _ = inbox.send(ended(id, number, member, started, ending));
        });
    }

    /// Calls an attempt off; one that has ended in the meantime stays as it ended.
    pub fn cancel(&mut self, id: RequestId, attempt: u32) {
        if let Some(call_off) = self.jobs.get_mut(&id).and_then(|j| j.out.remove(&attempt)) {
            let _ = call_off.send(());
        }
    }

    /// The request has had its final answer, or its client has left: what is not written yet stays here.
    pub fn over(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.over.set(true);
            self.tidy(id);
        }
    }

    /// An attempt has ended.
    pub fn ended(&mut self, id: RequestId, attempt: u32) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.out.remove(&attempt);
            self.tidy(id);
        }
    }

    fn tidy(&mut self, id: RequestId) {
        if self.jobs.get(&id).is_some_and(|j| j.over.get() && j.out.is_empty()) {
            self.jobs.remove(&id);
        }
    }

    /// Asks a member for its report.
    pub fn probe(&self, member: MemberId) {
        let (pool, inbox) = (self.pool.clone(), self.inbox.clone());
        self.book.probed();
        tokio::task::spawn_local(async move {
            let (outcome, report): (Outcome, LoadReport) = attempt::probe(pool, member).await;
            let _ = inbox.send(Input::Probed(member, outcome, report));
        });
    }

    /// Gives back the idle connections to a member.
    pub fn close(&self, member: MemberId) {
        self.pool.close_idle(member);
    }
}

fn ended(id: RequestId, attempt: u32, member: MemberId, started: Instant, ending: AttemptOutcome) -> Input {
    let AttemptOutcome { outcome, response, position, role, report } = ending;
    let latency = Micros(started.elapsed().as_micros() as u64);
    let is_request_over = false;
    let end = AttemptEnd { id, attempt, member, outcome, latency, is_request_over, position, role, report };
    Input::Ended(end, response)
}
