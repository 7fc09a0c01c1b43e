//! The class that is served worst gains in rank as far as the site's goal weighs it, and no further.

use linenhill_decisions::api::Goal;
use linenhill_decisions::service_objective::ServiceObjective;

const SECOND: u64 = 1_000_000;

/// A minute of requests of three classes, worth 1, 2 and 3, of which every `served[class]`-th hundredth is served; the ranks
/// of the next request of each.
fn ranks(goal: Goal, served: [u64; 3]) -> [f64; 3] {
    let mut objective = ServiceObjective::new(goal, [1.0, 2.0, 3.0].into_iter());
    for n in 0..6_000u64 {
        for (class, part) in served.iter().enumerate() {
            objective.asked(n * SECOND / 100, class);
            if n * 37 % 100 < *part {
                objective.served(class, 1.0);
            }
        }
    }
    [0, 1, 2].map(|class| objective.asked(60 * SECOND, class))
}

// Guards against a goal without the worst class that changes any rank, and against settings that lack it.
#[test]
fn without_the_worst_class_in_the_goal_ranks_are_the_classes_worth() {
    let plain = Goal { whole: 0.8, worst_class: 0.0 };
    assert_eq!(ranks(plain, [0, 50, 100]), [1.0, 2.0, 3.0]);
    assert_eq!(ranks(Goal { whole: 0.0, worst_class: 1.0 }, [0, 50, 100]), [1.0, 2.0, 3.0]);
}

// Guards against the least class shed whole where the goal counts the worst one, and against a rank that grows without
// bound, or for a class that is served as well as others.
#[test]
fn the_worst_served_class_gains_by_its_part_in_the_goal() {
    let goal = Goal { whole: 0.5, worst_class: 0.2 };
    let [first, second, third] = ranks(goal, [10, 80, 90]);
    // A sixth of all worth is the first class's: its part in the goal counts six times.
    assert!((first - (1.0 + 0.4 * 6.0)).abs() < 0.1, "{first}");
    assert!((second - 2.0).abs() < 0.01 && (third - 3.0).abs() < 0.01, "{second} {third}");
    let [first, second, third] = ranks(goal, [80, 80, 80]);
    let gain = first / 1.0 - 1.0;
    assert!(gain < 0.4 * 6.0 / 2.0 && second > 2.0 && third > 3.0, "all are worst, and share it: {first}");
}

// Guards against a class judged by its first few requests, and against days that are remembered for ever.
#[test]
fn few_requests_judge_nothing_and_old_ones_are_forgotten() {
    let goal = Goal { whole: 0.5, worst_class: 0.5 };
    let mut objective = ServiceObjective::new(goal, [1.0, 1.0].into_iter());
    for n in 0..15 {
        assert_eq!(objective.asked(n, 0), 1.0);
    }
    for n in 0..2_000 {
        objective.asked(n * SECOND / 100, 0);
        objective.asked(n * SECOND / 100, 1);
        objective.served(1, 1.0);
    }
    assert!(objective.asked(20 * SECOND, 0) > 1.5);
    // Minutes later both are served.
    for n in 0..12_000 {
        (0..2).for_each(|class| _ = objective.asked((20 + n / 100) * SECOND, class));
        (0..2).for_each(|class| objective.served(class, 1.0));
    }
    let (first, second) = (objective.asked(140 * SECOND, 0), objective.asked(140 * SECOND, 1));
    assert!((first - second).abs() < 0.5, "{first} {second}");
}
