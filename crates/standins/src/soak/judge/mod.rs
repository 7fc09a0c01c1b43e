//! The judge of a soak: looks from outside, at what members, discovery and clients saw, and knows nothing of how a proxy
//! decides. Its rules are the platform's, with the platform's slack; what its own thread was late by is added.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// What discovery had to tell counts as told at the latest so long after, while it can be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Nothing new reaches a member later than this after its proxy was told that it drains or is gone.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Every limit is longer by this on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// A proxy may be held up for so long between its clock and its write.
const HOLD_UP: Duration = Duration::from_millis(150);
/// No attempt begins later than this after its client's close.
const GONE_AFTER: Duration = Duration::from_millis(100);
/// What a request is answered late by at most.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// A client that stops in the middle of a message is owed its end within this time.
const STOPPED_WITHIN: Duration = Duration::from_secs(3);
/// A keyed write may be repeated for so long after its first attempt began.
const KEY_WINDOW: Duration = Duration::from_secs(5);
/// After a stall, what a proxy owes may be late by its length and this.
const AFTER_STALL: Duration = Duration::from_secs(1);
/// A process that can't reach discovery after its start goes on with its saved list after this time.
const OUTAGE_AT_START: Duration = Duration::from_secs(12);
/// Lateness of the judge's own thread is remembered for so long.
const LATENESS_KEPT: Duration = Duration::from_secs(2);

/// What broke, in a line for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// Who, what and when.
    pub text: String,
}

/// A change of a member in the list.
#[derive(Clone, Copy, Debug)]
struct Change {
    version: u64,
    made_at: Instant,
    serves: bool,
}

struct Request {
    process: usize,
    written_at: Instant,
    wait: Duration,
    closed_at: Option<Instant>,
    answered_at: Option<Instant>,
    first_attempt: Option<Instant>,
    is_write: bool,
}

/// An attempt that reached a member.
#[derive(Clone, Debug)]
pub struct AttemptSeen {
    /// The proxy that sent it.
    pub process: usize,
    /// The member that got it.
    pub member: usize,
    /// The request's id.
    pub id: String,
    /// What it says is left, in milliseconds.
    pub left_ms: u64,
    /// When it was there.
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
    /// Sends to drained members by processes that had started into an outage, and not heard discovery for 12 s.
    pub sends_after_start_in_outage: u64,
}

/// From when to when something was so; without an end it still is.
type Interval = (Instant, Option<Instant>);

/// The judge.
pub struct Judge {
    started: Instant,
    /// By member.
    changes: RefCell<Vec<Vec<Change>>>,
    /// Counts the starts and ends of each proxy.
    lives: RefCell<Vec<u64>>,
    /// When each proxy was started.
    started_at: RefCell<Vec<Instant>>,
    /// The version that discovery wrote to each proxy in this life, and when; first that of its saved list.
    written: RefCell<Vec<Vec<(u64, Instant)>>>,
    /// When discovery could not be reached.
    outages: RefCell<Vec<Interval>>,
    /// When each proxy did not run.
    stalls: RefCell<Vec<Vec<Interval>>>,
    requests: RefCell<BTreeMap<String, Request>>,
    lateness: RefCell<VecDeque<(Instant, Duration)>>,
    violations: RefCell<Vec<Violation>>,
    counts: Cell<Counts>,
}

impl Judge {
    /// A judge of so many proxies and members; all members serve.
    pub fn new(processes: usize, members: usize) -> Judge {
        Judge {
            started: Instant::now(),
            changes: RefCell::new(vec![Vec::new(); members]),
            lives: RefCell::new(vec![0; processes]),
            started_at: RefCell::new(vec![Instant::now(); processes]),
            written: RefCell::new(vec![Vec::new(); processes]),
            outages: RefCell::default(),
            stalls: RefCell::new(vec![Vec::new(); processes]),
            requests: RefCell::default(),
            lateness: RefCell::default(),
            violations: RefCell::default(),
            counts: Cell::default(),
        }
    }

    /// What broke.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Changes what is counted.
    pub fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// The judge's thread was late by so much.
    pub fn was_late(&self, by: Duration) {
        let mut lateness = self.lateness.borrow_mut();
        let now = Instant::now();
        while lateness.front().is_some_and(|(at, _)| now.duration_since(*at) > LATENESS_KEPT) {
            lateness.pop_front();
        }
        lateness.push_back((now, by));
    }

    fn slack(&self) -> Duration {
        let late = self.lateness.borrow().iter().map(|(_, by)| *by).max().unwrap_or_default();
        SOCKET_SLACK + late
    }

    /// Something broke.
    pub fn report(&self, rule: &'static str, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.violations.borrow_mut().push(Violation { rule, text: format!("{at:.3} s: {text}") });
    }

    /// Discovery has a new version: a member serves, or drains or is gone.
    pub fn member_changed(&self, member: usize, version: u64, serves: bool) {
        let change = Change { version, made_at: Instant::now(), serves };
        self.changes.borrow_mut()[member].push(change);
    }

    /// Which life of a proxy this is.
    pub fn life(&self, process: usize) -> u64 {
        self.lives.borrow()[process]
    }

    /// Discovery wrote a list of this version to a proxy, on a connection that is not silent and that was made in this
    /// life. Returns whether it still lives.
    pub fn list_written(&self, process: usize, life: u64, version: u64) -> bool {
        let lives_on = self.life(process) == life;
        if lives_on {
            self.written.borrow_mut()[process].push((version, Instant::now()));
        }
        lives_on
    }

    /// A proxy was started with a saved list of this version: what it was told before is void.
    pub fn process_started(&self, process: usize, version: u64) {
        self.process_ended(process);
        self.started_at.borrow_mut()[process] = Instant::now();
        self.written.borrow_mut()[process] = vec![(version, Instant::now())];
    }

    /// A proxy has ended.
    pub fn process_ended(&self, process: usize) {
        self.lives.borrow_mut()[process] += 1;
    }

    /// Whether a proxy has gone on with its saved list since it could not reach discovery for so long after its start.
    /// That it does is the project's decision (`docs/design/list-lease.md`), against the letter of the rule.
    fn started_into_outage(&self, process: usize, at: Instant) -> bool {
        let started_at = self.started_at.borrow()[process];
        let was_never_told = self.written.borrow()[process].len() <= 1;
        let out = covered(&self.outages.borrow(), started_at, at);
        was_never_told && !out.is_zero() && at.duration_since(started_at) >= OUTAGE_AT_START
    }

    /// Whether discovery can be reached, from now on.
    pub fn discovery_reachable(&self, is_reachable: bool) {
        set_interval(&mut self.outages.borrow_mut(), !is_reachable);
    }

    /// Whether a proxy runs, from now on.
    pub fn process_runs(&self, process: usize, runs: bool) {
        set_interval(&mut self.stalls.borrow_mut()[process], !runs);
    }

    /// How long a proxy did not run since `from`.
    pub fn stalled_since(&self, process: usize, from: Instant) -> Duration {
        covered(&self.stalls.borrow()[process], from, Instant::now())
    }

    /// When a change counts as told to a proxy, as far as it does by `now`.
    fn told_at(&self, process: usize, change: &Change, now: Instant) -> Option<Instant> {
        let written = self.written.borrow();
        let written = written[process].iter().filter(|(version, _)| *version >= change.version);
        let by_word = written.map(|(_, at)| *at).min().map(|at| at.max(change.made_at));
        // Time in which discovery can't be reached does not count.
        let mut due = change.made_at + TOLD_AFTER;
        for (begin, end) in self.outages.borrow().iter() {
            if *begin >= due {
                break;
            }
            let end = end.unwrap_or(now);
            due += end.saturating_duration_since((*begin).max(change.made_at));
        }
        let by_rule = Some(due).filter(|due| *due <= now);
        by_word.into_iter().chain(by_rule).min()
    }

    /// An attempt reached a member.
    pub fn attempt(&self, seen: &AttemptSeen) {
        self.count(|counts| counts.attempts += 1);
        self.judge_drain(seen);
        self.judge_request(seen);
    }

    fn judge_drain(&self, seen: &AttemptSeen) {
        let changes = self.changes.borrow();
        let changes = &changes[seen.member];
        for (index, change) in changes.iter().enumerate().filter(|(_, change)| !change.serves) {
            let Some(told_at) = self.told_at(seen.process, change, seen.at) else { continue };
            let is_back =
                |later: &Change| later.serves && self.told_at(seen.process, later, seen.at).is_some();
            if changes[index + 1..].iter().any(is_back) {
                continue;
            }
            let age = seen.at.duration_since(told_at);
            if age > DRAIN_GRACE + self.slack() && self.started_into_outage(seen.process, seen.at) {
                self.count(|counts| counts.sends_after_start_in_outage += 1);
            } else if age > DRAIN_GRACE + self.slack() {
                let AttemptSeen { process, member, id, .. } = seen;
                let text = format!(
                    "proxy {process} sent {id} to member {member} {age:?} after it was told of version {}",
                    change.version
                );
                self.report("drain", text);
            }
        }
    }

    fn judge_request(&self, seen: &AttemptSeen) {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&seen.id) else { return };
        let slack = self.slack();
        let id = &seen.id;
        if let Some(closed_at) = request.closed_at
            && seen.at > closed_at + GONE_AFTER + slack
        {
            let age = seen.at.duration_since(closed_at);
            self.report("lost", format!("{id} was sent {age:?} after its client had left"));
        }
        if let Some(answered_at) = request.answered_at
            && seen.at > answered_at + slack
        {
            self.report(
                "after-answer",
                format!("{id} was sent {:?} after its answer", seen.at - answered_at),
            );
        }
        let spent = seen.at.duration_since(request.written_at);
        let left = request.wait.saturating_sub(spent);
        if Duration::from_millis(seen.left_ms) > left + HOLD_UP + slack {
            self.report("deadline", format!("{id} was sent with {} ms, {left:?} were left", seen.left_ms));
        }
        let first = *request.first_attempt.get_or_insert(seen.at);
        if request.is_write && seen.at > first + KEY_WINDOW + slack {
            self.report(
                "duplicate",
                format!("{id} was repeated {:?} after its first attempt", seen.at - first),
            );
        }
    }

    /// A client has written the last byte of a request.
    pub fn request_written(&self, id: &str, process: usize, wait: Duration, is_write: bool) {
        self.count(|counts| counts.requests += 1);
        let request = Request {
            process,
            written_at: Instant::now(),
            wait,
            closed_at: None,
            answered_at: None,
            first_attempt: None,
            is_write,
        };
        self.requests.borrow_mut().insert(id.to_string(), request);
    }

    /// A client has closed its connection with this request open.
    pub fn client_left(&self, id: &str) {
        self.count(|counts| counts.left_clients += 1);
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.closed_at = Some(Instant::now());
        }
    }

    /// A request got its final answer; the one before it on its connection was answered at `turn_since`: what it waited
    /// for that does not count.
    pub fn answered(&self, id: &str, is_served: bool, turn_since: Instant) {
        self.count(|counts| if is_served { counts.served += 1 } else { counts.rejected += 1 });
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(id) else { return };
        let now = Instant::now();
        request.answered_at = Some(now);
        let stalled = covered(&self.stalls.borrow()[request.process], request.written_at, now);
        let stalled = if stalled.is_zero() { stalled } else { stalled + AFTER_STALL };
        let since = request.written_at.max(turn_since);
        let late = now.duration_since(since).saturating_sub(request.wait + LATE_ANSWER + stalled);
        if late > self.slack() {
            let process = request.process;
            self.report("lost", format!("{id} at proxy {process} was answered {late:?} after its time"));
        }
    }

    /// A client that stopped at `stopped_at` got its end, or nothing until now.
    pub fn stopped_client(&self, process: usize, stopped_at: Instant, has_ended: bool) {
        self.count(|counts| counts.stopped_clients += 1);
        let took = stopped_at.elapsed();
        if !self.stalled_since(process, stopped_at).is_zero() {
            return;
        }
        if !has_ended || took > STOPPED_WITHIN + self.slack() {
            self.report(
                "stopped-client",
                format!("proxy {process}: its end after {took:?}, ended: {has_ended}"),
            );
        }
    }
}

fn set_interval(intervals: &mut Vec<Interval>, is_open: bool) {
    let now = Instant::now();
    let last = intervals.last_mut().filter(|(_, end)| end.is_none());
    match (last, is_open) {
        (None, true) => intervals.push((now, None)),
        (Some((_, end)), false) => *end = Some(now),
        _ => {}
    }
}

/// How much of the time between two moments the intervals cover.
fn covered(intervals: &[Interval], from: Instant, to: Instant) -> Duration {
    let overlap = |(begin, end): &Interval| {
        let begin = (*begin).max(from);
        end.unwrap_or(to).min(to).saturating_duration_since(begin)
    };
    intervals.iter().map(overlap).sum()
}
