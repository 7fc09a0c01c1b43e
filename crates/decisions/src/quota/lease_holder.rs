//! A proxy's half: what it may use now, checked at the moment of use, and what it asks for. Pure; all times are
//! microseconds on one clock of the caller's that never stands still, not even while the machine sleeps.
//!
//! Nothing here rests on a message or a timer: a share ends by the clock, so that a process that was stopped finds its
//! lease over when it goes on, before it uses anything.

use super::{Grant, Quota, QuotaNeed, QuotaRequest};
use crate::fault_injection::{Fault, is_injected};
use std::collections::BTreeMap;

/// Requests whose answers may still come.
const ASKED_MOST: usize = 16;
/// A lease is renewed after this part of it: two answers may be lost.
const RENEW_PART: u64 = 3;
/// Whoever lacks something, or gave something up, says so after this at the earliest, in microseconds.
const EAGER: u64 = 100_000;
/// What was needed at most counts as needed for so many requests more.
const PEAKS: usize = 3;
/// Units that are refused count as wanted up to what is in use and so many more.
const REFUSED_MOST: u64 = 8;

/// One budget here.
#[derive(Clone, Debug, Default)]
struct LocalBudget {
    share: Quota,
    in_use: u64,
    /// The most that was in use or wanted since the last request, and at the requests before.
    peak: u64,
    peaks: [u64; PEAKS],
    /// A rate's tokens, in thousandths of a unit, and when they were counted.
    level: u64,
    filled: u64,
    /// Thousandths of a thousandth that were not whole yet.
    rest: u64,
    /// Something was wanted that there was no room for, since the last request, and how often.
    short: bool,
    refused: u64,
    /// It binds here no more, once nothing of it is in use.
    unbound: bool,
}

/// What one incarnation of a proxy holds.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    seq: u64,
    acked: u64,
    /// When each request was sent whose answer may still come.
    asked: BTreeMap<u64, u64>,
    last_asked: Option<u64>,
    /// Until when the grant gone by holds: shares, and floors.
    until: u64,
    floor_until: u64,
    lease: u64,
    drift_ppm: u64,
    lines: BTreeMap<String, LocalBudget>,
    /// A grant took something away that the granters should soon know of.
    gave_up: bool,
    /// Another process has its name: it waits until that one is silent.
    gives_way: bool,
}

/// When a grant ends, in microseconds on the holder's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseExpiry {
    /// The quotas end.
    pub quotas: u64,
    /// The floors end, and with them the membership.
    pub floors: u64,
}

/// Whether something may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireDecision {
    /// It may, and counts from now on.
    Acquired,
    /// There is no room in this proxy's share.
    Exhausted,
    /// No such budget was declared: nothing binds here.
    Unlimited,
}

impl LeaseHolder {
    /// It holds nothing. `lease` is a first guess, for when to ask again.
    pub fn new(lease: u64) -> LeaseHolder {
        LeaseHolder {
            seq: 0,
            acked: 0,
            asked: BTreeMap::new(),
            last_asked: None,
            until: 0,
            floor_until: 0,
            lease,
            drift_ppm: 0,
            lines: BTreeMap::new(),
            gave_up: false,
            gives_way: false,
        }
    }

    /// Says that a budget binds here, granted or not: until it is granted there is nothing of it.
    pub fn enforce(&mut self, budget: &str, rate: bool) {
        let line = self.lines.entry(budget.to_string()).or_default();
        (line.share.is_rate, line.unbound) = (rate, false);
    }

    /// Forgets a budget as soon as nothing of it is in use.
    pub fn stop_enforcing(&mut self, budget: &str) {
        self.lines.entry(budget.to_string()).and_modify(|l| l.unbound = true);
        self.forget(budget);
    }

    fn forget(&mut self, budget: &str) {
        if self.lines.get(budget).is_some_and(|l| l.unbound && l.in_use == 0) {
            self.lines.remove(budget);
        }
    }

    /// When the next request is due.
    pub fn next_request_at(&self) -> u64 {
        let Some(last) = self.last_asked else { return 0 };
        if self.gives_way && self.acked == 0 {
            return last.saturating_add(self.lease);
        }
        let eager = self.gave_up || self.lines.values().any(|l| l.short);
        last.saturating_add(if eager { EAGER.min(self.lease / RENEW_PART) } else { self.lease / RENEW_PART })
    }

    /// The next request is due at once: what was asked before went where nobody answers.
    pub fn request_at_once(&mut self) {
        if let Some(last) = self.last_asked.as_mut().filter(|_| !self.gives_way || self.acked > 0) {
            *last = last.saturating_sub(self.lease);
        }
    }

    /// The next request, to be sent now. What it counts from is this moment, not that of the answer.
    pub fn next_request(&mut self, now: u64) -> QuotaRequest {
        self.seq += 1;
        self.asked.insert(self.seq, now);
        if self.asked.len() > ASKED_MOST {
            self.asked.pop_first();
        }
        let span = now.saturating_sub(self.last_asked.unwrap_or(now)).max(1_000);
        (self.last_asked, self.gave_up) = (Some(now), false);
        let mut needs = BTreeMap::new();
        for (name, line) in &mut self.lines {
            line.peaks.rotate_right(1);
            let per_second = u128::from(line.peak) * 1_000_000 / u128::from(span);
            line.peaks[0] =
                if line.share.is_rate { u64::try_from(per_second).unwrap_or(u64::MAX) } else { line.peak };
            let demand = line.peaks.iter().copied().max().unwrap_or(0);
            (line.peak, line.short, line.refused) = (line.in_use, false, 0);
            needs.insert(name.clone(), QuotaNeed { in_use: line.in_use, demand });
        }
        QuotaRequest { seq: self.seq, acked: self.acked, needs, yields_name: self.gives_way }
    }

    /// An answer came. Late, doubled and out of order ones change nothing; true if this one is gone by now.
    pub fn apply_grant(&mut self, now: u64, grant: Grant) -> bool {
        let Some(asked) = self.asked.get(&grant.seq).copied().filter(|_| grant.seq > self.acked) else {
            return false;
        };
        self.settle(now);
        self.acked = grant.seq;
        self.asked.retain(|seq, _| *seq > grant.seq);
        let asked = if is_injected(Fault::LeaseFromReceipt) { now } else { asked };
        self.until = asked.saturating_add(grant.lease_us);
        self.floor_until = asked.saturating_add(grant.membership_us);
        (self.lease, self.drift_ppm) = (grant.lease_us, grant.drift_ppm);
        for (name, line) in &mut self.lines {
            if !grant.quotas.contains_key(name) {
                // Declared no more: nothing of it is left here.
                self.gave_up |= line.share.units > 0;
                line.share = Quota { is_rate: line.share.is_rate, ..Quota::default() };
            }
        }
        for (name, share) in grant.quotas {
            // Of things that are gone here a late answer may still tell.
            if name.contains('/') && !self.lines.contains_key(&name) {
                continue;
            }
            let line = self
                .lines
                .entry(name)
                .or_insert_with(|| LocalBudget { filled: now, ..LocalBudget::default() });
            if share.is_rate != line.share.is_rate {
                (line.level, line.rest, line.filled) = (0, 0, now);
            }
            self.gave_up |= share.units < line.share.units;
            line.share = share;
        }
        // Tokens beyond a smaller bucket are lost; a larger one begins with what there was.
        self.settle(now);
        true
    }

    /// Another incarnation of this name holds the seat, or operators took this one off: it holds nothing any more, and asks
    /// on as a new incarnation that gives way to whoever has the seat. What is in use is still in use.
    pub fn handle_superseded(&mut self, now: u64) {
        self.settle(now);
        (self.until, self.floor_until, self.acked, self.gives_way) = (0, 0, 0, true);
        self.asked.clear();
        self.last_asked = Some(now);
        for line in self.lines.values_mut() {
            line.share = Quota { is_rate: line.share.is_rate, ..Quota::default() };
        }
        self.settle(now);
    }

    /// When the last applied grant ends.
    pub fn expiry(&self) -> LeaseExpiry {
        LeaseExpiry { quotas: self.until, floors: self.floor_until }
    }

    /// Whether the shares hold now; else there are floors at most.
    pub fn has_lease(&self, now: u64) -> bool {
        now < self.until
    }

    /// The units of a budget that may be in use now, or its rate now in thousandths a second; none where it doesn't bind.
    pub fn limit(&self, now: u64, budget: &str) -> Option<u64> {
        self.lines.get(budget).map(|line| self.bound(now, line).0)
    }

    /// Units of a held budget that are in use beyond what may be: idle ones are to be ended.
    pub fn excess(&self, now: u64, budget: &str) -> u64 {
        let over = |line: &LocalBudget| line.in_use.saturating_sub(self.bound(now, line).0);
        self.lines.get(budget).filter(|l| !l.share.is_rate).map_or(0, over)
    }

    /// Units and, for a rate, the size of its bucket.
    fn bound(&self, now: u64, line: &LocalBudget) -> (u64, u64) {
        if now < self.until {
            (line.share.units, line.share.burst)
        } else if now < self.floor_until {
            (line.share.floor, line.share.floor_burst)
        } else {
            (0, 0)
        }
    }

    /// Takes a unit of a held budget, to be used at once: `now` is read just before.
    pub fn acquire(&mut self, now: u64, budget: &str) -> AcquireDecision {
        let Some(limit) = self.limit(now, budget) else { return AcquireDecision::Unlimited };
        let Some(line) = self.lines.get_mut(budget) else { return AcquireDecision::Unlimited };
        if line.in_use < limit {
            line.in_use += 1;
            line.peak = line.peak.max(line.in_use);
            return AcquireDecision::Acquired;
        }
        // Whatever is refused is wanted; who asks again and again says no more than that it wants twice as much.
        line.refused = (line.refused + 1).min(line.in_use + REFUSED_MOST);
        line.peak = line.peak.max(line.in_use + line.refused);
        line.short = true;
        AcquireDecision::Exhausted
    }

    /// Says that so many units of a held budget could be used from now on, without taking any; it is asked for at once
    /// where there is no more than the floor.
    pub fn request_units(&mut self, budget: &str, units: u64) {
        if let Some(line) = self.lines.get_mut(budget) {
            line.peak = line.peak.max(units);
            line.short |= line.share.units <= line.share.floor;
        }
    }

    /// A unit of a held budget has ended.
    pub fn release(&mut self, budget: &str) {
        if let Some(line) = self.lines.get_mut(budget) {
            line.in_use = line.in_use.saturating_sub(1);
        }
        self.forget(budget);
    }

    /// Spends a unit of a rate, at once.
    pub fn spend_token(&mut self, now: u64, budget: &str) -> AcquireDecision {
        self.settle_one(now, budget);
        let Some(line) = self.lines.get_mut(budget) else { return AcquireDecision::Unlimited };
        line.peak = line.peak.saturating_add(1_000);
        if line.level >= 1_000 {
            line.level -= 1_000;
            return AcquireDecision::Acquired;
        }
        line.short = true;
        AcquireDecision::Exhausted
    }

    fn settle(&mut self, now: u64) {
        let names: Vec<String> =
            self.lines.iter().filter(|(_, l)| l.share.is_rate).map(|(n, _)| n.clone()).collect();
        names.iter().for_each(|name| self.settle_one(now, name));
    }

    /// Counts the tokens that came since they were last counted, each span by what held in it, and never more than the
    /// bucket that holds now bears.
    fn settle_one(&mut self, now: u64, budget: &str) {
        let (until, floor_until, drift) = (self.until, self.floor_until, self.drift_ppm);
        let Some(line) = self.lines.get_mut(budget).filter(|l| l.share.is_rate) else { return };
        let from = line.filled;
        line.filled = from.max(now);
        let span = |from: u64, to: u64| u128::from(to.min(now).saturating_sub(from));
        let shares = span(from, until);
        let floors = span(from.max(until), floor_until);
        // This clock may be fast: then its seconds are shorter than they should be.
        let milli_us = shares * u128::from(line.share.units) + floors * u128::from(line.share.floor);
        let all = milli_us * 1_000_000 / u128::from(1_000_000 + drift) + u128::from(line.rest);
        let came = u64::try_from(all / 1_000_000).unwrap_or(u64::MAX);
        line.rest = (all % 1_000_000) as u64;
        let bucket = if now < until {
            line.share.burst
        } else if now < floor_until {
            line.share.floor_burst
        } else {
            0
        };
        line.level = line.level.saturating_add(came).min(bucket);
        if line.level == bucket {
            line.rest = 0;
        }
    }

    /// What is in use of a budget.
    pub fn in_use(&self, budget: &str) -> u64 {
        self.lines.get(budget).map_or(0, |l| l.in_use)
    }

    /// The budgets that bind here.
    pub fn budgets(&self) -> impl Iterator<Item = &str> {
        self.lines.keys().map(String::as_str)
    }
}
