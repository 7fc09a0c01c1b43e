//! The judge of a soak. It looks from outside, at what members, discovery and clients saw, and must know nothing of how a
//! proxy decides. Its rules are the platform's, with the platform's slack; what its own thread was late by is added.

mod intervals;
mod list_history;

use intervals::Intervals;
use list_history::ListHistory;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// No attempt reaches a member later than this after its proxy was notified that it drains or is gone.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Every limit is longer by this on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// A proxy may be held up for so long between reading its clock and writing.
const HOLD_UP: Duration = Duration::from_millis(150);
/// No attempt begins later than this after its client's close.
const SENT_AFTER_CLOSE_MAX: Duration = Duration::from_millis(100);
/// What a request is answered late by at most.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// The connection of a client that stops in the middle of a message ends within this time.
const STOPPED_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// A keyed write may be repeated for so long after its first attempt began.
const KEY_WINDOW: Duration = Duration::from_secs(5);
/// After a suspension, an answer may be late by its length and this.
const AFTER_SUSPENSION: Duration = Duration::from_secs(1);
/// For how long lateness of the judge's own thread is remembered.
const LATENESS_KEPT: Duration = Duration::from_secs(2);

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// Which proxy and request, and when, in a line to read.
    pub text: String,
}

/// What is known of a request from its client and from members.
struct JudgedRequest {
    process: usize,
    written_at: Instant,
    /// Its deadline, from `written_at` on.
    time_left: Duration,
    closed_at: Option<Instant>,
    answered_at: Option<Instant>,
    first_attempt_at: Option<Instant>,
    is_write: bool,
}

/// An attempt that reached a member.
#[derive(Clone, Debug)]
pub struct ObservedAttempt {
    /// The proxy that sent it.
    pub process: usize,
    /// The member that received it.
    pub member: usize,
    /// The request's id.
    pub id: String,
    /// The time left to the deadline that the attempt names, in milliseconds.
    pub left_ms: u64,
    /// When it was received.
    pub at: Instant,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests written by clients.
    pub requests: u64,
    /// Of those, served.
    pub served: u64,
    /// Of those, rejected or failed.
    pub rejected: u64,
    /// Attempts that reached members.
    pub attempts: u64,
    /// Clients that stopped in the middle of a message.
    pub stopped_clients: u64,
    /// Clients that left before their answer.
    pub left_clients: u64,
    /// Attempts at drained members by processes that had started into an outage, and not reached discovery for 12 s.
    pub sends_after_start_in_outage: u64,
}

/// The judge. Everything that it is notified of is taken to happen now.
pub struct Judge {
    started: Instant,
    lists: RefCell<ListHistory>,
    /// When each proxy did not run.
    suspensions: RefCell<Vec<Intervals>>,
    requests: RefCell<BTreeMap<String, JudgedRequest>>,
    /// By how much the judge's own thread was late, and when.
    lateness: RefCell<VecDeque<(Instant, Duration)>>,
    violations: RefCell<Vec<Violation>>,
    counts: Cell<Counts>,
}

impl Judge {
    /// A judge of this many proxies and members. All members are in service.
    pub fn new(processes: usize, members: usize) -> Judge {
        Judge {
            started: Instant::now(),
            lists: RefCell::new(ListHistory::new(processes, members)),
            suspensions: RefCell::new(vec![Intervals::default(); processes]),
            requests: RefCell::default(),
            lateness: RefCell::default(),
            violations: RefCell::default(),
            counts: Cell::default(),
        }
    }

    /// The rules that were broken, in the order of time.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Changes what is counted.
    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Records by how much the judge's own thread was late, which no proxy is to blame for.
    pub fn record_lateness(&self, late_by: Duration) {
        let mut lateness = self.lateness.borrow_mut();
        let now = Instant::now();
        while lateness.front().is_some_and(|(at, _)| now.duration_since(*at) > LATENESS_KEPT) {
            lateness.pop_front();
        }
        lateness.push_back((now, late_by));
    }

    fn slack(&self) -> Duration {
        let late = self.lateness.borrow().iter().map(|(_, late_by)| *late_by).max().unwrap_or_default();
        SOCKET_SLACK + late
    }

    /// Records a violation, also one that others saw.
    pub fn report(&self, rule: &'static str, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.violations.borrow_mut().push(Violation { rule, text: format!("{at:.3} s: {text}") });
    }

    /// Records a new version of discovery's list: this member is in service, or drains or is gone.
    pub fn member_changed(&self, member: usize, version: u64, is_in_service: bool) {
        self.lists.borrow_mut().record_change(member, version, is_in_service);
    }

    /// The number of a proxy's starts and ends, which names its present incarnation.
    pub fn incarnation(&self, process: usize) -> u64 {
        self.lists.borrow().incarnation(process)
    }

    /// Records that discovery wrote a list of this version to a proxy, on a connection that is not silent and that was
    /// made by this incarnation. Returns whether the incarnation lives.
    pub fn list_written(&self, process: usize, incarnation: u64, version: u64) -> bool {
        self.lists.borrow_mut().record_list(process, incarnation, version)
    }

    /// Records the start of a proxy with a saved list of this version. What it was notified of before is void.
    pub fn process_started(&self, process: usize, version: u64) {
        self.lists.borrow_mut().record_start(process, version);
    }

    /// Records the end of a proxy.
    pub fn process_ended(&self, process: usize) {
        self.lists.borrow_mut().record_end(process);
    }

    /// Sets whether discovery can be reached, from now on.
    pub fn set_discovery_reachable(&self, is_reachable: bool) {
        self.lists.borrow_mut().outages.set_open(!is_reachable);
    }

    /// Sets whether a proxy is suspended, from now on.
    pub fn set_suspended(&self, process: usize, is_suspended: bool) {
        self.suspensions.borrow_mut()[process].set_open(is_suspended);
    }

    /// For how long a proxy was suspended since `from`.
    pub fn suspended_since(&self, process: usize, from: Instant) -> Duration {
        self.suspensions.borrow()[process].covered(from, Instant::now())
    }

    /// Judges an attempt that reached a member.
    pub fn judge_attempt(&self, attempt: &ObservedAttempt) {
        self.count(|counts| counts.attempts += 1);
        self.judge_drain(attempt);
        self.judge_by_request(attempt);
    }

    fn judge_drain(&self, attempt: &ObservedAttempt) {
        let ObservedAttempt { process, member, id, at, .. } = attempt;
        let lists = self.lists.borrow();
        for (change, notified_at) in lists.notified_departures(*process, *member, *at) {
            let age = at.duration_since(notified_at);
            if age <= DRAIN_GRACE + self.slack() {
                continue;
            }
            if lists.started_into_outage(*process, *at) {
                self.count(|counts| counts.sends_after_start_in_outage += 1);
                continue;
            }
            let version = change.version;
            let text = format!(
                "proxy {process} sent {id} to member {member} {age:?} after it was notified of version {version}"
            );
            self.report("drain", text);
        }
    }

    fn judge_by_request(&self, attempt: &ObservedAttempt) {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&attempt.id) else { return };
        let ObservedAttempt { id, at, left_ms, .. } = attempt;
        let slack = self.slack();
        let since_close = request.closed_at.map(|closed_at| at.saturating_duration_since(closed_at));
        if let Some(age) = since_close.filter(|age| *age > SENT_AFTER_CLOSE_MAX + slack) {
            self.report("lost", format!("{id} was sent {age:?} after its client had left"));
        }
        let since_answer = request.answered_at.map(|answered_at| at.saturating_duration_since(answered_at));
        if let Some(age) = since_answer.filter(|age| *age > slack) {
            self.report("after-answer", format!("{id} was sent {age:?} after its answer"));
        }
        let left = request.time_left.saturating_sub(at.duration_since(request.written_at));
        if Duration::from_millis(*left_ms) > left + HOLD_UP + slack {
            self.report("deadline", format!("{id} was sent with {left_ms} ms, {left:?} were left"));
        }
        let age = at.duration_since(*request.first_attempt_at.get_or_insert(*at));
        if request.is_write && age > KEY_WINDOW + slack {
            self.report("duplicate", format!("{id} was repeated {age:?} after its first attempt"));
        }
    }

    /// Records that a client wrote the last byte of a request, which names this deadline.
    pub fn request_written(&self, id: &str, process: usize, time_left: Duration, is_write: bool) {
        self.count(|counts| counts.requests += 1);
        let request = JudgedRequest {
            process,
            written_at: Instant::now(),
            time_left,
            closed_at: None,
            answered_at: None,
            first_attempt_at: None,
            is_write,
        };
        self.requests.borrow_mut().insert(id.to_string(), request);
    }

    /// Records that a client closed its connection while this request was open.
    pub fn client_left(&self, id: &str) {
        self.count(|counts| counts.left_clients += 1);
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.closed_at = Some(Instant::now());
        }
    }

    /// Judges the time of a request's final answer. The request before it on its connection was answered at
    /// `previous_answer_at`: the wait for that does not count.
    pub fn judge_answer(&self, id: &str, is_served: bool, previous_answer_at: Instant) {
        self.count(|counts| if is_served { counts.served += 1 } else { counts.rejected += 1 });
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(id) else { return };
        let now = Instant::now();
        request.answered_at = Some(now);
        let process = request.process;
        let suspended = self.suspended_since(process, request.written_at);
        let allowance = if suspended.is_zero() { Duration::ZERO } else { suspended + AFTER_SUSPENSION };
        let since = request.written_at.max(previous_answer_at);
        let late = now.duration_since(since).saturating_sub(request.time_left + LATE_ANSWER + allowance);
        if late > self.slack() {
            self.report("lost", format!("{id} at proxy {process} was answered {late:?} after its time"));
        }
    }

    /// Judges the end of the connection of a client that stopped in the middle of a message at `stopped_at`: it ended now,
    /// or it has not ended.
    pub fn judge_stopped_client(&self, process: usize, stopped_at: Instant, has_ended: bool) {
        self.count(|counts| counts.stopped_clients += 1);
        let took = stopped_at.elapsed();
        if !self.suspended_since(process, stopped_at).is_zero() {
            return;
        }
        if !has_ended || took > STOPPED_CLIENT_TIMEOUT + self.slack() {
            let text = format!("proxy {process}: its end after {took:?}, ended: {has_ended}");
            self.report("stopped-client", text);
        }
    }
}
