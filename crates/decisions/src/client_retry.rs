//! How long a client has already been retrying when it sends a request: a pure estimate, learned from the
//! timeouts that requests carry.
//!
//! Clients retry by themselves. A request tells how long its sender will wait for it, but not that it is the
//! second or third attempt at something begun long ago. A last attempt waits for what is left of the time
//! after which the client gives up altogether. So where first attempts all carry the same timeout, another
//! timeout is such a remainder, and tells how long the client has been trying. Work for an answer that comes
//! too late takes the place of work that is still worth something; without this estimate, every rejection
//! under overload came back as late work.
//!
//! Nothing is concluded where timeouts have no usual length, nor from a length that is usual for a part of
//! the clients, nor from shorter timeouts alone: clients in a hurry wait for less, too, but only a remainder
//! can exceed the usual timeout.

/// Timeouts that differ by less than the client's total time divided by this are the same: they arrive
/// shortened by the time that the request travelled.
const SAME_DIVISOR: u64 = 100;
/// Bound on the timeouts that are tracked in each class.
const TRACKED_MAX: usize = 16;
/// Once this many requests are counted, all counts are halved, so that old ones fade.
const HALVE_AT: u32 = 512;
/// A timeout is usual for a part of the clients if at least one request in this many carries it.
const USUAL_ONE_IN: u32 = 20;
/// There are usual timeouts at all if together they make up at least one request in this many.
const USUAL_TOGETHER_ONE_IN: u32 = 2;
/// An answer can come within this share of its usual time.
const FASTEST_WORK_SHARE: f64 = 0.7;
/// Timeouts shorter than usual count as remainders while more than one in this many unusual ones is longer
/// than usual.
const LONGER_ONE_IN: u32 = 16;
/// Nothing is concluded from fewer requests than this.
const REQUESTS_MIN: u32 = 64;

/// The timeouts of all classes. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct ClientRetryEstimator {
    classes: Vec<ClassTimeouts>,
    /// Unusual timeouts that were longer than the usual one, over all classes.
    longer: u32,
    /// Unusual timeouts that were shorter.
    shorter: u32,
}

impl ClientRetryEstimator {
    /// `give_up` yields for each class the time after which a client gives up altogether; 0 where that is not
    /// known.
    pub fn new(give_up: impl Iterator<Item = u64>) -> ClientRetryEstimator {
        ClientRetryEstimator { classes: give_up.map(ClassTimeouts::new).collect(), longer: 0, shorter: 0 }
    }

    /// Counts a request whose sender will wait for `timeout`. Returns what is left of the latency objective,
    /// which runs from the client's first attempt; `None` if an answer that usually takes `work` would miss
    /// it.
    pub fn objective_left(&mut self, class: usize, timeout: u64, objective: u64, work: f64) -> Option<u64> {
        let elapsed = self.elapsed(class, timeout);
        let fastest_work = (work * FASTEST_WORK_SHARE) as u64;
        let too_late = elapsed > 0 && elapsed.saturating_add(fastest_work) > objective;
        (!too_late).then(|| objective.saturating_sub(elapsed))
    }

    /// Time since the client's first attempt, by estimate; 0 for a first attempt, or where nothing can be
    /// concluded.
    fn elapsed(&mut self, class: usize, timeout: u64) -> u64 {
        let Some(timeouts) = self.classes.get_mut(class) else { return 0 };
        let Some(usual) = timeouts.record(timeout) else { return 0 };
        let remainder_of = timeouts.give_up;
        let is_longer = timeout > usual;
        self.count_unusual(is_longer);
        let shorter_are_remainders = self.longer.saturating_mul(LONGER_ONE_IN) > self.shorter;
        if is_longer || shorter_are_remainders { remainder_of.saturating_sub(timeout) } else { 0 }
    }

    fn count_unusual(&mut self, is_longer: bool) {
        let count = if is_longer { &mut self.longer } else { &mut self.shorter };
        *count += 1;
        if *count >= HALVE_AT {
            self.longer /= 2;
            self.shorter /= 2;
        }
    }
}

/// The timeouts that the requests of one class carry.
#[derive(Clone, Debug)]
struct ClassTimeouts {
    /// Time after which a client gives up altogether.
    give_up: u64,
    tracked: Vec<TrackedTimeout>,
    requests: u32,
}

#[derive(Clone, Copy, Debug)]
struct TrackedTimeout {
    /// As first seen. If it followed its latest value, it would drift through all remainders.
    timeout: u64,
    count: u32,
}

impl ClassTimeouts {
    fn new(give_up: u64) -> ClassTimeouts {
        ClassTimeouts { give_up, tracked: Vec::new(), requests: 0 }
    }

    /// Counts a request's timeout. If it is not a usual one, the longest usual timeout; `None` if it is
    /// usual, or if no usual one is known.
    fn record(&mut self, timeout: u64) -> Option<u64> {
        self.requests += 1;
        let index = self.track(timeout);
        self.tracked[index].count += 1;
        let is_usual = self.is_usual(&self.tracked[index]);
        let longest_usual = self.longest_usual().filter(|_| !is_usual);
        if self.requests >= HALVE_AT {
            self.halve_counts();
        }
        longest_usual
    }

    /// The index at which this timeout is tracked from now on.
    fn track(&mut self, timeout: u64) -> usize {
        let tolerance = self.give_up / SAME_DIVISOR;
        let same = |tracked: &TrackedTimeout| tracked.timeout.abs_diff(timeout) <= tolerance;
        if let Some(index) = self.tracked.iter().position(same) {
            return index;
        }
        if self.tracked.len() < TRACKED_MAX {
            self.tracked.push(TrackedTimeout { timeout, count: 0 });
            return self.tracked.len() - 1;
        }
        // Space-saving: the rarest makes room, and leaves its count to the new one as an upper bound.
        let rarest = (0..TRACKED_MAX).min_by_key(|index| self.tracked[*index].count).unwrap_or(0);
        self.tracked[rarest].timeout = timeout;
        rarest
    }

    fn is_usual(&self, tracked: &TrackedTimeout) -> bool {
        tracked.count.saturating_mul(USUAL_ONE_IN) >= self.requests
    }

    /// The longest usual timeout, if enough requests were counted and enough of them carried a usual one.
    fn longest_usual(&self) -> Option<u64> {
        let usual = || self.tracked.iter().filter(|tracked| self.is_usual(tracked));
        let together: u32 = usual().map(|tracked| tracked.count).sum();
        let is_known =
            self.requests >= REQUESTS_MIN && together.saturating_mul(USUAL_TOGETHER_ONE_IN) >= self.requests;
        usual().map(|tracked| tracked.timeout).max().filter(|_| is_known)
    }

    fn halve_counts(&mut self) {
        self.requests /= 2;
        for tracked in &mut self.tracked {
            tracked.count /= 2;
        }
        self.tracked.retain(|tracked| tracked.count > 0);
    }
}
