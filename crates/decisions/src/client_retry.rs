//! How long a client has waited before it sent this request: pure, learned from how long requests say they will wait.
//!
//! Clients try again by themselves, and a request says how long its sender will wait for it, not that it is a second or
//! third try of something begun long ago. A last try waits for what is left of the time after which the client gives up
//! altogether. So where first tries all wait equally long, a wait of another length is that rest, and tells how long the
//! client has been at it. Work for an answer that comes too late to be worth anything takes the place of work that
//! isn't; without this every refusal under overload came back as such work.
//!
//! Nothing is concluded where waits have no usual length, nor from a length that is usual for a part of the clients. Nor
//! from shorter ones alone: clients that are in a hurry wait for less, too, but only a rest can be longer than usual.

/// Waits within this part of the time to give up are the same: they are told less the way here, which differs.
const SAME_PART: u64 = 100;
/// Lengths that are watched, and requests after which all counts are halved.
const LENGTHS: usize = 16;
const HALVE_AT: u32 = 512;
/// A length is usual for a part of the clients from this share of the requests on: one in so many.
const USUAL: u32 = 20;
/// Lengths that are usual together make up this share of requests at least, or there is no usual length: a half.
const MOST: u32 = 2;
/// An answer can come in this part of its usual time.
const WORK_PART: f64 = 0.7;
/// Shorter waits than usual are rests where for so many of them one longer than usual was seen, over all classes.
const LONGER: u32 = 16;
/// Nothing is concluded from fewer requests.
const ENOUGH: u32 = 64;

/// What is known of the waits in all classes.
#[derive(Clone, Debug)]
pub struct ClientRetryEstimator {
    classes: Vec<ClassWaits>,
    longer: u32,
    shorter: u32,
}

impl ClientRetryEstimator {
    /// Where clients give up after so long altogether, by class, in microseconds; 0 where that isn't told.
    pub fn new(give_up: impl Iterator<Item = u64>) -> ClientRetryEstimator {
        ClientRetryEstimator { classes: give_up.map(ClassWaits::new).collect(), longer: 0, shorter: 0 }
    }

    /// Takes in that a request's sender will wait for `left` microseconds; what is left of the aim, which counts from
    /// when the client began. None where an answer, in its usual time `work`, would miss it.
    pub fn rest(&mut self, class: usize, left: u64, aim: u64, work: f64) -> Option<u64> {
        let spent = self.spent(class, left);
        let missed = spent > 0 && spent.saturating_add((work * WORK_PART) as u64) > aim;
        (!missed).then(|| aim.saturating_sub(spent))
    }

    fn spent(&mut self, class: usize, left: u64) -> u64 {
        let Some(estimator) = self.classes.get_mut(class) else { return 0 };
        let Some(usual) = estimator.unusual(left) else { return 0 };
        let longer = left > usual;
        let count = if longer { &mut self.longer } else { &mut self.shorter };
        *count += 1;
        if *count >= HALVE_AT {
            (self.longer, self.shorter) = (self.longer / 2, self.shorter / 2);
        }
        if longer || self.longer.saturating_mul(LONGER) > self.shorter {
            self.classes[class].give_up.saturating_sub(left)
        } else {
            0
        }
    }
}

/// What is known of the waits in one class.
#[derive(Clone, Debug)]
struct ClassWaits {
    give_up: u64,
    /// Lengths seen, each with its count.
    lengths: Vec<(u64, u32)>,
    all: u32,
}

impl ClassWaits {
    fn new(give_up: u64) -> ClassWaits {
        ClassWaits { give_up, lengths: Vec::new(), all: 0 }
    }

    /// Takes in a wait; if it is none of the usual ones, the longest of those.
    fn unusual(&mut self, left: u64) -> Option<u64> {
        let same = self.give_up / SAME_PART;
        self.all += 1;
        let place = match self.lengths.iter().position(|(length, _)| length.abs_diff(left) <= same) {
            Some(place) => place,
            None if self.lengths.len() < LENGTHS => {
                self.lengths.push((left, 0));
                self.lengths.len() - 1
            }
            None => {
                // Space-saving: the rarest makes room, and leaves its count to the newcomer as its bound.
                let rarest = (0..LENGTHS).min_by_key(|i| self.lengths[*i].1).unwrap_or(0);
                self.lengths[rarest].0 = left;
                rarest
            }
        };
        // A length stays as it was first seen: one that followed its latest would wander through all rests.
        self.lengths[place].1 += 1;
        let count = self.lengths[place].1;
        let usual = |count: u32| count.saturating_mul(USUAL) >= self.all;
        let often = || self.lengths.iter().filter(|(_, n)| usual(*n));
        let together: u32 = often().map(|(_, n)| n).sum();
        let longest = often().map(|(length, _)| *length).max();
        let known = self.all >= ENOUGH && together.saturating_mul(MOST) >= self.all;
        let longest = longest.filter(|_| known && !usual(count));
        if self.all >= HALVE_AT {
            self.all /= 2;
            self.lengths.iter_mut().for_each(|(_, count)| *count /= 2);
            self.lengths.retain(|(_, count)| *count > 0);
        }
        longest
    }
}
