//! Maps names to small numbers; the decisions compare and index by number.

use std::collections::BTreeMap;

/// Assigns numbers to names in the order in which they first appear. A name keeps its number until it is removed, and a
/// number is never reused, so that a number that is still referenced never belongs to another name.
#[derive(Default)]
pub struct NameInterner {
    numbers: BTreeMap<String, usize>,
    next: usize,
}

impl NameInterner {
    /// The number of a name; an unknown name is assigned the next number.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(name.to_string(), number);
        number
    }

    /// Removes the names for whose numbers `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(usize) -> bool) {
        self.numbers.retain(|_, number| keep(*number));
    }
}
