//! Any order of operators' words and lists, told to two processes that exchange their words.

use linenhill_decisions::api::{GroupId, MemberState, Time};
use linenhill_decisions::maintenance::{EffectiveState, Maintenance, OrderRejected};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const GROUP: GroupId = GroupId(1);
const IDS: [&str; 4] = ["a", "b", "c", "nobody"];

fn exchange(from: &Maintenance, to: &mut Maintenance) {
    from.orders().for_each(|(id, order)| _ = to.hear(id, order));
}

// Guards against a ban that a list lifts, that binds only the process it was told to, that two calls make need two
// back, and against a return that is taken for warm.
#[test]
fn the_last_word_on_a_member_counts_in_both_processes_whatever_lists_say() {
    let mut g = Gen::from_size_and_seed(40, 12);
    for _ in 0..500 {
        let mut both = [Maintenance::default(), Maintenance::default()];
        let mut expected: BTreeMap<&str, (bool, u64)> = BTreeMap::new();
        let mut now = 1_000_000;
        for m in &mut both {
            IDS[..3].iter().for_each(|id| _ = m.listed(Time(now), id, GROUP, MemberState::InService, None));
        }
        for _ in 0..30 {
            now += 1 + u64::from(u16::arbitrary(&mut g));
            let (id, one) = (*g.choose(&IDS).expect("one"), usize::from(bool::arbitrary(&mut g)));
            match *g.choose(&[0, 1, 2, 3]).expect("one") {
                0 | 1 => {
                    let out = bool::arbitrary(&mut g);
                    let before = expected.get(id).is_some_and(|e| e.0);
                    let said = both[one].say(Time(now), id, out);
                    if id == "nobody" {
                        assert_eq!(said, Err(OrderRejected::UnknownMember));
                    } else {
                        assert_eq!(said, Ok(before != out));
                        if before != out {
                            expected.insert(id, (out, now));
                        }
                    }
                }
                2 => both[one].whole_list(Time(now)),
                _ => {
                    let state = *g.choose(&[MemberState::InService, MemberState::Gone]).expect("one");
                    if id != "nobody" {
                        both[one].listed(Time(now), id, GROUP, state, Some(Time(5)));
                    }
                }
            }
            let [a, b] = &mut both;
            exchange(a, b);
            exchange(b, a);
            for (id, m) in IDS[..3].iter().flat_map(|id| [(id, one), (id, 1 - one)]) {
                let wanted = match expected.get(id) {
                    None => EffectiveState::Listed(Some(Time(5))),
                    Some((true, _)) => EffectiveState::Out,
                    Some((false, at)) => EffectiveState::Listed(Some(Time(*at))),
                };
                assert_eq!(
                    both[m].listed(Time(now), id, GROUP, MemberState::InService, Some(Time(5))),
                    wanted
                );
            }
        }
    }
}

// Guards against words and names without a bound, and against a member that is forgotten while it is out.
#[test]
fn names_and_words_are_bounded_and_who_is_out_stays_known() {
    let mut m = Maintenance::default();
    let mut turned = 0;
    for n in 0..9_000u64 {
        let id = format!("m{n}");
        m.listed(Time(n), &id, GROUP, MemberState::InService, None);
        turned += u64::from(m.say(Time(n), &id, n % 2 == 0) == Err(OrderRejected::TooManyOrders));
    }
    assert!(m.orders().count() <= 1_024 && m.count().0 <= 4_096);
    assert!(turned > 0, "a bound refuses, it drops no ban");
    let hours = Time(10_000_000_000);
    m.whole_list(hours);
    assert_eq!(m.say(hours, "m0", false), Ok(true), "its way back is open");
    assert_eq!(m.say(hours, "m1", true), Err(OrderRejected::UnknownMember));
}

// Guards against requests that wait for a group which operators have taken out whole, and against refusing those of a
// group with one member left, or with none listed.
#[test]
fn a_group_is_closed_once_all_that_is_listed_of_it_is_out() {
    let mut m = Maintenance::default();
    let now = Time(1_000_000);
    for (id, group) in [("a", 1), ("b", 1), ("c", 2)] {
        m.listed(now, id, GroupId(group), MemberState::InService, None);
    }
    let closed = |m: &Maintenance| [1, 2, 3].map(|group| m.closed(GroupId(group)));
    assert_eq!(m.say(now, "a", true), Ok(true));
    assert_eq!(closed(&m), [false; 3]);
    assert_eq!(m.say(now, "b", true), Ok(true));
    assert_eq!(closed(&m), [true, false, false]);
    m.listed(now, "d", GroupId(1), MemberState::InService, None);
    assert_eq!(closed(&m), [false; 3]);
    m.listed(now, "d", GroupId(1), MemberState::Gone, None);
    assert_eq!(m.say(now, "b", false), Ok(true));
    assert_eq!(closed(&m), [false; 3]);
}
