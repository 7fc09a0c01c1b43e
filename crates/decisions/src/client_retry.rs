//! Estimates from the timeouts of requests how long a client has been retrying when a request arrives.
//!
//! Clients retry on their own. A request carries the time that its sender will wait, but not whether it is a first
//! attempt or a retry. The timeout of a client's last attempt is the remainder of its total timeout. If all first
//! attempts carry the same usual timeout, a different one is such a remainder, and the total timeout less the remainder
//! is the time since the client's first attempt. Under overload this keeps work for answers that would be too late from
//! displacing useful work; without the estimate, every rejected request returned as late work.
//!
//! The estimate is zero if no timeout is usual, or if the request's timeout is usual for a part of the clients. Shorter
//! timeouts count as remainders only if longer ones occur as well: impatient clients use shorter timeouts too, but only
//! a remainder can exceed the usual timeout.

/// Timeouts that differ by at most the client's total timeout divided by this count as equal, since each arrives
/// shortened by the transit time of its request.
const TOLERANCE_DIVISOR: u64 = 100;
/// Bound on the distinct timeouts tracked per class.
const TRACKED_MAX: usize = 16;
/// Counts are halved when the requests of a class, or an unusual count over all classes, reach this value, so that old
/// requests lose weight.
const COUNT_MAX: u32 = 512;
/// A timeout is usual if at least one request in this many carries it.
const USUAL_MIN_DIVISOR: u32 = 20;
/// Usual timeouts are used only if they make up at least one request in this many together.
const USUAL_TOTAL_MIN_DIVISOR: u32 = 2;
/// Share of its usual latency within which an answer may arrive.
const FASTEST_LATENCY_SHARE: f64 = 0.7;
/// Timeouts shorter than usual count as remainders while there is more than one longer than usual for this many shorter
/// ones.
const LONGER_MIN_DIVISOR: u32 = 16;
/// Fewest requests of a class for an estimate.
const REQUESTS_MIN: u32 = 64;

/// The timeouts of all classes. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct ClientRetryEstimator {
    classes: Vec<ClassTimeouts>,
    /// Unusual timeouts that were longer than the usual one, over all classes.
    longer: u32,
    /// Unusual timeouts that were shorter than the usual one, over all classes.
    shorter: u32,
}

impl ClientRetryEstimator {
    /// An estimator without observations. `give_up` yields the total timeout of clients for each class, in microseconds;
    /// 0 if it is not known.
    pub fn new(give_up: impl Iterator<Item = u64>) -> ClientRetryEstimator {
        ClientRetryEstimator { classes: give_up.map(ClassTimeouts::new).collect(), longer: 0, shorter: 0 }
    }

    /// Records a request with this timeout. Returns the remainder of the latency objective, which is counted from the
    /// client's first attempt; `None` if an answer with a usual latency of `work` microseconds would miss it.
    pub fn objective_left(&mut self, class: usize, timeout: u64, objective: u64, work: f64) -> Option<u64> {
        let elapsed = self.elapsed(class, timeout);
        let fastest_latency = (work * FASTEST_LATENCY_SHARE) as u64;
        let too_late = elapsed > 0 && elapsed.saturating_add(fastest_latency) > objective;
        (!too_late).then(|| objective.saturating_sub(elapsed))
    }

    /// Estimated time since the client's first attempt; 0 for a first attempt or without an estimate.
    fn elapsed(&mut self, class: usize, timeout: u64) -> u64 {
        let Some(timeouts) = self.classes.get_mut(class) else { return 0 };
        let Some(usual) = timeouts.record(timeout) else { return 0 };
        let total_timeout = timeouts.give_up;
        let is_longer = timeout > usual;
        self.count_unusual(is_longer);
        let shorter_are_remainders = self.longer.saturating_mul(LONGER_MIN_DIVISOR) > self.shorter;
        if is_longer || shorter_are_remainders { total_timeout.saturating_sub(timeout) } else { 0 }
    }

    fn count_unusual(&mut self, is_longer: bool) {
        let count = if is_longer { &mut self.longer } else { &mut self.shorter };
        *count += 1;
        if *count >= COUNT_MAX {
            self.longer /= 2;
            self.shorter /= 2;
        }
    }
}

/// The timeouts that the requests of one class carry.
#[derive(Clone, Debug)]
struct ClassTimeouts {
    /// Total timeout of a client over all its attempts; 0 if it is not known.
    give_up: u64,
    tracked: Vec<TrackedTimeout>,
    requests: u32,
}

#[derive(Clone, Copy, Debug)]
struct TrackedTimeout {
    /// The first value seen. If it were updated to the latest value, it would drift through all remainders.
    timeout: u64,
    count: u32,
}

impl ClassTimeouts {
    fn new(give_up: u64) -> ClassTimeouts {
        ClassTimeouts { give_up, tracked: Vec::new(), requests: 0 }
    }

    /// Records the timeout of a request. Returns the longest usual timeout, or `None` if this timeout is usual or no
    /// usual one is known.
    fn record(&mut self, timeout: u64) -> Option<u64> {
        self.requests += 1;
        let index = self.track(timeout);
        self.tracked[index].count += 1;
        let is_usual = self.is_usual(&self.tracked[index]);
        let longest_usual = self.longest_usual().filter(|_| !is_usual);
        if self.requests >= COUNT_MAX {
            self.halve_counts();
        }
        longest_usual
    }

    /// The index in `tracked` for this timeout, which is added if necessary.
    fn track(&mut self, timeout: u64) -> usize {
        let tolerance = self.give_up / TOLERANCE_DIVISOR;
        let same = |tracked: &TrackedTimeout| tracked.timeout.abs_diff(timeout) <= tolerance;
        if let Some(index) = self.tracked.iter().position(same) {
            return index;
        }
        if self.tracked.len() < TRACKED_MAX {
            self.tracked.push(TrackedTimeout { timeout, count: 0 });
            return self.tracked.len() - 1;
        }
        // Space-saving algorithm: the new timeout replaces the rarest one and inherits its count as an upper bound.
        let rarest = (0..TRACKED_MAX).min_by_key(|index| self.tracked[*index].count).unwrap_or(0);
        self.tracked[rarest].timeout = timeout;
        rarest
    }

    fn is_usual(&self, tracked: &TrackedTimeout) -> bool {
        tracked.count.saturating_mul(USUAL_MIN_DIVISOR) >= self.requests
    }

    /// The longest usual timeout, if enough requests were recorded and enough of them carried a usual one.
    fn longest_usual(&self) -> Option<u64> {
        let usual = || self.tracked.iter().filter(|tracked| self.is_usual(tracked));
        let together: u32 = usual().map(|tracked| tracked.count).sum();
        let is_known = self.requests >= REQUESTS_MIN
            && together.saturating_mul(USUAL_TOTAL_MIN_DIVISOR) >= self.requests;
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
