//! Estimates from the timeouts of requests how long a client has been retrying when a request arrives.
//!
//! Clients retry on their own. A request carries the time that its sender will wait, but not whether it is a first
//! attempt or a retry. The timeout of a client's last attempt is the remainder of its total timeout. If all first
//! attempts carry one of a few common timeouts, any other timeout is such a remainder, and the total timeout less the
//! remainder is the time since the client's first attempt. Under overload, the estimate prevents requests whose answers
//! would be too late from displacing useful work; without it, every rejected request returned as late work.
//!
//! The estimate is zero if no timeout is common, if the request's own timeout is common, or if the total timeout is
//! unknown. Timeouts shorter than the longest common one count as remainders only if longer ones occur as well: some
//! clients use a shorter timeout for first attempts too, but only a remainder can exceed the longest common timeout.

/// Timeouts that differ by at most the client's total timeout divided by this count as equal, since each arrives
/// shortened by the transit time of its request.
const TOLERANCE_DIVISOR: u64 = 100;
/// Bound on the distinct timeouts tracked per class.
const TRACKED_MAX: usize = 16;
/// The counts of a class are halved when its requests reach this value, and the two counts of uncommon timeouts over
/// all classes when either of them does, so that old requests lose weight.
const COUNT_MAX: u32 = 512;
/// A timeout is common if at least one request of the class in this many carries it.
const COMMON_MIN_DIVISOR: u32 = 20;
/// An estimate is made only if at least one request of the class in this many carries a common timeout.
const COMMON_TOTAL_MIN_DIVISOR: u32 = 2;
/// Share of the expected latency that the fastest answers take.
const FASTEST_LATENCY_SHARE: f64 = 0.7;
/// Timeouts shorter than the longest common one count as remainders only while they are fewer than this many times the
/// longer ones.
const LONGER_MIN_DIVISOR: u32 = 16;
/// Minimum number of requests of a class for an estimate.
const REQUESTS_MIN: u32 = 64;

/// The timeouts of all classes. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct ClientRetryEstimator {
    classes: Vec<ClassTimeouts>,
    /// Number of uncommon timeouts that were longer than the longest common one, over all classes.
    longer: u32,
    /// Number of uncommon timeouts that were shorter than the longest common one, over all classes.
    shorter: u32,
}

impl ClientRetryEstimator {
    /// An estimator without observations. `give_up` yields the total timeout of clients for each class, in
    /// microseconds; 0 if unknown.
    pub fn new(give_up: impl Iterator<Item = u64>) -> ClientRetryEstimator {
        ClientRetryEstimator { classes: give_up.map(ClassTimeouts::new).collect(), longer: 0, shorter: 0 }
    }

    /// Records a request with this timeout. Returns the remainder of the latency objective, which is counted from the
    /// client's first attempt; `None` if the request is a retry and even a fast answer would miss the objective. `work`
    /// is the expected latency in microseconds.
    pub fn objective_left(&mut self, class: usize, timeout: u64, objective: u64, work: f64) -> Option<u64> {
        let elapsed = self.elapsed(class, timeout);
        let fastest_latency = (work * FASTEST_LATENCY_SHARE) as u64;
        let too_late = elapsed > 0 && elapsed.saturating_add(fastest_latency) > objective;
        (!too_late).then(|| objective.saturating_sub(elapsed))
    }

    /// Records the timeout and returns the estimated time since the client's first attempt; 0 for a first attempt or
    /// without an estimate.
    fn elapsed(&mut self, class: usize, timeout: u64) -> u64 {
        let Some(timeouts) = self.classes.get_mut(class) else { return 0 };
        let Some(common) = timeouts.record(timeout) else { return 0 };
        let total_timeout = timeouts.give_up;
        let is_longer = timeout > common;
        self.count_uncommon(is_longer);
        let shorter_are_remainders = self.longer.saturating_mul(LONGER_MIN_DIVISOR) > self.shorter;
        if is_longer || shorter_are_remainders { total_timeout.saturating_sub(timeout) } else { 0 }
    }

    fn count_uncommon(&mut self, is_longer: bool) {
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
    /// Total timeout of a client over all its attempts; 0 if unknown.
    give_up: u64,
    tracked: Vec<TrackedTimeout>,
    requests: u32,
}

#[derive(Clone, Copy, Debug)]
struct TrackedTimeout {
    /// Timeout of the request that created or replaced this entry. Later timeouts within the tolerance only add to
    /// `count`: if each also updated this value, it could shift by up to the tolerance at a time, and the entry would
    /// count many different remainders as one common timeout.
    timeout: u64,
    count: u32,
}

impl ClassTimeouts {
    fn new(give_up: u64) -> ClassTimeouts {
        ClassTimeouts { give_up, tracked: Vec::new(), requests: 0 }
    }

    /// Records the timeout of a request. Returns the longest common timeout, or `None` if this timeout is common or
    /// [`Self::longest_common`] has none.
    fn record(&mut self, timeout: u64) -> Option<u64> {
        self.requests += 1;
        let index = self.track(timeout);
        self.tracked[index].count += 1;
        let is_common = self.is_common(&self.tracked[index]);
        let longest_common = self.longest_common().filter(|_| !is_common);
        if self.requests >= COUNT_MAX {
            self.halve_counts();
        }
        longest_common
    }

    /// The index in `tracked` for this timeout, which is added or replaces the rarest one if necessary.
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

    fn is_common(&self, tracked: &TrackedTimeout) -> bool {
        tracked.count.saturating_mul(COMMON_MIN_DIVISOR) >= self.requests
    }

    /// The longest common timeout; `None` with fewer than [`REQUESTS_MIN`] requests, or if fewer than one in
    /// [`COMMON_TOTAL_MIN_DIVISOR`] carried a common timeout.
    fn longest_common(&self) -> Option<u64> {
        let common = || self.tracked.iter().filter(|tracked| self.is_common(tracked));
        let together: u32 = common().map(|tracked| tracked.count).sum();
        let is_sufficient = self.requests >= REQUESTS_MIN
            && together.saturating_mul(COMMON_TOTAL_MIN_DIVISOR) >= self.requests;
        common().map(|tracked| tracked.timeout).max().filter(|_| is_sufficient)
    }

    fn halve_counts(&mut self) {
        self.requests /= 2;
        for tracked in &mut self.tracked {
            tracked.count /= 2;
        }
        self.tracked.retain(|tracked| tracked.count > 0);
    }
}
