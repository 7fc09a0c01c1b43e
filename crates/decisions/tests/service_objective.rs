//! Tests of the priority weight that the worst-served class gains, as far as the site's objective weighs that class.

use linenhill_decisions::api::{ClassId, ObjectiveWeights, Time};
use linenhill_decisions::service_objective::ServiceObjective;

const SECOND: u64 = 1_000_000;

/// Simulates a minute of requests of three classes with weights 1, 2 and 3, of which `served[class]` percent are
/// served. Returns the priority weight of the next request of each class.
fn priority_weights(weights: ObjectiveWeights, served: [u64; 3]) -> [f64; 3] {
    let mut objective = ServiceObjective::new(weights, [1.0, 2.0, 3.0].into_iter());
    for n in 0..6_000u64 {
        for (class, percent) in served.iter().enumerate() {
            objective.request_arrived(Time(n * SECOND / 100), ClassId(class));
            if n * 37 % 100 < *percent {
                objective.request_served(ClassId(class), 1.0);
            }
        }
    }
    [0, 1, 2].map(|class| objective.request_arrived(Time(60 * SECOND), ClassId(class)))
}

/// Guards against changed priority weights where the objective does not weigh the worst-served class, or has no weight
/// for the total.
#[test]
fn ranks_stay_without_a_worst_class_weight() {
    let plain = ObjectiveWeights { total: 0.8, worst_class: 0.0 };
    assert_eq!(priority_weights(plain, [0, 50, 100]), [1.0, 2.0, 3.0]);
    assert_eq!(
        priority_weights(ObjectiveWeights { total: 0.0, worst_class: 1.0 }, [0, 50, 100]),
        [1.0, 2.0, 3.0]
    );
}

/// Guards against rejecting all requests of the class with the least weight where the objective weighs the worst-served
/// class; and against a gain that is unbounded, or that classes get which are served well.
#[test]
fn worst_served_class_gains_rank() {
    let weights = ObjectiveWeights { total: 0.5, worst_class: 0.2 };
    let [first, second, third] = priority_weights(weights, [10, 80, 90]);
    // The first class has a sixth of the total weight, so the weight of the worst class counts six times for it.
    assert!((first - (1.0 + 0.4 * 6.0)).abs() < 0.1, "{first}");
    assert!((second - 2.0).abs() < 0.01 && (third - 3.0).abs() < 0.01, "{second} {third}");
    let [first, second, third] = priority_weights(weights, [80, 80, 80]);
    let gain = first / 1.0 - 1.0;
    assert!(
        gain < 0.4 * 6.0 / 2.0 && second > 2.0 && third > 3.0,
        "all classes are served equally and share the gain: {first}, {second}, {third}"
    );
}

/// Guards against judging a class by its first few requests, and against old requests that never decay.
#[test]
fn few_or_old_requests_judge_nothing() {
    let weights = ObjectiveWeights { total: 0.5, worst_class: 0.5 };
    let mut objective = ServiceObjective::new(weights, [1.0, 1.0].into_iter());
    for n in 0..15 {
        assert_eq!(objective.request_arrived(Time(n), ClassId(0)), 1.0);
    }
    for n in 0..2_000 {
        objective.request_arrived(Time(n * SECOND / 100), ClassId(0));
        objective.request_arrived(Time(n * SECOND / 100), ClassId(1));
        objective.request_served(ClassId(1), 1.0);
    }
    assert!(objective.request_arrived(Time(20 * SECOND), ClassId(0)) > 1.5);
    // Both classes are served for the next two minutes.
    for n in 0..12_000 {
        (0..2).for_each(|class| _ = objective.request_arrived(Time((20 + n / 100) * SECOND), ClassId(class)));
        (0..2).for_each(|class| objective.request_served(ClassId(class), 1.0));
    }
    let (first, second) = (
        objective.request_arrived(Time(140 * SECOND), ClassId(0)),
        objective.request_arrived(Time(140 * SECOND), ClassId(1)),
    );
    assert!((first - second).abs() < 0.5, "{first} {second}");
}
