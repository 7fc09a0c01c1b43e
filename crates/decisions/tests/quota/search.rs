//! An exhaustive search of a small fleet: every order of events for two proxies and two or three requests.

use crate::fixtures::{declare, request_command};
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::lease_holder::LeaseHolder;
use linenhill_decisions::quota::table::QuotaTable;
use linenhill_decisions::quota::{Budget, Grant, QuotaRequest};
use std::collections::BTreeSet;

const TERMS: LeaseTerms = LeaseTerms { lease_us: 3, membership_us: 5, drift_ppm: 333_334 };
/// How far a slow and a fast clock advance in one tick, which takes three units of true time.
const CLOCK_RATES: [u64; 2] = [2, 4];
const MAX_TICKS: usize = 3;
const MAX_ELECTIONS: usize = 1;

/// One state: two proxies, one granter that may be replaced, and all messages sent so far. Each message may be
/// delivered at any time and any number of times.
#[derive(Clone)]
struct SearchState {
    table: QuotaTable,
    holders: [LeaseHolder; 2],
    clocks: [u64; 2],
    /// Time on the leader's clock since its last entry in the log.
    uncounted: u64,
    /// All requests sent, with the index of the holder.
    requests: Vec<(usize, QuotaRequest)>,
    /// All grants sent, with the index of the holder.
    grants: Vec<(usize, Grant)>,
    request_count: usize,
    max_requests: usize,
    ticks: usize,
    elections: usize,
    /// How far each clock advances in a tick: those of the holders, then the leader's.
    clock_rates: [u64; 3],
}

impl SearchState {
    /// Identifies the state, regardless of the order in which messages were sent.
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

    /// All states that one event can lead to.
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
        // A repeated request is rejected and changes only log time.
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

    /// Elects another leader. Time that the current leader has not yet committed is lost.
    fn after_election(&self) -> SearchState {
        let mut next = self.clone();
        next.elections += 1;
        next.uncounted = 0;
        next
    }

    /// The sum of the units that the holders may use now.
    fn possible_use(&self) -> u64 {
        (0..2).map(|holder| self.holders[holder].limit(self.clocks[holder], "b").unwrap_or(0)).sum()
    }
}

/// The result of a search.
struct SearchResult {
    states: usize,
    /// The largest sum of units that the holders may use, over all states.
    max_possible_use: u64,
}

/// Visits all reachable states with a budget of `total` units.
fn search(total: u64) -> SearchResult {
    let mut first = SearchState {
        table: QuotaTable::default(),
        holders: [LeaseHolder::new(TERMS.lease_us), LeaseHolder::new(TERMS.lease_us)],
        clocks: [100, 200],
        uncounted: 0,
        requests: vec![],
        grants: vec![],
        request_count: 0,
        // Three requests take some millions of states, which only long runs search.
        max_requests: if std::env::var_os("LINENHILL_LONG").is_some() { 3 } else { 2 },
        ticks: 0,
        elections: 0,
        clock_rates: [0; 3],
    };
    let budget = Budget { total, floor: 0, burst: 0, outlives_us: 0, per_key: false };
    first.table.apply(0, vec![declare(TERMS, [("b".to_string(), budget)].into())]);
    first.holders.iter_mut().for_each(|holder| holder.enforce("b", false));
    // Each holder's clock at either limit of the drift bound, and a fast clock of the leader: with that the granter
    // expires grants earliest.
    let rates = (0..4).map(|n: usize| [CLOCK_RATES[n & 1], CLOCK_RATES[n >> 1], CLOCK_RATES[1]]);
    let mut frontier: Vec<SearchState> =
        rates.map(|clock_rates| SearchState { clock_rates, ..first.clone() }).collect();
    let mut visited = BTreeSet::new();
    let mut max_possible_use = 0;
    while let Some(state) = frontier.pop() {
        max_possible_use = max_possible_use.max(state.possible_use());
        for next in state.successors() {
            if visited.insert(hash(&next.key())) {
                frontier.push(next);
            }
        }
    }
    SearchResult { states: visited.len(), max_possible_use }
}

/// FNV-1a over 128 bits. A collision would only leave a state unvisited.
fn hash(bytes: &[u8]) -> u128 {
    bytes.iter().fold(0x6c62272e07bb014262b821756295c58d, |h, b| {
        (h ^ u128::from(*b)).wrapping_mul(0x0000000001000000000000000000013B)
    })
}

/// Guards against proxies that together may use more than the total at any moment, in every order of requests, grants,
/// losses, duplicates, delays and elections, with clocks at either limit of the drift bound: for two proxies, two or
/// three requests and three ticks.
#[test]
fn no_order_of_events_exceeds_the_total() {
    let SearchResult { states, max_possible_use } = search(1);
    println!("{states} states, at most {max_possible_use} of 1 unit in use");
    assert_eq!(max_possible_use, 1, "the total is reached and never exceeded in {states} states");
    assert!(states > 10_000, "only {states} states were searched");
}

/// Guards against a search that cannot fail: it must detect injected faults.
#[cfg(feature = "fault-injection")]
#[test]
fn search_finds_injected_faults() {
    use linenhill_decisions::fault_injection::{Fault, inject};
    for fault in [Fault::NoDriftMargin, Fault::LeaseFromReceipt] {
        inject(Some(fault));
        let SearchResult { states, max_possible_use } = search(1);
        inject(None);
        assert!(max_possible_use > 1, "the injected fault {fault:?} was not detected in {states} states");
    }
}
