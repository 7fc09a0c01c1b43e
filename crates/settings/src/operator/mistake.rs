//! A mistake in the operators' file, and the list in which the checks collect them.

use super::source_text;
use std::fmt;

/// One mistake in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The line, from 1; 0 for the file as a whole.
    pub line: usize,
    /// The field, as in `budget[1].held.units`; empty for the file as a whole.
    pub field: String,
    /// What was expected.
    pub problem: String,
}

impl Mistake {
    /// A mistake of the file as a whole.
    pub fn of_whole_file(problem: impl ToString) -> Mistake {
        Mistake { line: 0, field: String::new(), problem: problem.to_string() }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.problem)
    }
}

/// Collects the mistakes that the checks find, each with the line of the table that it is in.
pub struct MistakeList<'a> {
    text: &'a str,
    found: Vec<Mistake>,
}

impl<'a> MistakeList<'a> {
    /// Continues `found`, the mistakes of form in this text.
    pub fn new(text: &'a str, found: Vec<Mistake>) -> MistakeList<'a> {
        MistakeList { text, found }
    }

    /// Adds a mistake of `field` that is in the first table or field `name`.
    pub fn add(&mut self, name: &str, field: &str, problem: &str) {
        self.add_repeated(name, 0, field, problem);
    }

    /// Adds a mistake of `field` that is in the `index`th table or field `name`, counted from 0.
    pub fn add_repeated(&mut self, name: &str, index: usize, field: &str, problem: &str) {
        let line = source_text::line_of_field(self.text, name, index).unwrap_or(0);
        self.found.push(Mistake { line, field: field.to_string(), problem: problem.to_string() });
    }

    /// The mistakes, in the order in which they were found.
    pub fn into_vec(self) -> Vec<Mistake> {
        self.found
    }
}
