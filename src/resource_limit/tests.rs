//! Guards against a limit that can be exceeded, and against a permit that is released twice or never.

use super::*;

#[test]
fn a_limit_is_never_exceeded_and_dropped_permits_are_released() {
    let limit = ResourceLimit::new(3);
    let clone = limit.clone();
    let one = limit.acquire().expect("three units are free");
    let two = clone.acquire_weighted(2).expect("two units are free");
    assert_eq!((limit.in_use(), clone.in_use()), (3, 3), "clones share the units in use");
    assert!(limit.acquire().is_none() && clone.acquire_weighted(usize::MAX).is_none());
    assert_eq!(limit.in_use(), 3, "a failed acquire uses no units");
    drop(two);
    assert_eq!(limit.in_use(), 1);
    let mut shrinking = limit.acquire_weighted(2).expect("two units are free");
    shrinking.shrink_to(5);
    assert_eq!(limit.in_use(), 3, "a permit can't grow");
    shrinking.shrink_to(1);
    assert_eq!(limit.in_use(), 2, "one unit is released");
    drop(shrinking);
    assert_eq!(limit.in_use(), 1, "the rest is released once");
    drop(one);
    assert!(limit.acquire_weighted(3).is_some());
    assert_eq!(limit.in_use(), 0, "a permit that is not kept is released at once");
}
