//! The operators' own file, in protobuf's text format: read whole, with every mistake named by line and field.

use linenhill_decisions::disruption::{DisruptionLimit, DisruptionPolicy};
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::{Budget, Budgets, MAX_BUDGETS};
use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

static SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));

/// Mistakes that are looked for in one reading.
const MISTAKES_MOST: usize = 50;
/// Keepers there may be.
const KEEPERS: [usize; 3] = [1, 3, 5];

/// What a budget bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    /// Connections at each member.
    Connections,
    /// Attempts in flight at each member.
    Attempts,
    /// Second and later attempts.
    Repeats,
    /// Probes.
    Probes,
    /// Requests of one class that are let in.
    Admissions,
    /// What each proxy counts as its part of the work of all.
    Load,
}

#[derive(Clone, PartialEq, Message)]
struct FileDoc {
    #[prost(string, tag = "1")]
    cluster: String,
    #[prost(message, optional, tag = "2")]
    instance: Option<InstanceDoc>,
    #[prost(message, repeated, tag = "3")]
    keeper: Vec<KeeperDoc>,
    #[prost(message, optional, tag = "4")]
    terms: Option<TermsDoc>,
    #[prost(message, repeated, tag = "5")]
    budget: Vec<BudgetDoc>,
    #[prost(uint64, tag = "6")]
    revision: u64,
    #[prost(message, optional, tag = "7")]
    outages: Option<OutagesDoc>,
}

#[derive(Clone, PartialEq, Message)]
struct OutagesDoc {
    #[prost(message, optional, tag = "1")]
    proxies: Option<CapDoc>,
    #[prost(message, optional, tag = "2")]
    zone: Option<CapDoc>,
    #[prost(uint64, tag = "3")]
    least: u64,
    #[prost(message, optional, tag = "4")]
    members: Option<CapDoc>,
    #[prost(uint64, tag = "5")]
    members_least: u64,
}

#[derive(Clone, PartialEq, Message)]
struct CapDoc {
    #[prost(uint64, optional, tag = "1")]
    count: Option<u64>,
    #[prost(uint64, optional, tag = "2")]
    percent: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct InstanceDoc {
    #[prost(string, tag = "1")]
    listen: String,
    #[prost(string, repeated, tag = "2")]
    allow: Vec<String>,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(string, tag = "4")]
    store: String,
}

#[derive(Clone, PartialEq, Message)]
struct KeeperDoc {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    address: String,
}

#[derive(Clone, PartialEq, Message)]
struct TermsDoc {
    #[prost(uint64, tag = "1")]
    lease_ms: u64,
    #[prost(uint64, tag = "2")]
    membership_ms: u64,
    #[prost(uint64, tag = "3")]
    drift_ppm: u64,
}

#[derive(Clone, PartialEq, Message)]
struct BudgetDoc {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(int32, tag = "2")]
    what: i32,
    #[prost(string, tag = "3")]
    class: String,
    #[prost(message, optional, tag = "4")]
    held: Option<HeldDoc>,
    #[prost(message, optional, tag = "5")]
    rate: Option<RateDoc>,
    #[prost(uint64, tag = "6")]
    floor: u64,
}

#[derive(Clone, PartialEq, Message)]
struct HeldDoc {
    #[prost(uint64, tag = "1")]
    units: u64,
    #[prost(uint64, tag = "2")]
    outlives_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RateDoc {
    #[prost(uint64, tag = "1")]
    per_second: u64,
    #[prost(uint64, tag = "2")]
    burst: u64,
}

/// A keeper as the file names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keeper {
    /// Its name.
    pub name: String,
    /// Where this instance reaches it.
    pub address: SocketAddr,
}

/// What binds where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Binding {
    /// The budget's name.
    pub budget: String,
    /// What it bounds.
    pub what: What,
    /// The class, for admissions.
    pub class: Option<String>,
}

/// The operators' file, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The fleet's name.
    pub cluster: String,
    /// Where this instance is reached, if it is.
    pub listen: Option<SocketAddr>,
    /// From where.
    pub allow: Vec<ipnet::IpNet>,
    /// Its zone.
    pub zone: String,
    /// A keeper's folder.
    pub store: Option<PathBuf>,
    /// The keepers.
    pub keepers: Vec<Keeper>,
    /// How long things hold.
    pub terms: LeaseTerms,
    /// The budgets by name.
    pub budgets: Budgets,
    /// What they bound.
    pub bindings: Vec<Binding>,
    /// Which edition of terms and budgets it is: one that is not higher than that agreed on changes nothing.
    pub revision: u64,
    /// What may be out at once, if that is bounded.
    pub outages: Option<DisruptionPolicy>,
}

/// One mistake in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The line, from 1; 0 for the file as a whole.
    pub line: usize,
    /// The field, as in `budget[1].held.units`.
    pub field: String,
    /// What was expected.
    pub problem: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match (self.line, self.field.as_str()) {
            (0, "") => write!(f, "{}", self.problem),
            (0, field) => write!(f, "{field}: {}", self.problem),
            (line, "") => write!(f, "line {line}: {}", self.problem),
            (line, field) => write!(f, "line {line}: {field}: {}", self.problem),
        }
    }
}

/// Reads the file's text; else all that is wrong with it.
pub fn read(text: &str) -> Result<Operator, Vec<Mistake>> {
    let whole = |problem: String| vec![Mistake { line: 0, field: String::new(), problem }];
    let pool = DescriptorPool::decode(SCHEMA).map_err(|e| whole(e.to_string()))?;
    let schema = pool.get_message_by_name("linenhill.Operator").ok_or_else(|| whole("no schema".into()))?;
    let (mut left, mut mistakes) = (text.to_string(), Vec::new());
    let parsed = loop {
        match DynamicMessage::parse_text_format(schema.clone(), &left) {
            Ok(parsed) => break parsed,
            Err(problem) => {
                let at = span(&problem).unwrap_or((left.len(), 0));
                let (line, field) = (line_at(text, at.0), word_at(text, at.0));
                mistakes.push(Mistake { line, field, problem: problem.to_string() });
                // What was wrong is blanked out, so that what comes after it is read as well.
                if at.1 == 0 || mistakes.len() >= MISTAKES_MOST || !blank_field(&mut left, at.0) {
                    return Err(mistakes);
                }
            }
        }
    };
    let doc: FileDoc = parsed.transcode_to().map_err(|e| whole(e.to_string()))?;
    let operator = check(doc, text, &mut mistakes);
    if mistakes.is_empty() { Ok(operator) } else { Err(mistakes) }
}

/// Where a mistake of form begins and how long it is.
fn span(problem: &prost_reflect::text_format::ParseError) -> Option<(usize, usize)> {
    use miette::Diagnostic;
    let label = problem.labels()?.next()?;
    Some((label.offset(), label.len().max(1)))
}

fn line_at(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|b| *b == b'\n').count() + 1
}

fn word_at(text: &str, at: usize) -> String {
    let word = |c: char| c.is_alphanumeric() || c == '_';
    text.get(at..).unwrap_or("").chars().take_while(|c| word(*c)).collect()
}

/// Blanks the field that begins on the line of `at`, to the end of its value; whether anything was there.
fn blank_field(text: &mut String, at: usize) -> bool {
    let mut bytes = std::mem::take(text).into_bytes();
    let from = bytes[..at.min(bytes.len())]
        .iter()
        .rposition(|b| matches!(b, b'\n' | b'{' | b';'))
        .map_or(0, |n| n + 1);
    let (mut depth, mut to, mut quoted, mut any) = (0i32, from, false, false);
    while to < bytes.len() {
        match bytes[to] {
            b'"' => quoted = !quoted,
            b'{' if !quoted => depth += 1,
            b'}' if !quoted => {
                depth -= 1;
                if depth < 0 {
                    break;
                }
            }
            b'\n' if depth <= 0 => break,
            _ => {}
        }
        any |= !bytes[to].is_ascii_whitespace();
        if bytes[to] != b'\n' {
            bytes[to] = b' ';
        }
        to += 1;
    }
    *text = String::from_utf8(bytes).unwrap_or_default();
    any
}

/// The line on which the `nth` block or field of this name stands.
fn find(text: &str, name: &str, nth: usize) -> usize {
    let starts = |line: &str| {
        let line = line.trim_start();
        line.strip_prefix(name).is_some_and(|rest| rest.trim_start().starts_with(['{', ':']))
    };
    text.lines().enumerate().filter(|(_, l)| starts(l)).nth(nth).map_or(0, |(n, _)| n + 1)
}

fn check(doc: FileDoc, text: &str, mistakes: &mut Vec<Mistake>) -> Operator {
    let mut wrong = |line: usize, field: String, problem: &str| {
        mistakes.push(Mistake { line, field, problem: problem.to_string() });
    };
    if doc.cluster.is_empty() || doc.cluster.len() > 64 {
        wrong(find(text, "cluster", 0), "cluster".into(), "a name of 1 to 64 bytes is expected");
    }
    let instance = doc.instance.unwrap_or_default();
    let at = find(text, "instance", 0);
    let listen = match instance.listen.as_str() {
        "" => None,
        given => match given.parse() {
            Ok(address) => Some(address),
            Err(_) => {
                wrong(at, "instance.listen".into(), "an address as 10.0.0.4:7401 is expected");
                None
            }
        },
    };
    let mut allow = Vec::new();
    for (i, prefix) in instance.allow.iter().enumerate() {
        match prefix.parse::<ipnet::IpNet>() {
            Ok(net) => allow.push(net),
            Err(_) => wrong(at, format!("instance.allow[{i}]"), "a prefix as 10.0.0.0/8 is expected"),
        }
    }
    if allow.is_empty() {
        allow.extend("127.0.0.0/8".parse::<ipnet::IpNet>());
    }
    let (mut keepers, mut names) = (Vec::new(), BTreeSet::new());
    for (i, k) in doc.keeper.iter().enumerate() {
        let line = find(text, "keeper", i);
        if k.name.is_empty() || k.name.len() > 64 || !names.insert(k.name.clone()) {
            wrong(
                line,
                format!("keeper[{i}].name"),
                "a name of 1 to 64 bytes that no other keeper has is expected",
            );
        }
        match k.address.parse() {
            Ok(address) => keepers.push(Keeper { name: k.name.clone(), address }),
            Err(_) => wrong(line, format!("keeper[{i}].address"), "an address as 10.0.0.4:7401 is expected"),
        }
    }
    if !KEEPERS.contains(&doc.keeper.len()) {
        wrong(find(text, "keeper", 0), "keeper".into(), "3 or 5 keepers are expected (1 to try it)");
    }
    let terms = doc.terms.unwrap_or_default();
    let at = find(text, "terms", 0);
    if !(100..=60_000).contains(&terms.lease_ms) {
        wrong(at, "terms.lease_ms".into(), "100 to 60000 is expected");
    }
    if terms.membership_ms < terms.lease_ms.saturating_mul(2) || terms.membership_ms > 3_600_000 {
        wrong(at, "terms.membership_ms".into(), "two leases to an hour is expected");
    }
    if !(1..=200_000).contains(&terms.drift_ppm) {
        wrong(at, "terms.drift_ppm".into(), "1 to 200000 is expected");
    }
    let (mut budgets, mut bindings) = (Budgets::new(), Vec::new());
    if doc.budget.len() > MAX_BUDGETS {
        wrong(find(text, "budget", MAX_BUDGETS), "budget".into(), "64 budgets at most are expected");
    }
    for (i, b) in doc.budget.iter().enumerate() {
        let (line, field) = (find(text, "budget", i), |name: &str| format!("budget[{i}].{name}"));
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if b.name.is_empty()
            || b.name.len() > 64
            || !b.name.chars().all(plain)
            || budgets.contains_key(&b.name)
        {
            wrong(line, field("name"), "a name of its own of letters, digits, - and _ is expected");
        }
        let (what, rated) = match b.what {
            1 => (What::Connections, false),
            2 => (What::Attempts, false),
            3 => (What::Repeats, true),
            4 => (What::Probes, true),
            5 => (What::Admissions, true),
            6 => (What::Load, false),
            _ => {
                wrong(
                    line,
                    field("what"),
                    "CONNECTIONS, ATTEMPTS, REPEATS, PROBES, ADMISSIONS or LOAD is expected",
                );
                continue;
            }
        };
        if (what == What::Admissions) == b.class.is_empty() {
            wrong(line, field("class"), "a class is expected for ADMISSIONS, and for nothing else");
        }
        let budget = match (&b.held, &b.rate, rated) {
            (Some(held), None, false) => {
                if held.units == 0 || held.units > 1 << 32 {
                    wrong(line, field("held.units"), "at least 1 is expected");
                }
                if held.outlives_ms == 0 || held.outlives_ms > 3_600_000 {
                    wrong(line, field("held.outlives_ms"), "1 to 3600000 is expected");
                }
                let outlives_us = held.outlives_ms.saturating_mul(1_000);
                if what == What::Load && b.floor == 0 {
                    wrong(line, field("floor"), "at least 1 is expected for LOAD");
                }
                let each = what != What::Load;
                Budget { total: held.units, floor: b.floor, burst: 0, outlives_us, per_key: each }
            }
            (None, Some(rate), true) => {
                if rate.per_second == 0 || rate.per_second > 1 << 32 {
                    wrong(line, field("rate.per_second"), "at least 1 is expected");
                }
                if rate.burst == 0 || rate.burst > 1 << 32 {
                    wrong(line, field("rate.burst"), "at least 1 is expected");
                }
                let milli = |units: u64| units.saturating_mul(1_000);
                let (whole, floor) = (milli(rate.per_second), milli(b.floor));
                Budget { total: whole, floor, burst: rate.burst, outlives_us: 0, per_key: false }
            }
            _ => {
                let expected =
                    if rated { "rate, and not held, is expected" } else { "held, and not rate, is expected" };
                wrong(line, field(if rated { "rate" } else { "held" }), expected);
                continue;
            }
        };
        if budget.floor > budget.total {
            wrong(line, field("floor"), "no more than the whole is expected");
        }
        budgets.insert(b.name.clone(), budget);
        let class = Some(b.class.clone()).filter(|c| !c.is_empty());
        bindings.push(Binding { budget: b.name.clone(), what, class });
    }
    let outages = doc.outages.map(|o| {
        let at = find(text, "outages", 0);
        let mut cap = |doc: Option<CapDoc>, name: &str| {
            let CapDoc { count, percent } = doc.unwrap_or_default();
            if percent.is_some_and(|p| p > 100) {
                wrong(at, format!("outages.{name}.percent"), "0 to 100 is expected");
            }
            DisruptionLimit { count, percent }
        };
        let (fleet, zone) = (cap(o.proxies, "proxies"), cap(o.zone, "zone"));
        let group = cap(o.members, "members");
        DisruptionPolicy {
            fleet,
            zone,
            min_in_service: o.least,
            group,
            group_min_in_service: o.members_least,
        }
    });
    let us = |ms: u64| ms.saturating_mul(1_000);
    Operator {
        cluster: doc.cluster,
        listen,
        allow,
        zone: instance.zone,
        store: Some(instance.store).filter(|s| !s.is_empty()).map(PathBuf::from),
        keepers,
        terms: LeaseTerms {
            lease_us: us(terms.lease_ms),
            membership_us: us(terms.membership_ms),
            drift_ppm: terms.drift_ppm,
        },
        budgets,
        bindings,
        revision: doc.revision,
        outages,
    }
}
