//! Guards against a limit that is passed, and against a permit that is given back twice or not at all.

use super::*;

#[test]
fn a_limit_is_never_passed_and_dropped_permits_are_given_back() {
    let limit = ResourceLimit::new(3);
    let clone = limit.clone();
    let one = limit.acquire().expect("three are left");
    let two = clone.acquire_weighted(2).expect("two are left");
    assert_eq!((limit.in_use(), clone.in_use()), (3, 3), "clones share what is in use");
    assert!(limit.acquire().is_none() && clone.acquire_weighted(usize::MAX).is_none());
    assert_eq!(limit.in_use(), 3, "what was not given is not in use");
    drop(two);
    assert_eq!(limit.in_use(), 1);
    drop(one);
    assert!(limit.acquire_weighted(3).is_some());
    assert_eq!(limit.in_use(), 0, "a permit that is not kept is given back at once");
}
