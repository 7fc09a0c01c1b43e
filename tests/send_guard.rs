//! The send guard, under paused time: it issues no permit unless all conditions hold, and counts violations at the
//! write.

use linenhill::api::{Discovery, MemberId, Micros, RequestId};
use linenhill::clock::Clock;
use linenhill::fleet::quota::FleetQuota;
use linenhill::list_lease::{ListLease, ListUnusable};
use linenhill::metrics::Metrics;
use linenhill::upstream::pool::{Pool, PoolLimits};
use linenhill::upstream::send_guard::{Purpose, SendGuard, SendIntent};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, advance};

const MS: Duration = Duration::from_millis(1);
const MEMBER: MemberId = MemberId(1);
const DRAIN_GRACE: Micros = Micros(2_000_000);

/// A guard, and a pool with one member that accepts statements.
fn new_guard_and_pool(metrics: &Metrics) -> (SendGuard, Pool) {
    let clock = Clock::start();
    let lease = ListLease::new(clock.now(), Discovery::OnRequest, DRAIN_GRACE);
    let guard = SendGuard::new(lease, 7, clock, metrics.invariants());
    let long = Duration::from_secs(60);
    let limits =
        PoolLimits { max_connections: 1, response_bytes: 1 << 20, idle_close: long, connect_timeout: long };
    let pool = Pool::with_quota(limits, Rc::default(), FleetQuota::default(), guard.clone());
    pool.set_address(MEMBER, "127.0.0.1:1".parse().expect("a valid address"));
    (guard, pool)
}

fn intent(wait: Duration) -> SendIntent {
    let purpose = Purpose::Attempt(RequestId([b'a'; 36]), 0);
    SendIntent { member: MEMBER, purpose, deadline: Instant::now() + wait, is_request_over: Rc::default() }
}

/// Advances the time with a turn of the driver every 100 ms.
async fn run_turns(guard: &SendGuard, length: Duration) {
    let end = Instant::now() + length;
    while Instant::now() < end {
        advance((100 * MS).min(end - Instant::now())).await;
        guard.begin_turn();
    }
}

/// Guards against a permit issued although one of its conditions does not hold.
#[tokio::test(start_paused = true)]
async fn no_permit_where_a_condition_fails() {
    let metrics = Metrics::new(["list"]);
    let (guard, pool) = new_guard_and_pool(&metrics);
    assert!(pool.send_permit(intent(MS)).await.is_some());
    assert!(pool.send_permit(intent(Duration::ZERO)).await.is_none(), "the deadline has passed");
    let over = intent(MS);
    over.is_request_over.set(true);
    assert!(pool.send_permit(over).await.is_none(), "the request is over");
    let unknown = SendIntent { member: MemberId(2), ..intent(MS) };
    assert!(pool.send_permit(unknown).await.is_none(), "the member is unknown");
    pool.set_accepting(|_| false);
    assert!(pool.send_permit(intent(MS)).await.is_none(), "the member drains");
    pool.set_accepting(|_| true);
    run_turns(&guard, 2_900 * MS).await;
    assert_eq!(guard.check_lease(), Err(ListUnusable::Expired));
    assert!(pool.send_permit(intent(MS)).await.is_none(), "the list lease has expired");
    guard.record_list_confirmed();
    assert!(pool.send_permit(intent(MS)).await.is_some());
}

/// Guards against permits for members that the pool has removed: such a member accepts nothing until it is added
/// again, and a permit issued before the removal counts as violated at the write.
#[tokio::test(start_paused = true)]
async fn removed_member_accepts_nothing() {
    let metrics = Metrics::new(["list"]);
    let (_, pool) = new_guard_and_pool(&metrics);
    let permit = pool.send_permit(intent(MS)).await.expect("the guard issues a permit");
    pool.retain(|_| false);
    assert!(!pool.is_accepting(MEMBER));
    assert!(pool.send_permit(intent(MS)).await.is_none());
    permit.check_at_write();
    assert_eq!(metrics.invariants().total(), 1);
    pool.set_address(MEMBER, "127.0.0.1:1".parse().expect("a valid address"));
    assert!(pool.send_permit(intent(MS)).await.is_some());
}

/// Guards against sends after a hold-up of the process, before it has read the input that arrived in the meantime.
#[tokio::test(start_paused = true)]
async fn permit_waits_while_the_process_catches_up() {
    let metrics = Metrics::new(["list"]);
    let (guard, pool) = new_guard_and_pool(&metrics);
    guard.record_list_confirmed();
    run_turns(&guard, 1_000 * MS).await;
    advance(3_000 * MS).await;
    let resumed = Instant::now();
    let held_up_since = guard.held_up_since().expect("a hold-up, since no turn was taken");
    assert_eq!(resumed - held_up_since, 3_000 * MS);
    guard.begin_turn();
    // The input that arrived in the meantime is a drain, so the pending permit is refused.
    let receive_drain = async {
        tokio::time::sleep(20 * MS).await;
        pool.set_accepting(|_| false);
    };
    let (permit, ()) = tokio::join!(pool.send_permit(intent(1_000 * MS)), receive_drain);
    assert!(permit.is_none());
    pool.set_accepting(|_| true);
    let permit = pool.send_permit(intent(1_000 * MS)).await.expect("the guard issues a permit");
    assert!(permit.has_waited() && resumed.elapsed() >= 50 * MS);
    assert!(guard.held_up_since().is_none());
}

/// Guards against checks at the write that never fail: each condition that changed after the permit was issued is
/// counted under the name of its invariant, and the unchanged ones are not counted.
#[tokio::test(start_paused = true)]
async fn write_with_an_outdated_permit_is_counted() {
    let metrics = Metrics::new(["list"]);
    let (_, pool) = new_guard_and_pool(&metrics);
    pool.send_permit(intent(MS)).await.expect("the guard issues a permit").check_at_write();
    assert_eq!(metrics.invariants().total(), 0);
    let late = pool.send_permit(intent(1_000 * MS)).await.expect("the guard issues a permit");
    advance(151 * MS).await;
    late.check_at_write();
    let over = intent(MS);
    let permit = pool.send_permit(over.clone()).await.expect("the guard issues a permit");
    over.is_request_over.set(true);
    permit.check_at_write();
    let permit = pool.send_permit(intent(MS)).await.expect("the guard issues a permit");
    pool.set_accepting(|_| false);
    permit.check_at_write();
    assert_eq!(metrics.invariants().total(), 3);
    let text = metrics.text().expect("the metrics can be encoded");
    for (invariant, count) in [
        ("permit-current", 1),
        ("request-open", 1),
        ("member-accepts", 1),
        ("list-leased", 0),
        ("one-attempt", 0),
    ] {
        let line = format!("proxy_invariant_violations_total{{invariant=\"{invariant}\"}} {count}");
        assert!(text.contains(&line), "{line}: {text}");
    }
}
