//! A mistake in the operators' file, and the list in which the checks collect them.

use super::source_text;
use std::fmt;

/// One mistake in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The line, from 1; 0 if the mistake is not in a particular line, or its line was not found.
    pub line: usize,
    /// The field, as in `budget[1].held.units`; empty if the mistake is not in a particular field.
    pub field: String,
    /// What was expected, and what the file has.
    pub problem: String,
}

impl Mistake {
    /// A mistake that is not in a particular line or field.
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

/// Collects the mistakes that the checks find, each with the line of its table or field.
pub struct MistakeList<'a> {
    text: &'a str,
    found: Vec<Mistake>,
}

impl<'a> MistakeList<'a> {
    /// A list that begins with `found`, the syntax errors in this text.
    pub fn new(text: &'a str, found: Vec<Mistake>) -> MistakeList<'a> {
        MistakeList { text, found }
    }

    /// Adds a mistake in `field`, reported at the first line that begins with the table or field `name`; without a line
    /// if there is none.
    pub fn add(&mut self, name: &str, field: &str, problem: impl Into<String>) {
        self.add_repeated(name, 0, field, problem);
    }

    /// Adds a mistake in `field`, reported at the `index`th line, from 0, that begins with the table or field `name`;
    /// without a line if there is none.
    pub fn add_repeated(&mut self, name: &str, index: usize, field: &str, problem: impl Into<String>) {
        let line = source_text::line_of_field(self.text, name, index).unwrap_or(0);
        self.found.push(Mistake { line, field: field.to_string(), problem: problem.into() });
    }

    /// The mistakes, in the order in which they were found.
    pub fn into_vec(self) -> Vec<Mistake> {
        self.found
    }
}
