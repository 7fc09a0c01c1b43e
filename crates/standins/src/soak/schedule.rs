//! Schedule of faults, which may overlap. It must depend only on the seed and the size of the soak.

use std::fmt;
use std::time::Duration;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A proxy is killed and restarted later.
    Kill {
        /// Index of the proxy.
        process: usize,
        /// Time from the kill to the next start.
        downtime: Duration,
    },
    /// A proxy receives SIGTERM and is restarted once it has exited.
    Terminate {
        /// Index of the proxy.
        process: usize,
    },
    /// A proxy is suspended.
    Suspend {
        /// Index of the proxy.
        process: usize,
        /// Duration of the suspension.
        length: Duration,
    },
    /// A member drains, and still serves proxies that send to it. Later it returns to service under the same name.
    Drain {
        /// Index of the member.
        member: usize,
        /// Time until the return to service.
        return_after: Duration,
        /// Whether the member leaves the list at once instead of draining.
        is_removed: bool,
    },
    /// A member accepts requests and sends no answers.
    Hang {
        /// Index of the member.
        member: usize,
        /// Duration without answers.
        length: Duration,
    },
    /// A member closes its connections, including those with attempts in flight.
    Reset {
        /// Index of the member.
        member: usize,
    },
    /// Discovery closes all calls and watches.
    DiscoveryDown {
        /// Duration of the outage.
        length: Duration,
    },
    /// Discovery rejects each call after 2 s. Open watches continue.
    DiscoveryOverloaded {
        /// Duration of the overload.
        length: Duration,
    },
    /// Discovery answers calls with a delay, for 5 s.
    DiscoverySlow {
        /// Delay of each answer.
        delay: Duration,
    },
    /// All open watches receive no more data and stay open; new watches are served.
    WatchesStalled,
    /// All open watches are closed.
    WatchesReset,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The faults of one soak in chronological order.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed of the schedule.
    pub seed: u64,
    /// Start of each fault, from the start of the soak, and the fault.
    pub faults: Vec<(Duration, Fault)>,
}

/// The size of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// Number of proxies.
    pub processes: usize,
    /// Number of members.
    pub members: usize,
    /// Maximum time from the start of the soak to its last fault.
    pub length: Duration,
}

/// Mean time between two faults, in milliseconds, for twelve proxies.
const MEAN_GAP_MS: u64 = 500;

impl Schedule {
    /// Draws a schedule. The same seed and size always give the same schedule.
    pub fn draw(seed: u64, size: SoakSize) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut faults = Vec::new();
        // All proxies start and receive their first list before the first fault.
        let mut at = Duration::from_millis(2_500);
        let gap = (MEAN_GAP_MS * 12 / size.processes.max(1) as u64).clamp(100, 1_000);
        while at < size.length {
            faults.push((at, Schedule::draw_fault(&mut rng, size)));
            at += Duration::from_millis(rng.u64(0..2 * gap));
            // Simulates a release: about 70% of the proxies are restarted at once, while members change.
            if rng.u32(0..40) == 0 {
                let downtime = Duration::from_millis(rng.u64(200..6_000));
                for process in (0..size.processes).filter(|_| rng.u32(0..10) < 7) {
                    faults.push((at, Fault::Kill { process, downtime }));
                }
                for _ in 0..size.members / 3 {
                    let return_after = Duration::from_millis(rng.u64(2_000..8_000));
                    let fault = Fault::Drain {
                        member: rng.usize(0..size.members),
                        return_after,
                        is_removed: rng.bool(),
                    };
                    faults.push((at + Duration::from_millis(rng.u64(0..3_000)), fault));
                }
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        Schedule { seed, faults }
    }

    fn draw_fault(rng: &mut fastrand::Rng, size: SoakSize) -> Fault {
        let process = rng.usize(0..size.processes);
        let member = rng.usize(0..size.members);
        let short = draw_duration(rng, 300, 4_000);
        let long = draw_duration(rng, 1_000, 10_000);
        match rng.u32(0..24) {
            0..=3 => Fault::Kill { process, downtime: draw_duration(rng, 200, 9_000) },
            4..=5 => Fault::Terminate { process },
            6..=8 => Fault::Suspend { process, length: short },
            9..=13 => Fault::Drain { member, return_after: long, is_removed: rng.bool() },
            14..=15 => Fault::Hang { member, length: short },
            16..=17 => Fault::Reset { member },
            18 => Fault::DiscoveryDown { length: long },
            19 => Fault::DiscoveryOverloaded { length: short },
            20 => Fault::DiscoverySlow { delay: Duration::from_millis(rng.u64(100..1_500)) },
            21..=22 => Fault::WatchesStalled,
            _ => Fault::WatchesReset,
        }
    }
}

fn draw_duration(rng: &mut fastrand::Rng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(rng.u64(from_ms..to_ms))
}
