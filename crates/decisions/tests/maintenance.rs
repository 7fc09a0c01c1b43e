//! Tests of maintenance orders: random sequences of orders and lists at two processes that exchange their orders.

use linenhill_decisions::api::{GroupId, MemberState, Time};
use linenhill_decisions::maintenance::{EffectiveState, ListedMember, Maintenance, OrderRejected};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const GROUP: GroupId = GroupId(1);
const MEMBER_IDS: [&str; 4] = ["a", "b", "c", "unlisted"];

/// A listed member of [`GROUP`] in service, without a start time.
fn in_service(id: &str) -> ListedMember<'_> {
    ListedMember { id, group: GROUP, state: MemberState::InService, started: None }
}

/// Merges all orders of one process into another.
fn merge_orders(from: &Maintenance, to: &mut Maintenance) {
    from.orders().for_each(|(id, order)| _ = to.merge(id, order));
}

/// Guards against an order that a list update cancels, that takes effect only in the process that received it, or that
/// must be revoked as often as it was repeated; and against a member that returns without a new start time, which its
/// slow start needs.
#[test]
fn last_order_counts_in_both_processes() {
    let started = Some(Time(5));
    let mut generator = Gen::from_size_and_seed(40, 12);
    for _ in 0..500 {
        let mut both = [Maintenance::default(), Maintenance::default()];
        let mut expected: BTreeMap<&str, (bool, u64)> = BTreeMap::new();
        let mut now = 1_000_000;
        for maintenance in &mut both {
            MEMBER_IDS[..3].iter().for_each(|id| _ = maintenance.record_listed(Time(now), in_service(id)));
        }
        for _ in 0..30 {
            now += 1 + u64::from(u16::arbitrary(&mut generator));
            let id = *generator.choose(&MEMBER_IDS).expect("choices are not empty");
            let nth = usize::from(bool::arbitrary(&mut generator));
            match *generator.choose(&[0, 1, 2, 3]).expect("choices are not empty") {
                0 | 1 => {
                    let out = bool::arbitrary(&mut generator);
                    let before = expected.get(id).is_some_and(|e| e.0);
                    let result = both[nth].order(Time(now), id, out);
                    if id == "unlisted" {
                        assert_eq!(result, Err(OrderRejected::UnknownMember));
                    } else {
                        assert_eq!(result, Ok(before != out));
                        if before != out {
                            expected.insert(id, (out, now));
                        }
                    }
                }
                2 => both[nth].begin_full_list(Time(now)),
                _ => {
                    let state = *generator.choose(&[MemberState::InService, MemberState::Gone]).expect("any");
                    if id != "unlisted" {
                        both[nth].record_listed(Time(now), ListedMember { state, started, ..in_service(id) });
                    }
                }
            }
            let [a, b] = &mut both;
            merge_orders(a, b);
            merge_orders(b, a);
            for (id, index) in MEMBER_IDS[..3].iter().flat_map(|id| [(id, nth), (id, 1 - nth)]) {
                let wanted = match expected.get(id) {
                    None => EffectiveState::AsListed { started },
                    Some((true, _)) => EffectiveState::OutOfService,
                    Some((false, at)) => EffectiveState::AsListed { started: Some(Time(*at)) },
                };
                let listed = ListedMember { started, ..in_service(id) };
                assert_eq!(both[index].record_listed(Time(now), listed), wanted);
            }
        }
    }
}

/// Guards against an unbounded number of orders or known members, and against forgetting a member that is out of
/// service.
#[test]
fn orders_are_bounded_and_members_out_stay_known() {
    let mut maintenance = Maintenance::default();
    let mut rejected = 0;
    for n in 0..9_000u64 {
        let id = format!("m{n}");
        maintenance.record_listed(Time(n), in_service(&id));
        rejected +=
            u64::from(maintenance.order(Time(n), &id, n % 2 == 0) == Err(OrderRejected::TooManyOrders));
    }
    let listed = maintenance.known().filter(|(_, _, is_listed)| *is_listed).count();
    assert!(maintenance.orders().count() <= 1_024 && maintenance.known().count() <= 4_096 && listed > 0);
    assert!(rejected > 0, "at the limit new orders are rejected, and orders in force are kept");
    let hours_later = Time(10_000_000_000);
    maintenance.begin_full_list(hours_later);
    assert_eq!(
        maintenance.order(hours_later, "m0", false),
        Ok(true),
        "a member out of service can be put back"
    );
    assert_eq!(maintenance.order(hours_later, "m1", true), Err(OrderRejected::UnknownMember));
}

/// Guards against requests that are queued for a group whose members operators have all taken out of service, and
/// against rejecting the requests of a group with one member in service, or with none listed.
#[test]
fn group_is_out_once_all_its_listed_members_are() {
    let mut maintenance = Maintenance::default();
    let now = Time(1_000_000);
    for (id, group) in [("a", 1), ("b", 1), ("c", 2)] {
        maintenance.record_listed(now, ListedMember { group: GroupId(group), ..in_service(id) });
    }
    let out = |maintenance: &Maintenance| [1, 2, 3].map(|group| maintenance.is_group_out(GroupId(group)));
    assert_eq!(maintenance.order(now, "a", true), Ok(true));
    assert_eq!(out(&maintenance), [false; 3]);
    assert_eq!(maintenance.order(now, "b", true), Ok(true));
    assert_eq!(out(&maintenance), [true, false, false]);
    maintenance.record_listed(now, in_service("d"));
    assert_eq!(out(&maintenance), [false; 3]);
    maintenance.record_listed(now, ListedMember { state: MemberState::Gone, ..in_service("d") });
    assert_eq!(maintenance.order(now, "b", false), Ok(true));
    assert_eq!(out(&maintenance), [false; 3]);
}
