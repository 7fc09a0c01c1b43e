//! An exhaustive search of a small fleet: every order of events for two proxies and a few requests.

use crate::fixtures::{declare, request_command};
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::lease_holder::LeaseHolder;
use linenhill_decisions::quota::table::QuotaTable;
use linenhill_decisions::quota::{Budget, Grant, QuotaRequest};
use std::collections::BTreeSet;

const TERMS: LeaseTerms = LeaseTerms { lease_us: 3, membership_us: 5, drift_ppm: 333_334 };
/// What a slow and a fast clock show in a tick, which takes three units of true time.
const CLOCK_RATES: [u64; 2] = [2, 4];
const MAX_TICKS: usize = 3;
const MAX_ELECTIONS: usize = 1;

/// One state: two proxies, one granter that may be replaced, and every message that was ever sent. Each message may be
/// delivered at any time and any number of times.
#[derive(Clone)]
struct SearchState {
    table: QuotaTable,
    holders: [LeaseHolder; 2],
    clocks: [u64; 2],
    /// What the leader's clock showed since it last counted.
    uncounted: u64,
    /// Requests that were sent, with the index of the holder.
    requests: Vec<(usize, QuotaRequest)>,
    /// Grants that were sent, with the index of the holder.
    grants: Vec<(usize, Grant)>,
    request_count: usize,
    max_requests: usize,
    ticks: usize,
    elections: usize,
    /// What each clock shows in a tick: the holders' and the leader's.
    clock_rates: [u64; 3],
}

impl SearchState {
    /// Identifies the state; the order of messages makes no difference.
    fn key(&self) -> Vec<u8> {
        let mut requests: Vec<String> = self.requests.iter().map(|sent| format!("{sent:?}")).collect();
        let mut grants: Vec<String> = self.grants.iter().map(|sent| format!("{sent:?}")).collect();
        requests.sort();
        grants.sort();
        let machines = format!("{:?}{:?}{:?}", self.table, self.holders, self.clock_rates);
        let messages = format!("{requests:?}{grants:?}");
        let counts = [self.uncounted, self.request_count as u64, self.ticks as u64, self.elections as u64];
        format!("{machines}{messages}{counts:?}").into_bytes()
    }

    /// Every state that one event leads to.
    fn successors(&self) -> Vec<SearchState> {
        let mut next = Vec::new();
        if self.ticks < MAX_TICKS {
            next.push(self.after_tick());
        }
        if self.request_count < self.max_requests {
            next.extend((0..2).map(|holder| self.after_request_of(holder)));
        }
        next.extend((0..self.requests.len()).filter_map(|index| self.after_delivery_of_request(index)));
        next.extend((0..self.grants.len()).filter_map(|index| self.after_delivery_of_grant(index)));
        if self.elections < MAX_ELECTIONS {
            next.push(self.after_election());
        }
        next
    }

    fn after_tick(&self) -> SearchState {
        let mut next = self.clone();
        next.ticks += 1;
        (0..2).for_each(|holder| next.clocks[holder] += next.clock_rates[holder]);
        next.uncounted += next.clock_rates[2];
        next
    }

    fn after_request_of(&self, holder: usize) -> SearchState {
        let mut next = self.clone();
        next.request_count += 1;
        let now = next.clocks[holder];
        next.holders[holder].acquire(now, "b");
        let request = next.holders[holder].next_request(now);
        next.requests.push((holder, request));
        next
    }

    fn after_delivery_of_request(&self, index: usize) -> Option<SearchState> {
        let mut next = self.clone();
        let (holder, request) = next.requests[index].clone();
        let command = request_command(&format!("p{holder}"), 1 + holder as u64, request);
        let elapsed = std::mem::take(&mut next.uncounted);
        let replies = next.table.apply(elapsed, vec![command]);
        let grants: Vec<Grant> = replies.into_iter().filter_map(|reply| reply.result.ok()).collect();
        // A request that is delivered again is rejected, and changes nothing but log time.
        let is_new_state = !grants.is_empty() || (elapsed > 0 && next.elections == 0);
        next.grants.extend(grants.into_iter().map(|grant| (holder, grant)));
        is_new_state.then_some(next)
    }

    fn after_delivery_of_grant(&self, index: usize) -> Option<SearchState> {
        let mut next = self.clone();
        let (holder, grant) = next.grants[index].clone();
        let now = next.clocks[holder];
        next.holders[holder].apply_grant(now, grant).then_some(next)
    }

    /// Another leader: what this one had not counted is lost.
    fn after_election(&self) -> SearchState {
        let mut next = self.clone();
        next.elections += 1;
        next.uncounted = 0;
        next
    }

    /// Units that both holders may use now.
    fn possible_use(&self) -> u64 {
        (0..2).map(|holder| self.holders[holder].limit(self.clocks[holder], "b").unwrap_or(0)).sum()
    }
}

/// What a search found.
struct Found {
    states: usize,
    /// The most units that both holders may use in any state.
    most_used: u64,
}

/// Visits every state that can be reached with a budget of `total` units.
fn search(total: u64) -> Found {
    let mut first = SearchState {
        table: QuotaTable::default(),
        holders: [LeaseHolder::new(TERMS.lease_us), LeaseHolder::new(TERMS.lease_us)],
        clocks: [100, 200],
        uncounted: 0,
        requests: vec![],
        grants: vec![],
        request_count: 0,
        // The long proof has three, over some millions of states.
        max_requests: if std::env::var_os("LINENHILL_LONG").is_some() { 3 } else { 2 },
        ticks: 0,
        elections: 0,
        clock_rates: [0; 3],
    };
    let budget = Budget { total, floor: 0, burst: 0, outlives_us: 0, per_key: false };
    first.table.apply(0, vec![declare(TERMS, [("b".to_string(), budget)].into())]);
    first.holders.iter_mut().for_each(|holder| holder.enforce("b", false));
    // The holders' clocks at both edges, before a leader's that is fast: the edge that ends things too early.
    let rates = (0..4).map(|n: usize| [CLOCK_RATES[n & 1], CLOCK_RATES[n >> 1], CLOCK_RATES[1]]);
    let mut open: Vec<SearchState> =
        rates.map(|clock_rates| SearchState { clock_rates, ..first.clone() }).collect();
    let mut visited = BTreeSet::new();
    let mut most_used = 0;
    while let Some(state) = open.pop() {
        most_used = most_used.max(state.possible_use());
        for next in state.successors() {
            if visited.insert(hash(&next.key())) {
                open.push(next);
            }
        }
    }
    Found { states: visited.len(), most_used }
}

/// FNV-1a over 128 bits. A collision would only leave a state unvisited.
fn hash(bytes: &[u8]) -> u128 {
    bytes.iter().fold(0x6c62272e07bb014262b821756295c58d, |h, b| {
        (h ^ u128::from(*b)).wrapping_mul(0x0000000001000000000000000000013B)
    })
}

/// "At no moment may the proxies together use more than the whole": every order of requests, grants, losses, duplicates,
/// delays, elections, and of clocks at either edge of the bound, for two proxies, two or three requests and three ticks.
#[test]
fn no_order_of_events_exceeds_the_total() {
    let Found { states, most_used } = search(1);
    println!("{states} states, at most {most_used} of 1 in use");
    assert_eq!(most_used, 1, "reached, and never exceeded, in {states} states");
    assert!(states > 10_000, "{states}");
}

/// Guards against a search that cannot fail.
#[cfg(feature = "fault-injection")]
#[test]
fn search_finds_injected_faults() {
    use linenhill_decisions::fault_injection::{Fault, inject};
    for fault in [Fault::NoDriftMargin, Fault::LeaseFromReceipt] {
        inject(Some(fault));
        let Found { states, most_used } = search(1);
        inject(None);
        assert!(most_used > 1, "{fault:?} was not found in {states} states");
    }
}
