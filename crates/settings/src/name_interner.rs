//! Small numbers in the place of names, for the decisions, which compare and index by number.

use std::collections::BTreeMap;

/// Gives each name a number, in the order of their first appearance. A name keeps its number until it is dropped, and no
/// number is used for two names, so a number that is still in use somewhere never comes to mean another name.
#[derive(Default)]
pub struct NameInterner {
    numbers: BTreeMap<String, usize>,
    next: usize,
}

impl NameInterner {
    /// The number of a name; a new one if the name is not known.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(name.to_string(), number);
        number
    }

    /// Drops the names whose numbers `keep` does not accept.
    pub fn retain(&mut self, keep: impl Fn(usize) -> bool) {
        self.numbers.retain(|_, number| keep(*number));
    }
}
