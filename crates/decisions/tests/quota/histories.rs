//! Seeded histories over a network that loses, duplicates, delays and reorders messages, with clocks at the limits of
//! the drift bound.

use crate::fixtures::{MS, OUTLIVES_US, TERMS, declare, links_and_probes, request_command};
use linenhill_decisions::fault_injection::Fault;
use linenhill_decisions::membership::SessionRejected;
use linenhill_decisions::quota::expiry::LeaseExpiry;
use linenhill_decisions::quota::lease_holder::{AcquireDecision, LeaseHolder};
use linenhill_decisions::quota::table::{QuotaCommand, QuotaReply, QuotaTable};
use linenhill_decisions::quota::{Grant, QuotaRequest};

/// Clock rates at both limits of the drift bound and without drift, in millionths of true time.
const CLOCK_RATES: [u64; 3] = [950_000, 1_000_000, 1_050_000];
/// The burst of `probes`, in billionths of a unit, as the observer counts.
const OBSERVED_BURST: u128 = 8_000_000_000;
/// The rate of `probes`, in billionths of a unit a microsecond.
const OBSERVED_RATE: u128 = 40_000;
/// One unit, in billionths.
const OBSERVED_UNIT: u128 = 1_000_000_000;
/// The token count of an observer that has seen more units spent than were available.
const OVERSPENT: u128 = u128::MAX;

#[derive(Clone, Copy)]
struct Clock {
    /// The reading at true time 0, in microseconds.
    offset: u64,
    /// Clock time per true time, in millionths.
    rate: u64,
}

impl Clock {
    fn reading(&self, true_time: u64) -> u64 {
        self.offset + (u128::from(true_time) * u128::from(self.rate) / 1_000_000) as u64
    }

    /// The true time of a reading.
    fn true_time(&self, reading: u64) -> u64 {
        (u128::from(reading.saturating_sub(self.offset)) * 1_000_000).div_ceil(u128::from(self.rate)) as u64
    }
}

struct Process {
    name: String,
    incarnation: u64,
    holder: LeaseHolder,
    clock: Clock,
    is_running: bool,
    is_suspended: bool,
    /// Units in use, each with the true time at which it ends after a crash; `u64::MAX` while the process runs.
    units: Vec<u64>,
    wanted_units: u64,
}

impl Process {
    fn units_in_use(&self) -> u64 {
        self.units.len() as u64
    }

    fn acquire_one(&mut self, now: u64) {
        if self.holder.acquire(now, "links") == AcquireDecision::Acquired {
            self.units.push(u64::MAX);
        }
    }

    fn release_one(&mut self) {
        self.units.pop();
        self.holder.release("links");
    }

    /// The most units that can still be in use at `true_time`: units beyond a limit end within [`OUTLIVES_US`] after
    /// the lease under which they were acquired.
    fn max_units_at(&self, true_time: u64) -> u64 {
        let LeaseExpiry { quotas, floors } = self.holder.expiry();
        let floor = self.holder.limit(quotas, "links").unwrap_or(0);
        if true_time >= self.clock.true_time(floors).saturating_add(OUTLIVES_US) {
            0
        } else if true_time >= self.clock.true_time(quotas).saturating_add(OUTLIVES_US) {
            floor
        } else {
            u64::MAX
        }
    }
}

#[derive(Clone)]
enum Message {
    Request { name: String, incarnation: u64, request: QuotaRequest },
    Answer { incarnation: u64, result: Result<Grant, SessionRejected> },
}

struct Leader {
    clock_rate: u64,
    /// The true time up to which its elapsed clock time is committed.
    counted_to: u64,
}

/// The tokens of `probes`, counted independently of the code under test.
struct ObservedRate {
    /// Tokens left, in billionths of a unit; [`OVERSPENT`] once more was spent than was available.
    tokens: u128,
    counted_to: u64,
    spent: u64,
}

impl ObservedRate {
    fn observe(&mut self, decision: AcquireDecision) {
        if decision != AcquireDecision::Acquired {
            return;
        }
        self.spent += 1;
        self.tokens = self.tokens.checked_sub(OBSERVED_UNIT).unwrap_or(OVERSPENT);
    }

    fn refill(&mut self, true_time: u64) {
        if self.tokens == OVERSPENT {
            return;
        }
        let gained = u128::from(true_time - self.counted_to) * OBSERVED_RATE;
        self.tokens = (self.tokens + gained).min(OBSERVED_BURST);
        self.counted_to = true_time;
    }
}

/// A fleet with faults of its processes, network, leader and clocks.
struct FaultyFleet {
    rng: fastrand::Rng,
    true_time: u64,
    table: QuotaTable,
    leader: Option<Leader>,
    processes: Vec<Process>,
    network: Vec<Message>,
    total: u64,
    probes: ObservedRate,
    /// The most units in use at once so far.
    peak_use: u64,
}

impl FaultyFleet {
    fn new(seed: u64, total: u64, floor: u64) -> FaultyFleet {
        let mut fleet = FaultyFleet {
            rng: fastrand::Rng::with_seed(seed),
            true_time: 0,
            table: QuotaTable::default(),
            leader: None,
            processes: Vec::new(),
            network: Vec::new(),
            total,
            probes: ObservedRate { tokens: OBSERVED_BURST, counted_to: 0, spent: 0 },
            peak_use: 0,
        };
        fleet.elect_leader();
        fleet.commit(vec![declare(TERMS, links_and_probes(total, floor))]);
        (0..3).for_each(|n| fleet.start_process(&format!("p{n}")));
        fleet
    }

    fn draw_clock_rate(&mut self) -> u64 {
        CLOCK_RATES[self.rng.usize(0..CLOCK_RATES.len())]
    }

    /// Elects a new leader. Time that the previous leader counted but did not commit is lost.
    fn elect_leader(&mut self) {
        let clock_rate = self.draw_clock_rate();
        self.leader = Some(Leader { clock_rate, counted_to: self.true_time });
    }

    fn start_process(&mut self, name: &str) {
        let offset = self.rng.u64(0..1 << 40);
        let rate = self.draw_clock_rate();
        self.processes.push(Process {
            name: name.to_string(),
            incarnation: self.rng.u64(1..),
            holder: LeaseHolder::new(TERMS.lease_us),
            clock: Clock { offset, rate },
            is_running: true,
            is_suspended: false,
            units: Vec::new(),
            wanted_units: self.rng.u64(0..12),
        });
    }

    fn commit(&mut self, commands: Vec<QuotaCommand>) {
        let Some(leader) = &mut self.leader else { return };
        let true_elapsed = u128::from(self.true_time - leader.counted_to);
        let elapsed = (true_elapsed * u128::from(leader.clock_rate) / 1_000_000) as u64;
        leader.counted_to = self.true_time;
        for QuotaReply { incarnation, result, .. } in self.table.apply(elapsed, commands) {
            self.network.push(Message::Answer { incarnation, result });
        }
    }

    /// Delivers a random message; one in six stays in the network and can be delivered again.
    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.rng.usize(0..self.network.len());
        let is_duplicated = self.rng.u8(0..6) == 0;
        let message =
            if is_duplicated { self.network[index].clone() } else { self.network.swap_remove(index) };
        match message {
            Message::Request { name, incarnation, request } => {
                self.commit(vec![request_command(&name, incarnation, request)]);
            }
            Message::Answer { incarnation, result } => self.deliver_answer(incarnation, result),
        }
    }

    fn deliver_answer(&mut self, incarnation: u64, result: Result<Grant, SessionRejected>) {
        let next_incarnation = self.rng.u64(1..u64::MAX);
        let is_receiver = |p: &&mut Process| p.incarnation == incarnation && p.is_running && !p.is_suspended;
        let Some(process) = self.processes.iter_mut().find(is_receiver) else { return };
        let now = process.clock.reading(self.true_time);
        match result {
            Ok(grant) => _ = process.holder.apply_grant(now, grant),
            Err(SessionRejected::Superseded) => {
                process.incarnation = next_incarnation;
                process.holder.handle_superseded(now);
            }
            Err(_) => {}
        }
    }

    /// Runs one step of a random process, as its driver would.
    fn step_process(&mut self) {
        let index = self.rng.usize(0..self.processes.len());
        let action = self.rng.u8(0..8);
        let process = &mut self.processes[index];
        if !process.is_running || process.is_suspended {
            return;
        }
        let now = process.clock.reading(self.true_time);
        let in_use = process.units_in_use();
        let wanted = process.wanted_units;
        match action {
            0 => process.wanted_units = self.rng.u64(0..12),
            1 | 2 if in_use <= wanted => {
                process.acquire_one(now);
            }
            1..=4 if in_use > wanted || process.holder.excess(now, "links") > 0 => process.release_one(),
            5 => {
                let decision = process.holder.spend_token(now, "probes");
                self.probes.observe(decision);
            }
            _ if process.holder.next_request_at() <= now => {
                let (name, incarnation) = (process.name.clone(), process.incarnation);
                let request = process.holder.next_request(now);
                self.network.push(Message::Request { name, incarnation, request });
            }
            _ => {}
        }
    }

    /// Advances true time, and ends the units whose time is over.
    fn advance_time(&mut self) {
        let longest = [1, 20, 150, 700][self.rng.usize(0..4)] * MS;
        self.true_time += self.rng.u64(1..=longest);
        let true_time = self.true_time;
        for process in &mut self.processes {
            let left = process.max_units_at(true_time);
            while process.units_in_use() > left {
                process.release_one();
            }
            if !process.is_running {
                process.units.retain(|ends_at| true_time < *ends_at);
            }
        }
        self.probes.refill(true_time);
    }

    /// Applies a random fault, or ends one.
    fn apply_fault(&mut self) {
        let index = self.rng.usize(0..self.processes.len());
        match self.rng.u8(0..12) {
            0 => self.leader = None,
            1..=3 if self.leader.is_none() => self.elect_leader(),
            4 => self.elect_leader(),
            5 => self.processes[index].is_suspended = true,
            6 | 7 => self.processes[index].is_suspended = false,
            8 if self.processes[index].is_running => self.restart(index),
            9 if self.processes.iter().filter(|p| p.is_running).count() < 6 => {
                // A running process may have the same name.
                let name = format!("p{}", self.rng.u8(0..5));
                self.start_process(&name);
            }
            10 if !self.network.is_empty() => {
                let lost = self.rng.usize(0..self.network.len());
                self.network.swap_remove(lost);
            }
            11 => {
                let snapshot = prost::Message::encode_to_vec(&self.table);
                self.table = prost::Message::decode(&snapshot[..]).expect("a table");
            }
            _ => {}
        }
    }

    /// Ends a process and starts another one under its name.
    fn restart(&mut self, index: usize) {
        let true_time = self.true_time;
        let process = &mut self.processes[index];
        process.is_running = false;
        process.units.iter_mut().for_each(|ends_at| *ends_at = true_time + OUTLIVES_US);
        let name = process.name.clone();
        self.start_process(&name);
    }

    /// Checks the units in use, those that may be acquired next, and the observed tokens against the budgets.
    fn check(&mut self) -> Result<(), String> {
        let true_time = self.true_time;
        let possible_use = |process: &Process| {
            let in_use = process.units_in_use();
            let limit = process.holder.limit(process.clock.reading(true_time), "links").unwrap_or(0);
            if process.is_running { in_use.max(limit) } else { in_use }
        };
        let possible: u64 = self.processes.iter().map(possible_use).sum();
        let in_use: u64 = self.processes.iter().map(Process::units_in_use).sum();
        self.peak_use = self.peak_use.max(in_use);
        if possible > self.total {
            return Err(format!("links: {possible} of {} units may be in use at {true_time} us", self.total));
        }
        if self.probes.tokens == OVERSPENT {
            return Err(format!(
                "probes: more units spent than the rate and its burst allow at {true_time} us"
            ));
        }
        Ok(())
    }

    fn run(&mut self, steps: usize) -> Result<(), String> {
        for _ in 0..steps {
            match self.rng.u8(0..20) {
                0 => self.apply_fault(),
                1..=3 => self.advance_time(),
                4..=9 => self.deliver(),
                _ => self.step_process(),
            }
            self.check()?;
        }
        Ok(())
    }
}

/// Totals over all histories, which show that the budgets were used.
struct HistoryTotals {
    /// The most units in use at once, in percent of the total.
    peak_percent: u64,
    /// Units of `probes` spent.
    spent: u64,
}

fn run_histories(seeds: std::ops::Range<u64>, steps: usize) -> Result<HistoryTotals, String> {
    let mut totals = HistoryTotals { peak_percent: 0, spent: 0 };
    for seed in seeds {
        let (total, floor) = [(10, 0), (10, 1), (24, 3), (2, 1), (1, 0)][(seed % 5) as usize];
        let mut fleet = FaultyFleet::new(seed, total, floor);
        fleet.run(steps).map_err(|e| format!("seed {seed}: {e}"))?;
        totals.peak_percent = totals.peak_percent.max(fleet.peak_use * 100 / total);
        totals.spent += fleet.probes.spent;
    }
    Ok(totals)
}

/// Guards against units in use beyond the total when messages are lost, duplicated or late, processes are suspended,
/// killed or superseded, and leaders are replaced; and against histories that never use up a budget.
#[test]
fn sum_never_exceeds_total() {
    let HistoryTotals { peak_percent, spent } =
        run_histories(0..400, 1_500).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(peak_percent, 100, "at least one history uses up a budget");
    assert!(spent > 1_000, "{spent} units of probes were spent");
}

/// Guards against a checker that cannot fail: it must detect each injected fault.
#[cfg(feature = "fault-injection")]
#[test]
fn every_injected_fault_is_found() {
    use linenhill_decisions::fault_injection::inject;
    for (fault, name) in Fault::QUOTA {
        inject(Some(fault));
        let found = run_histories(0..400, 1_500);
        inject(None);
        assert!(found.is_err(), "the injected fault {name} was not detected");
    }
    assert!(run_histories(0..20, 500).is_ok());
}

/// Guards against a fault without the name by which tests of whole processes select it.
#[test]
fn faults_have_names() {
    assert!(Fault::QUOTA.iter().all(|(_, name)| !name.is_empty()));
}
