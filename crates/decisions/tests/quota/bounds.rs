//! Bounds on the state of the table and of a holder, whatever instances report.

use crate::fixtures::{MS, TERMS, declare, held_budget, links_and_probes, request_command};
use linenhill_decisions::quota::lease_holder::LeaseHolder;
use linenhill_decisions::quota::table::QuotaTable;
use linenhill_decisions::quota::{Budget, QuotaNeed, QuotaRequest};

const EXTREME_NEED: QuotaNeed = QuotaNeed { in_use: u64::MAX, demand: u64::MAX };

/// Guards against state that grows with time, restarts and lost replies.
#[test]
fn table_of_a_flapping_fleet_stays_bounded() {
    let mut table = QuotaTable::default();
    table.apply(0, vec![declare(TERMS, links_and_probes(50, 1))]);
    let mut rng = fastrand::Rng::with_seed(9);
    let mut sizes = Vec::new();
    for round in 0..4_000u64 {
        let needs = [("links".to_string(), QuotaNeed::default())].into();
        let request = QuotaRequest { seq: 1, needs, ..QuotaRequest::default() };
        let name = format!("p{}", rng.u8(0..20));
        table.apply(100 * MS, vec![request_command(&name, 1_000 + round, request)]);
        if round % 1_000 == 999 {
            let allocations: usize = table.entries.values().map(|entry| entry.allocations.len()).sum();
            sizes.push((table.membership.sessions.len(), allocations));
        }
    }
    assert!(sizes.iter().all(|(sessions, allocations)| *sessions <= 20 && *allocations <= 250), "{sizes:?}");
}

/// Guards against per-key entries that are requested and granted forever after their member is gone, against entries of
/// undeclared budgets, and against sums of extreme needs that overflow.
#[test]
fn entries_end_and_absurd_needs_are_cut() {
    let mut table = QuotaTable::default();
    let budget = Budget { per_key: true, ..held_budget(10, 1) };
    table.apply(0, vec![declare(TERMS, [("links".to_string(), budget)].into())]);
    assert_unrequested_entries_expire(&mut table);
    for n in 0..3 {
        let needs = [("links/m0".to_string(), EXTREME_NEED)].into();
        let request = QuotaRequest { seq: 1, needs, ..QuotaRequest::default() };
        let replies = table.apply(0, vec![request_command(&format!("q{n}"), 7 + n, request)]);
        let quotas = replies[0].result.clone().expect("a grant").quotas;
        assert!(quotas["links/m0"].units <= 9, "needs are limited so that their sum does not overflow");
    }
}

/// Asserts that entries which the holder no longer requests expire, and that undeclared and overlong names get none.
fn assert_unrequested_entries_expire(table: &mut QuotaTable) {
    let mut holder = LeaseHolder::new(TERMS.lease_us);
    (0..5).for_each(|n| holder.enforce(&format!("links/m{n}"), false));
    let mut now = 1 << 30;
    let mut sizes = Vec::new();
    for round in 0..40 {
        if round == 5 {
            (1..5).for_each(|n| holder.stop_enforcing(&format!("links/m{n}")));
        }
        let mut request = holder.next_request(now);
        request.needs.insert("other/m1".into(), EXTREME_NEED);
        request.needs.insert("x".repeat(9_999), EXTREME_NEED);
        for reply in table.apply(300 * MS, vec![request_command("p", 1, request)]) {
            holder.apply_grant(now, reply.result.expect("a grant"));
        }
        now += 300 * MS;
        sizes.push((table.entries.len(), holder.budgets().count()));
    }
    assert_eq!((sizes[4], sizes[39]), ((5, 5), (1, 1)), "{sizes:?}");
}
