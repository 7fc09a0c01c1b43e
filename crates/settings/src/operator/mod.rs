//! The operators' own file, in protobuf's text format: read whole, with every mistake named by line and field.
//!
//! `proto/operator.proto` is its schema. Nothing here changes the file, opens a socket or knows what is agreed on in the
//! fleet: a file is either without a mistake, or none of it is used.

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

/// Mistakes of form that are looked for in one reading, which parses the text anew after each of them.
const MAX_SYNTAX_MISTAKES: usize = 50;

/// What a budget bounds; `what` in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BudgetKind {
    /// Connections at each member.
    Connections,
    /// Attempts in flight at each member.
    Attempts,
    /// Second and later attempts.
    Repeats,
    /// Health checks.
    Probes,
    /// Requests of one class that are admitted.
    Admissions,
    /// The part of the fleet's load that each proxy counts as its own.
    Load,
}

impl BudgetKind {
    /// The kind by its number in the schema's `enum What`.
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

    /// Whether there is a budget of its own for each member.
    fn is_per_member(self) -> bool {
        matches!(self, BudgetKind::Connections | BudgetKind::Attempts)
    }
}

/// A keeper as the file names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keeper {
    /// Its name.
    pub name: String,
    /// The address at which this instance reaches it.
    pub address: SocketAddr,
}

/// Which budget bounds what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Binding {
    /// The budget's name.
    pub budget: String,
    /// What it bounds.
    pub kind: BudgetKind,
    /// The name of the class, for [`BudgetKind::Admissions`] alone.
    pub class: Option<String>,
}

/// The operators' file, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The fleet's name.
    pub cluster: String,
    /// The address at which other instances and operators reach this one, if they do.
    pub listen: Option<SocketAddr>,
    /// The prefixes from which it is reached.
    pub allow: Vec<ipnet::IpNet>,
    /// The zone of this instance.
    pub zone: String,
    /// The directory of a keeper's store.
    pub store: Option<PathBuf>,
    /// The keepers.
    pub keepers: Vec<Keeper>,
    /// Durations of leases and of membership, and the bound on clocks.
    pub terms: LeaseTerms,
    /// The budgets by name.
    pub budgets: Budgets,
    /// What the budgets bound.
    pub bindings: Vec<Binding>,
    /// The edition of terms, budgets and limits on outages: one that is not higher than that agreed on changes nothing.
    pub revision: u64,
    /// What may be out of service at once, if that is bounded.
    pub outages: Option<DisruptionPolicy>,
}

/// Reads the text of an operators' file.
///
/// # Errors
///
/// All mistakes that were found: those of form first, then those of content in the order of the schema. There is at least
/// one.
pub fn read(text: &str) -> Result<Operator, Vec<Mistake>> {
    let schema = file_schema().map_err(|mistake| vec![mistake])?;
    let (message, syntax_mistakes) = parse(&schema, text)?;
    let document: FileDoc = message.transcode_to().map_err(|error| vec![Mistake::of_whole_file(error)])?;
    let mut mistakes = MistakeList::new(text, syntax_mistakes);
    let operator = check::check(document, &mut mistakes);
    let mistakes = mistakes.into_vec();
    if mistakes.is_empty() { Ok(operator) } else { Err(mistakes) }
}

/// The description of the file's outermost message.
fn file_schema() -> Result<MessageDescriptor, Mistake> {
    let pool = DescriptorPool::decode(SCHEMA).map_err(Mistake::of_whole_file)?;
    pool.get_message_by_name("linenhill.Operator").ok_or_else(|| Mistake::of_whole_file("no schema"))
}

/// Parses the text and passes over the fields that are wrong in form; with the mistakes in them. Fails where nothing can be
/// passed over, or after [`MAX_SYNTAX_MISTAKES`].
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

/// Where in the text an error of form is, in bytes.
fn error_offset(error: &ParseError) -> Option<usize> {
    Some(error.labels()?.next()?.offset())
}
