//! Quotas without faults: each proxy sends a request every 300 ms over a reliable network.

use crate::fixtures::{MS, OUTLIVES_US, TERMS, declare, held_budget, request_command};
use linenhill_decisions::membership::SessionRejected;
use linenhill_decisions::quota::expiry::LeaseExpiry;
use linenhill_decisions::quota::lease_holder::LeaseHolder;
use linenhill_decisions::quota::table::{Overcommitment, QuotaCommand, QuotaReply, QuotaTable};
use linenhill_decisions::quota::{Budget, Budgets, QuotaNeed, QuotaRequest};
use std::collections::BTreeMap;

const ROUND_US: u64 = 300 * MS;

/// A fleet without faults that shares the budget `b`.
struct SteadyFleet {
    table: QuotaTable,
    /// The holder of each proxy by its incarnation, which counts from 1.
    holders: BTreeMap<u64, LeaseHolder>,
    now: u64,
}

impl SteadyFleet {
    fn new(budget: Budget, proxies: u64) -> SteadyFleet {
        let mut table = QuotaTable::default();
        table.apply(0, vec![declare(TERMS, [("b".to_string(), budget)].into())]);
        let holders = (1..=proxies).map(|i| (i, LeaseHolder::new(TERMS.lease_us))).collect();
        SteadyFleet { table, holders, now: 1 << 30 }
    }

    /// Each proxy sends one request, with `wanted` units in use as far as its quota allows. Returns the limits of all
    /// proxies after the round.
    fn round(&mut self, wanted: impl Fn(u64) -> u64) -> Vec<u64> {
        let now = self.now;
        for (i, holder) in &mut self.holders {
            for _ in holder.in_use("b")..wanted(*i) {
                holder.acquire(now, "b");
            }
            for _ in wanted(*i)..holder.in_use("b") {
                holder.release("b");
            }
            for _ in 0..holder.excess(now, "b") {
                holder.release("b");
            }
            let request = holder.next_request(now);
            for reply in self.table.apply(0, vec![request_command(&format!("p{i}"), *i, request)]) {
                holder.apply_grant(now, reply.result.expect("a grant"));
            }
        }
        self.now += ROUND_US;
        self.table.apply(ROUND_US, vec![]);
        let now = self.now;
        self.holders.values().map(|holder| holder.limit(now, "b").unwrap_or(0)).collect()
    }
}

/// Guards against quotas that stay with proxies which do not need them, that change under constant needs, or that
/// starve a proxy where units cannot be divided evenly.
#[test]
fn quotas_follow_needs_and_rotate_when_scarce() {
    let mut one_busy = SteadyFleet::new(held_budget(100, 0), 8);
    let mut last = Vec::new();
    for _ in 0..60 {
        last = one_busy.round(|i| if i == 3 { 200 } else { 0 });
    }
    assert!(last[2] >= 90, "one proxy has all the demand: {last:?}");
    let mut all_busy = SteadyFleet::new(held_budget(80, 0), 8);
    (0..60).for_each(|_| _ = all_busy.round(|_| 30));
    let steady: Vec<Vec<u64>> = (0..10).map(|_| all_busy.round(|_| 30)).collect();
    assert!(steady.iter().all(|limits| *limits == vec![10; 8]), "{steady:?}");
    let mut scarce = SteadyFleet::new(held_budget(2, 0), 6);
    let mut rounds_with_unit = [0; 6];
    for _ in 0..300 {
        scarce.round(|_| 1).iter().zip(&mut rounds_with_unit).for_each(|(limit, rounds)| *rounds += limit);
    }
    assert!(
        rounds_with_unit.iter().all(|rounds| *rounds >= 40),
        "two units rotate among six proxies: {rounds_with_unit:?}"
    );
}

/// Guards against granting the quota of a crashed proxy to others before its lease has expired, or its floor before its
/// membership has expired, and against never granting them again.
#[test]
fn dead_proxys_part_returns_after_lease_and_floor() {
    let mut fleet = SteadyFleet::new(held_budget(10, 2), 2);
    (0..10).for_each(|_| _ = fleet.round(|_| 20));
    assert_eq!(fleet.round(|_| 20), [5, 5]);
    let crashed = fleet.holders.remove(&2).expect("proxy 2");
    let LeaseExpiry { quotas: lease_end, floors: floor_end } = crashed.expiry();
    let mut most_returned_at = 0;
    let mut all_returned_at = 0;
    for _ in 0..60 {
        let limit = fleet.round(|_| 20)[0];
        let now = fleet.now;
        assert!(limit + crashed.limit(now, "b").expect("enforced") <= 10);
        most_returned_at = if limit >= 8 && most_returned_at == 0 { now } else { most_returned_at };
        all_returned_at = if limit == 10 && all_returned_at == 0 { now } else { all_returned_at };
    }
    let after_lease = most_returned_at as i64 - lease_end as i64;
    assert!(
        after_lease > 0 && after_lease <= 2_000 * MS as i64,
        "returned {after_lease} us after the lease expired"
    );
    assert!(all_returned_at > floor_end && all_returned_at <= floor_end + 3_000 * MS);
    assert_eq!(crashed.limit(floor_end - 1, "b"), Some(2));
    assert_eq!(crashed.limit(floor_end, "b"), Some(0), "without renewal the floor ends with the membership");
}

/// Guards against granting units of a lowered budget while units of the larger one are still in use, and against
/// granting a new incarnation units that its predecessor may still use.
#[test]
fn what_is_still_out_counts_after_redeclaration_and_restart() {
    let mut fleet = SteadyFleet::new(held_budget(10, 0), 2);
    (0..10).for_each(|_| _ = fleet.round(|_| 20));
    let declare_total = |total| declare(TERMS, [("b".to_string(), held_budget(total, 0))].into());
    fleet.table.apply(0, vec![declare(TERMS, Budgets::new()), declare_total(4)]);
    let lowered = Overcommitment { entry: "b", committed: 10, total: 4 };
    assert_eq!(fleet.table.overcommitted(), [lowered], "the lowered budget is reported as overcommitted");
    (0..10).for_each(|_| _ = fleet.round(|_| 20));
    assert!(fleet.table.overcommitted().is_empty());
    assert_eq!(fleet.round(|_| 20).iter().sum::<u64>(), 4);
    let restarted = |seq| {
        let needs = [("b".to_string(), QuotaNeed { in_use: 0, demand: 9 })].into();
        request_command("p1", 77, QuotaRequest { seq, acked: 0, needs, yields_name: false })
    };
    let mut apply = |elapsed: u64, command: QuotaCommand| {
        let replies: Vec<QuotaReply> = fleet.table.apply(elapsed, vec![command]);
        replies[0].result.clone().map(|grant| grant.quotas["b"].units)
    };
    assert_eq!(apply(0, restarted(1)), Ok(0), "the previous incarnation's units still count");
    let late_request = fleet.holders.get_mut(&1).expect("the previous incarnation").next_request(fleet.now);
    assert_eq!(apply(0, request_command("p1", 1, late_request)), Err(SessionRejected::Superseded));
    let all_expired_after = TERMS.with_drift_margin(TERMS.lease_us + OUTLIVES_US);
    assert_eq!(apply(all_expired_after, restarted(2)), Ok(4));
    assert_eq!(apply(0, restarted(2)), Err(SessionRejected::StaleRequest));
}

/// Guards against granting a hundred new proxies more than the total, or nothing for many rounds; and against losing
/// the quotas of ninety proxies that crash at once.
#[test]
fn hundred_join_at_once_and_ninety_die() {
    let mut fleet = SteadyFleet::new(held_budget(300, 1), 100);
    let sum = |limits: Vec<u64>| limits.iter().sum::<u64>();
    (0..10).for_each(|_| assert!(sum(fleet.round(|_| 5)) <= 300));
    assert_eq!(fleet.round(|_| 5), vec![3; 100]);
    let crashed: Vec<LeaseHolder> = (11..=100).filter_map(|i| fleet.holders.remove(&i)).collect();
    for _ in 0..60 {
        let now = fleet.now;
        let running_units = sum(fleet.round(|_| 30));
        let crashed_units: u64 = crashed.iter().map(|holder| holder.limit(now, "b").unwrap_or(0)).sum();
        assert!(
            running_units + crashed_units <= 300,
            "{running_units} units of running and {crashed_units} of crashed proxies, of 300"
        );
    }
    assert_eq!(fleet.round(|_| 30), vec![30; 10]);
}
