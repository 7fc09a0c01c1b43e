//! The operators' file, in protobuf's text format with the schema `proto/operator.proto`.
//!
//! All mistakes are reported, each with its line and field; a file with any mistake is rejected completely. Parsing
//! does not depend on the fleet's replicated state, and has no side effects.

mod budgets;
mod check;
mod document;
mod mistake;
mod source_text;

pub use mistake::Mistake;

use document::FileDoc;
use linenhill_decisions::disruption::DisruptionPolicy;
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::Budgets;
use miette::Diagnostic;
use mistake::MistakeList;
use prost_reflect::text_format::ParseError;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The schema as `build.rs` compiles it.
static SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));

/// Limit on syntax errors reported at once: the text is parsed again after each of them.
const MAX_SYNTAX_MISTAKES: usize = 50;

/// The resource that a budget limits; `what` in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BudgetKind {
    /// Connections at each member.
    Connections,
    /// Attempts in flight at each member.
    Attempts,
    /// Second and later attempts of requests, at a rate.
    Repeats,
    /// Health checks, at a rate.
    Probes,
    /// Admitted requests of one class, at a rate.
    Admissions,
    /// The share of the fleet's load that each proxy counts as its own.
    Load,
}

impl BudgetKind {
    /// Converts a number of the schema's `enum What`; `None` for `NOTHING` and undefined numbers.
    fn from_wire(number: i32) -> Option<BudgetKind> {
        match number {
            1 => Some(BudgetKind::Connections),
            2 => Some(BudgetKind::Attempts),
            3 => Some(BudgetKind::Repeats),
            4 => Some(BudgetKind::Probes),
            5 => Some(BudgetKind::Admissions),
            6 => Some(BudgetKind::Load),
            _ => None,
        }
    }

    /// Whether units are spent at a rate; otherwise they are held and released.
    fn is_rate(self) -> bool {
        matches!(self, BudgetKind::Repeats | BudgetKind::Probes | BudgetKind::Admissions)
    }

    /// Whether the budget applies to each member separately.
    fn is_per_member(self) -> bool {
        matches!(self, BudgetKind::Connections | BudgetKind::Attempts)
    }
}

/// A keeper listed in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keeper {
    /// The keeper's name, unique in the file.
    pub name: String,
    /// The address at which this instance reaches the keeper.
    pub address: SocketAddr,
}

/// The use of a budget: its kind and, for admissions, its class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Binding {
    /// The name of the budget, a key of [`Operator::budgets`].
    pub budget: String,
    /// The resource that the budget limits.
    pub kind: BudgetKind,
    /// The name of the class; `None` unless the kind is [`BudgetKind::Admissions`].
    pub class: Option<String>,
}

/// A valid operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The fleet's name.
    pub cluster: String,
    /// The address on which this instance accepts connections of other instances and operators, if any.
    pub listen: Option<SocketAddr>,
    /// The address prefixes from which connections to `listen` are accepted; loopback if the file has none.
    pub allow: Vec<ipnet::IpNet>,
    /// The zone of this instance; may be empty.
    pub zone: String,
    /// The directory of the store; used by keepers only.
    pub store: Option<PathBuf>,
    /// The keepers: 1, 3 or 5.
    pub keepers: Vec<Keeper>,
    /// Durations of leases and of membership, and the bound on clock drift.
    pub terms: LeaseTerms,
    /// Budgets by name.
    pub budgets: Budgets,
    /// The uses of the budgets.
    pub bindings: Vec<Binding>,
    /// Revision of terms, budgets and limits on outages. The fleet replaces its current ones only if this revision is
    /// higher than theirs.
    pub revision: u64,
    /// Limits on simultaneous outages, if any.
    pub outages: Option<DisruptionPolicy>,
}

/// Parses and validates the text of an operators' file.
///
/// # Errors
///
/// At least one mistake: syntax errors first, then invalid values in the order of the schema. Only the syntax errors if
/// parsing could not continue after one of them.
pub fn read(text: &str) -> Result<Operator, Vec<Mistake>> {
    let schema = file_schema().map_err(|mistake| vec![mistake])?;
    let (message, syntax_mistakes) = parse(&schema, text)?;
    let document: FileDoc = message.transcode_to().map_err(|error| vec![Mistake::of_whole_file(error)])?;
    let mut mistakes = MistakeList::new(text, syntax_mistakes);
    let operator = check::check(document, &mut mistakes);
    let mistakes = mistakes.into_vec();
    if mistakes.is_empty() { Ok(operator) } else { Err(mistakes) }
}

/// The descriptor of the file's top-level message.
fn file_schema() -> Result<MessageDescriptor, Mistake> {
    let pool = DescriptorPool::decode(SCHEMA).map_err(Mistake::of_whole_file)?;
    pool.get_message_by_name("linenhill.Operator")
        .ok_or_else(|| Mistake::of_whole_file("the schema lacks linenhill.Operator"))
}

/// Parses the text, skipping fields with syntax errors; returns the message and these errors. Fails with the errors if
/// the field at an error can't be skipped, or after [`MAX_SYNTAX_MISTAKES`].
fn parse(schema: &MessageDescriptor, text: &str) -> Result<(DynamicMessage, Vec<Mistake>), Vec<Mistake>> {
    let mut mistakes = Vec::new();
    let mut remaining = text.to_string();
    loop {
        let error = match DynamicMessage::parse_text_format(schema.clone(), &remaining) {
            Ok(message) => return Ok((message, mistakes)),
            Err(error) => error,
        };
        let offset = error_offset(&error);
        let shown_offset = offset.unwrap_or(text.len());
        mistakes.push(Mistake {
            line: source_text::line_at(text, shown_offset),
            field: source_text::identifier_at(text, shown_offset),
            problem: error.to_string(),
        });
        let can_continue = mistakes.len() < MAX_SYNTAX_MISTAKES;
        let blanked =
            offset.filter(|_| can_continue).and_then(|offset| source_text::without_field(&remaining, offset));
        let Some(blanked) = blanked else { return Err(mistakes) };
        remaining = blanked;
    }
}

/// The byte offset of a syntax error; `None` if the parser does not give one.
fn error_offset(error: &ParseError) -> Option<usize> {
    Some(error.labels()?.next()?.offset())
}
