//! What goes wrong, and when: a schedule that is drawn from one seed, and must depend on nothing else. Faults overlap.

use std::fmt;
use std::time::Duration;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A proxy is killed, and started again later.
    Kill {
        /// Which.
        process: usize,
        /// From its end to its next start.
        down: Duration,
    },
    /// A proxy gets SIGTERM, and is started again once it has ended.
    Terminate {
        /// Which.
        process: usize,
    },
    /// A proxy is suspended.
    Suspend {
        /// Which.
        process: usize,
        /// For how long.
        length: Duration,
    },
    /// A member drains, and serves proxies that still send. Later it is back under its name.
    Drain {
        /// Which.
        member: usize,
        /// From the drain until it is back.
        back: Duration,
        /// Whether it leaves the list at once instead of draining.
        is_removed: bool,
    },
    /// A member accepts requests and answers nothing.
    Hang {
        /// Which.
        member: usize,
        /// For how long.
        length: Duration,
    },
    /// A member closes its connections, with what is in flight on them.
    Reset {
        /// Which.
        member: usize,
    },
    /// Discovery closes calls, and ends its watches.
    DiscoveryDown {
        /// For how long.
        length: Duration,
    },
    /// Discovery lets each call wait for 2 s and rejects it then. Watches go on.
    DiscoveryCrowded {
        /// For how long.
        length: Duration,
    },
    /// Discovery answers calls late, for 5 s.
    DiscoverySlow {
        /// By how much.
        delay: Duration,
    },
    /// All open watches fall silent for good; new ones are served.
    WatchesSilent,
    /// All open watches are reset.
    WatchesReset,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The faults of one run, in the order of their time.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// When each begins, from the start of the run, and what it is.
    pub faults: Vec<(Duration, Fault)>,
}

/// The size of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// Number of proxies.
    pub processes: usize,
    /// Number of members.
    pub members: usize,
    /// From the start until the last fault begins, at most.
    pub length: Duration,
}

/// The mean time between two faults, for a dozen proxies.
const MEAN_GAP_MS: u64 = 500;

impl Schedule {
    /// Draws a schedule. The same seed and size give the same schedule.
    pub fn draw(seed: u64, size: SoakSize) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut faults = Vec::new();
        // All proxies start and get their list before the first fault.
        let mut at = Duration::from_millis(2_500);
        let gap = (MEAN_GAP_MS * 12 / size.processes.max(1) as u64).clamp(100, 1_000);
        while at < size.length {
            faults.push((at, Schedule::draw_fault(&mut rng, size)));
            at += Duration::from_millis(rng.u64(0..2 * gap));
            // A release: most proxies are replaced at once, and members change meanwhile.
            if rng.u32(0..40) == 0 {
                let down = Duration::from_millis(rng.u64(200..6_000));
                for process in (0..size.processes).filter(|_| rng.u32(0..10) < 7) {
                    faults.push((at, Fault::Kill { process, down }));
                }
                for _ in 0..size.members / 3 {
                    let back = Duration::from_millis(rng.u64(2_000..8_000));
                    let fault =
                        Fault::Drain { member: rng.usize(0..size.members), back, is_removed: rng.bool() };
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
            0..=3 => Fault::Kill { process, down: draw_duration(rng, 200, 9_000) },
            4..=5 => Fault::Terminate { process },
            6..=8 => Fault::Suspend { process, length: short },
            9..=13 => Fault::Drain { member, back: long, is_removed: rng.bool() },
            14..=15 => Fault::Hang { member, length: short },
            16..=17 => Fault::Reset { member },
            18 => Fault::DiscoveryDown { length: long },
            19 => Fault::DiscoveryCrowded { length: short },
            20 => Fault::DiscoverySlow { delay: Duration::from_millis(rng.u64(100..1_500)) },
            21..=22 => Fault::WatchesSilent,
            _ => Fault::WatchesReset,
        }
    }
}

fn draw_duration(rng: &mut fastrand::Rng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(rng.u64(from_ms..to_ms))
}
