//! The class that is served worst gains rank as far as the site's objective weighs it, and no further.

use linenhill_decisions::api::{ClassId, ObjectiveWeights, Time};
use linenhill_decisions::service_objective::ServiceObjective;

const SECOND: u64 = 1_000_000;

/// Plays a minute of requests of three classes with weights 1, 2 and 3, of which `served[class]` in a hundred
/// are served. Returns the priority weight of the next request of each class.
fn ranks(goal: ObjectiveWeights, served: [u64; 3]) -> [f64; 3] {
    let mut objective = ServiceObjective::new(goal, [1.0, 2.0, 3.0].into_iter());
    for n in 0..6_000u64 {
        for (class, part) in served.iter().enumerate() {
            objective.request_arrived(Time(n * SECOND / 100), ClassId(class));
            if n * 37 % 100 < *part {
                objective.request_served(ClassId(class), 1.0);
            }
        }
    }
    [0, 1, 2].map(|class| objective.request_arrived(Time(60 * SECOND), ClassId(class)))
}

/// Guards against an objective without the worst class that changes any rank, and against settings that lack
/// it.
#[test]
fn ranks_stay_without_a_worst_class_weight() {
    let plain = ObjectiveWeights { total: 0.8, worst_class: 0.0 };
    assert_eq!(ranks(plain, [0, 50, 100]), [1.0, 2.0, 3.0]);
    assert_eq!(ranks(ObjectiveWeights { total: 0.0, worst_class: 1.0 }, [0, 50, 100]), [1.0, 2.0, 3.0]);
}

/// Guards against the lightest class being rejected as a whole where the objective weighs the worst one, and
/// against a rank that grows without bound, or for a class that is served as well as others.
#[test]
fn worst_served_class_gains_rank() {
    let goal = ObjectiveWeights { total: 0.5, worst_class: 0.2 };
    let [first, second, third] = ranks(goal, [10, 80, 90]);
    // A sixth of all weight is the first class's: its share in the objective counts six times.
    assert!((first - (1.0 + 0.4 * 6.0)).abs() < 0.1, "{first}");
    assert!((second - 2.0).abs() < 0.01 && (third - 3.0).abs() < 0.01, "{second} {third}");
    let [first, second, third] = ranks(goal, [80, 80, 80]);
    let gain = first / 1.0 - 1.0;
    assert!(
        gain < 0.4 * 6.0 / 2.0 && second > 2.0 && third > 3.0,
        "all are worst, and share the gain: {first}"
    );
}

/// Guards against a class judged by its first few requests, and against old requests that count forever.
#[test]
fn few_or_old_requests_judge_nothing() {
    let goal = ObjectiveWeights { total: 0.5, worst_class: 0.5 };
    let mut objective = ServiceObjective::new(goal, [1.0, 1.0].into_iter());
    for n in 0..15 {
        assert_eq!(objective.request_arrived(Time(n), ClassId(0)), 1.0);
    }
    for n in 0..2_000 {
        objective.request_arrived(Time(n * SECOND / 100), ClassId(0));
        objective.request_arrived(Time(n * SECOND / 100), ClassId(1));
        objective.request_served(ClassId(1), 1.0);
    }
    assert!(objective.request_arrived(Time(20 * SECOND), ClassId(0)) > 1.5);
    // Minutes later both are served.
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
