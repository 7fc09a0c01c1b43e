//! What one more request of a class is worth to the site's goal, which counts the class that is served worst apart. Pure.
//!
//! Under overload the class of the least worth for its work would be shed whole; where the goal weighs the worst-served
//! class, its requests gain in rank the more the worse it is served, until others are served as badly.

use crate::api::Goal;

/// What was asked and served counts less with time; the goal looks at whole days, members change within seconds.
const FADE: f64 = 30_000_000.0;
/// Classes whose served parts differ by less than this share the place of the worst.
const NEAR: f64 = 0.05;
/// So many requests' worth must have been asked for before a class is judged.
const JUDGED: f64 = 20.0;

#[derive(Clone, Copy, Debug, Default)]
struct Class {
    worth: f64,
    /// Worth asked for and served of late.
    asked: f64,
    served: f64,
}

/// The classes of one router's requests.
#[derive(Clone, Debug)]
pub struct ServiceObjective {
    goal: Goal,
    classes: Vec<Class>,
    faded: u64,
}

impl ServiceObjective {
    /// One router's classes, by the worth of a request of each.
    pub fn new(goal: Goal, worths: impl Iterator<Item = f64>) -> ServiceObjective {
        let classes = worths.map(|worth| Class { worth, ..Class::default() }).collect();
        ServiceObjective { goal, classes, faded: 0 }
    }

    /// A request of a class came: its worth in rank.
    pub fn asked(&mut self, now: u64, class: usize) -> f64 {
        let kept = (-(now.saturating_sub(self.faded) as f64) / FADE).exp();
        self.faded = now;
        for c in &mut self.classes {
            (c.asked, c.served) = (c.asked * kept, c.served * kept);
        }
        let Some(worth) = self.classes.get(class).map(|c| c.worth) else { return 0.0 };
        self.classes[class].asked += worth;
        worth * self.weight(class)
    }

    /// A request of a class was served, with so much of its worth.
    pub fn served(&mut self, class: usize, part: f64) {
        if let Some(c) = self.classes.get_mut(class) {
            c.served += c.worth * part;
        }
    }

    /// How much more than its own worth a request of a class weighs.
    fn weight(&self, class: usize) -> f64 {
        let judged = |c: &&Class| c.asked >= JUDGED * c.worth && c.worth > 0.0;
        let part = |c: &Class| (c.served / c.asked).min(1.0);
        let worst = self.classes.iter().filter(judged).map(part).fold(f64::INFINITY, f64::min);
        let near = |c: &Class| (-(part(c) - worst) / NEAR).exp();
        let all: f64 = self.classes.iter().filter(judged).map(near).sum();
        let Some(c) = self.classes.get(class).filter(judged).filter(|_| self.goal.whole > 0.0) else {
            return 1.0;
        };
        let asked: f64 = self.classes.iter().map(|c| c.asked).sum();
        1.0 + self.goal.worst_class / self.goal.whole * asked / c.asked * near(c) / all
    }
}
