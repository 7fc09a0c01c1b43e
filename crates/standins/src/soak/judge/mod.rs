//! Checks a soak from outside, by the observations of members, discovery and clients; it must not use knowledge of
//! how a proxy decides. The rules and their tolerances are the platform's. Lateness of the judge's own thread is
//! added to each tolerance.

mod intervals;
mod list_history;

use intervals::Intervals;
use list_history::ListHistory;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time after a proxy was notified that a member drains or is gone, from which no attempt may reach that member.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Tolerance that is added to every limit, for delays of sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Maximum hold-up of a proxy between reading its clock and writing.
const MAX_HOLD_UP: Duration = Duration::from_millis(150);
/// Time after a client closed its connection from which no attempt may begin.
const SENT_AFTER_CLOSE_MAX: Duration = Duration::from_millis(100);
/// Maximum delay of a final answer after the request's deadline.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// Time within which a proxy must close the connection of a client that stalled within a message.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after the first attempt of a keyed write within which the write may be retried.
const KEYED_RETRY_WINDOW: Duration = Duration::from_secs(5);
/// Additional delay of an answer that is permitted after a suspension, beyond the suspension itself.
const SUSPENSION_ALLOWANCE: Duration = Duration::from_secs(1);
/// How long lateness of the judge's own thread is taken into account.
const LATENESS_WINDOW: Duration = Duration::from_secs(2);

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Description that names the time, the proxy and the request.
    pub text: String,
}

/// State of a request, as reported by its client and by members.
struct JudgedRequest {
    process: usize,
    written_at: Instant,
    /// Time from `written_at` to the deadline.
    time_left: Duration,
    closed_at: Option<Instant>,
    answered_at: Option<Instant>,
    first_attempt_at: Option<Instant>,
    is_write: bool,
}

/// An attempt that a member received.
#[derive(Clone, Debug)]
pub struct ObservedAttempt {
    /// The sending proxy.
    pub process: usize,
    /// The receiving member.
    pub member: usize,
    /// The request's id.
    pub id: String,
    /// Time to the deadline that the attempt states, in milliseconds.
    pub time_left_ms: u64,
    /// Time of receipt.
    pub at: Instant,
}

/// Counters of a soak.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that clients wrote.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected or failed.
    pub rejected: u64,
    /// Attempts that members received.
    pub attempts: u64,
    /// Clients that stalled within a message.
    pub stalled_clients: u64,
    /// Requests whose client disconnected before the answer.
    pub disconnected_clients: u64,
    /// Attempts at drained members by proxies that started during an outage and had not reached discovery for 12 s.
    pub sends_after_start_in_outage: u64,
}

/// The judge. Each reported event is taken to happen at the time of the call.
pub struct Judge {
    started: Instant,
    lists: RefCell<ListHistory>,
    /// Suspensions of each proxy.
    suspensions: RefCell<Vec<Intervals>>,
    requests: RefCell<BTreeMap<String, JudgedRequest>>,
    /// Lateness of the judge's own thread, with the time of each measurement.
    lateness: RefCell<VecDeque<(Instant, Duration)>>,
    violations: RefCell<Vec<Violation>>,
    counts: Cell<Counts>,
}

impl Judge {
    /// Creates a judge for this many proxies and members. All members are in service.
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

    /// Violations in chronological order.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// Counters of a soak.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Updates the counters.
    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Records lateness of the judge's own thread, which is not a proxy's fault.
    pub fn record_lateness(&self, late_by: Duration) {
        let mut lateness = self.lateness.borrow_mut();
        let now = Instant::now();
        while lateness.front().is_some_and(|(at, _)| now.duration_since(*at) > LATENESS_WINDOW) {
            lateness.pop_front();
        }
        lateness.push_back((now, late_by));
    }

    fn slack(&self) -> Duration {
        let late = self.lateness.borrow().iter().map(|(_, late_by)| *late_by).max().unwrap_or_default();
        SOCKET_SLACK + late
    }

    /// Records a violation; members, clients and the soak also call it for what they observe themselves.
    pub fn record_violation(&self, rule: &'static str, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.violations.borrow_mut().push(Violation { rule, text: format!("{at:.3} s: {text}") });
    }

    /// Records a new version of the list: this member is in service, or it drains or is gone.
    pub fn member_changed(&self, member: usize, version: u64, is_in_service: bool) {
        self.lists.borrow_mut().record_change(member, version, is_in_service);
    }

    /// Returns the number of a proxy's starts and ends so far, which identifies the present incarnation.
    pub fn incarnation(&self, process: usize) -> u64 {
        self.lists.borrow().incarnation(process)
    }

    /// Records that discovery wrote a list of this version to a proxy, on an open connection of this incarnation.
    /// Returns whether the incarnation still runs.
    pub fn list_written(&self, process: usize, incarnation: u64, version: u64) -> bool {
        self.lists.borrow_mut().record_list(process, incarnation, version)
    }

    /// Records the start of a proxy with a saved list of this version. Notifications of its earlier incarnations are
    /// discarded.
    pub fn process_started(&self, process: usize, version: u64) {
        self.lists.borrow_mut().record_start(process, version);
    }

    /// Records the end of a proxy.
    pub fn process_ended(&self, process: usize) {
        self.lists.borrow_mut().record_end(process);
    }

    /// Sets whether discovery can be reached.
    pub fn set_discovery_reachable(&self, is_reachable: bool) {
        self.lists.borrow_mut().outages.set_open(!is_reachable);
    }

    /// Sets whether a proxy is suspended.
    pub fn set_suspended(&self, process: usize, is_suspended: bool) {
        self.suspensions.borrow_mut()[process].set_open(is_suspended);
    }

    /// Returns for how long a proxy was suspended since `from`.
    pub fn suspended_since(&self, process: usize, from: Instant) -> Duration {
        self.suspensions.borrow()[process].covered(from, Instant::now())
    }

    /// Checks an attempt that a member received.
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
                "proxy {process} sent {id} to member {member} {age:?} after it was notified of list version {version}"
            );
            self.record_violation("drain", text);
        }
    }

    fn judge_by_request(&self, attempt: &ObservedAttempt) {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&attempt.id) else { return };
        let ObservedAttempt { id, at, time_left_ms, .. } = attempt;
        let slack = self.slack();
        let since_close = request.closed_at.map(|closed_at| at.saturating_duration_since(closed_at));
        if let Some(age) = since_close.filter(|age| *age > SENT_AFTER_CLOSE_MAX + slack) {
            self.record_violation("lost", format!("{id} was sent {age:?} after its client had disconnected"));
        }
        let since_answer = request.answered_at.map(|answered_at| at.saturating_duration_since(answered_at));
        if let Some(age) = since_answer.filter(|age| *age > slack) {
            self.record_violation("after-answer", format!("{id} was sent {age:?} after its final answer"));
        }
        let remaining = request.time_left.saturating_sub(at.duration_since(request.written_at));
        if Duration::from_millis(*time_left_ms) > remaining + MAX_HOLD_UP + slack {
            self.record_violation(
                "deadline",
                format!("{id} was sent with {time_left_ms} ms to its deadline, but {remaining:?} remained"),
            );
        }
        let age = at.duration_since(*request.first_attempt_at.get_or_insert(*at));
        if request.is_write && age > KEYED_RETRY_WINDOW + slack {
            self.record_violation("duplicate", format!("{id} was retried {age:?} after its first attempt"));
        }
    }

    /// Records that a client wrote the last byte of a request with this time to its deadline.
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
    pub fn client_disconnected(&self, id: &str) {
        self.count(|counts| counts.disconnected_clients += 1);
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.closed_at = Some(Instant::now());
        }
    }

    /// Checks the time of a request's final answer. The preceding request on its connection was answered at
    /// `previous_answer_at`; time until then does not count.
    pub fn judge_answer(&self, id: &str, is_served: bool, previous_answer_at: Instant) {
        self.count(|counts| if is_served { counts.served += 1 } else { counts.rejected += 1 });
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(id) else { return };
        let now = Instant::now();
        request.answered_at = Some(now);
        let process = request.process;
        let suspended = self.suspended_since(process, request.written_at);
        let allowance = if suspended.is_zero() { Duration::ZERO } else { suspended + SUSPENSION_ALLOWANCE };
        let since = request.written_at.max(previous_answer_at);
        let late = now.duration_since(since).saturating_sub(request.time_left + MAX_ANSWER_DELAY + allowance);
        if late > self.slack() {
            self.record_violation(
                "lost",
                format!("{id} at proxy {process} was answered {late:?} after its permitted time"),
            );
        }
    }

    /// Checks the connection of a client that stalled within a message at `stalled_at`: it has ended now, or it is
    /// still open.
    pub fn judge_stalled_client(&self, process: usize, stalled_at: Instant, has_ended: bool) {
        self.count(|counts| counts.stalled_clients += 1);
        let took = stalled_at.elapsed();
        if !self.suspended_since(process, stalled_at).is_zero() {
            return;
        }
        if !has_ended || took > STALLED_CLIENT_TIMEOUT + self.slack() {
            let text =
                format!("proxy {process}: connection of a stalled client after {took:?}, ended: {has_ended}");
            self.record_violation("stopped-client", text);
        }
    }
}
