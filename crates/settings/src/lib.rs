//! The settings as operators write them (JSON), read for the adapter and the proxy alike, and their checked
//! conversion into [`linenhill_decisions::api::Settings`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod operator;

use linenhill_decisions::api::*;
use miniserde::Deserialize;
use miniserde::json::{self, Array, Object, Value};
use std::collections::BTreeMap;
use std::fmt;

/// Bytes of a word to peers: the member, then milliseconds x 2 + 1 if it is primary.
pub const WORD_BYTES: usize = 10;

/// Where `rules.drainGrace` is not given: the shortest grace of the sites that this was written for, since to stop too
/// soon harms nobody.
pub const DRAIN_GRACE: Micros = Micros(250_000);

/// Why a JSON text can't be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormError {
    /// No JSON at all.
    NotJson,
    /// A field that must be there is not.
    Missing(String),
    /// A field holds something else than it should.
    Wrong(String),
    /// A field holds what can't be served, and what was expected.
    Unserved(String, &'static str),
}

impl fmt::Display for FormError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FormError::NotJson => write!(f, "the text is not JSON"),
            FormError::Missing(field) => write!(f, "field '{field}' is missing"),
            FormError::Wrong(field) => write!(f, "field '{field}' has a wrong value"),
            FormError::Unserved(field, expected) => {
                write!(f, "field '{field}' has a wrong value: expected {expected}")
            }
        }
    }
}

impl std::error::Error for FormError {}

/// Reads a JSON text whose fields are all optional, naming the first field of a wrong type.
pub fn parse<T: Deserialize>(text: &str) -> Result<T, FormError> {
    json::from_str(text).map_err(|_| match json::from_str::<Value>(text) {
        Err(_) => FormError::NotJson,
        Ok(root) => FormError::Wrong(culprit::<T>(&root)),
    })
}

/// miniserde doesn't say where it stopped: the field that fails also when it stands alone is at fault.
fn culprit<T: Deserialize>(root: &Value) -> String {
    enum Step<'a> {
        Key(&'a str),
        Place(usize),
    }
    let alone = |path: &[Step], leaf: &Value| {
        path.iter().rev().fold(leaf.clone(), |inner, step| match step {
            Step::Key(key) => {
                let mut object = Object::new();
                object.insert((*key).to_string(), inner);
                Value::Object(object)
            }
            Step::Place(_) => {
                let mut array = Array::new();
                array.push(inner);
                Value::Array(array)
            }
        })
    };
    let (mut path, mut at) = (Vec::new(), root);
    loop {
        let children: Vec<(Step, &Value)> = match at {
            Value::Object(o) => o.iter().map(|(k, v)| (Step::Key(k), v)).collect(),
            Value::Array(a) => a.iter().enumerate().map(|(i, v)| (Step::Place(i), v)).collect(),
            _ => Vec::new(),
        };
        let found = children.into_iter().find_map(|(step, child)| {
            path.push(step);
            let fails = json::from_str::<T>(&json::to_string(&alone(&path, child))).is_err();
            let step = path.pop();
            step.filter(|_| fails).map(|s| (s, child))
        });
        let Some((step, child)) = found else { break };
        path.push(step);
        at = child;
    }
    path.iter().fold(String::new(), |name, step| match step {
        Step::Key(key) if name.is_empty() => (*key).to_string(),
        Step::Key(key) => format!("{name}.{key}"),
        Step::Place(i) => format!("{name}[{i}]"),
    })
}

/// The value of a field that must be there.
pub fn need<T>(field: &str, value: Option<T>) -> Result<T, FormError> {
    value.ok_or_else(|| FormError::Missing(field.to_string()))
}

/// A count of microseconds; 0 when absent.
fn span(field: &str, value: Option<f64>) -> Result<Micros, FormError> {
    let v = value.unwrap_or(0.0);
    if v.is_finite() && v >= 0.0 { Ok(Micros(v as u64)) } else { Err(FormError::Wrong(field.to_string())) }
}

/// A weight from 0 to 1; 0 when absent.
fn portion(field: &str, value: Option<f64>) -> Result<f64, FormError> {
    let v = value.unwrap_or(0.0);
    if (0.0..=1.0).contains(&v) { Ok(v) } else { Err(FormError::Wrong(field.to_string())) }
}

/// Numbers for names, in the order of their first appearance; a name keeps its number until it is dropped, and
/// no number is used twice.
#[derive(Default)]
pub struct Names {
    numbers: BTreeMap<String, usize>,
    next: usize,
}

impl Names {
    /// The number of a name, new or known.
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        let next = self.next;
        self.next += 1;
        self.numbers.insert(name.to_string(), next);
        next
    }

    /// Drops the names whose numbers are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(usize) -> bool) {
        self.numbers.retain(|_, n| keep(*n));
    }
}

/// The settings in the form operators write them.
#[derive(Deserialize)]
pub struct Profile {
    tick: Option<f64>,
    #[serde(rename = "fleetSize")]
    fleet_size: Option<u32>,
    me: Option<u32>,
    zone: Option<String>,
    classes: Option<Vec<ClassInfo>>,
    tenants: Option<Vec<TenantInfo>>,
    #[serde(rename = "overShareWorth")]
    over_share_worth: Option<f64>,
    goal: Option<GoalDoc>,
    discovery: Option<String>,
    limits: Option<LimitInfo>,
    prices: Option<PriceInfo>,
    rules: Option<RuleInfo>,
    specifics: Option<Specifics>,
}

#[derive(Deserialize)]
struct GoalDoc {
    whole: Option<f64>,
    #[serde(rename = "worstClass")]
    worst_class: Option<f64>,
}

#[derive(Deserialize)]
struct ClassInfo {
    name: Option<String>,
    slo: Option<f64>,
    #[serde(rename = "giveUp")]
    give_up: Option<f64>,
    semantics: Option<String>,
    group: Option<String>,
    window: Option<f64>,
    points: Option<f64>,
    #[serde(rename = "lateWorth")]
    late_worth: Option<f64>,
}

#[derive(Deserialize)]
struct TenantInfo {
    name: Option<String>,
    #[serde(rename = "allowancePerS")]
    allowance_per_s: Option<f64>,
}

#[derive(Deserialize)]
struct LimitInfo {
    cancel: Option<bool>,
    #[serde(rename = "mayProbe")]
    may_probe: Option<bool>,
    peers: Option<bool>,
    #[serde(rename = "secondCopies")]
    second_copies: Option<bool>,
    #[serde(rename = "maxAttempts")]
    max_attempts: Option<u32>,
    #[serde(rename = "maxOpen")]
    max_open: Option<u32>,
    #[serde(rename = "connectTimeout")]
    connect_timeout: Option<f64>,
    #[serde(rename = "idleClose")]
    idle_close: Option<f64>,
    #[serde(rename = "retryAfter")]
    retry_after: Option<bool>,
    #[serde(rename = "maxRetryAfter")]
    max_retry_after: Option<f64>,
}

#[derive(Default, Deserialize)]
struct PriceInfo {
    #[serde(rename = "crossZone")]
    cross_zone: Option<f64>,
    probe: Option<f64>,
    peer: Option<f64>,
}

#[derive(Deserialize)]
struct RuleInfo {
    #[serde(rename = "askWithin")]
    ask_within: Option<f64>,
    #[serde(rename = "drainGrace")]
    drain_grace: Option<f64>,
    #[serde(rename = "coldFrom")]
    cold_from: Option<f64>,
    cold: Option<f64>,
    #[serde(rename = "fallMultiple")]
    fall_multiple: Option<f64>,
    fall: Option<f64>,
    #[serde(rename = "droppedStayOpen")]
    dropped_stay_open: Option<bool>,
}

#[derive(Deserialize)]
struct Specifics {
    #[serde(rename = "readLevel")]
    read_level: Option<Vec<String>>,
    #[serde(rename = "classBound")]
    class_bound: Option<Vec<f64>>,
    #[serde(rename = "serverChecks")]
    server_checks: Option<String>,
    wait: Option<f64>,
    #[serde(rename = "writeMarks")]
    write_marks: Option<String>,
    #[serde(rename = "countedFrom")]
    counted_from: Option<f64>,
    #[serde(rename = "showsRole")]
    shows_role: Option<String>,
}

/// The settings as the program uses them: what the decisions take, and what only their drivers need.
pub struct Site {
    /// For the decision module.
    pub settings: Settings,
    /// Class names.
    pub classes: BTreeMap<String, ClassId>,
    /// Tenant names.
    pub tenants: BTreeMap<String, TenantId>,
    /// The longest that a client waits, over all classes.
    pub longest: Micros,
    /// Requests that one instance may hold.
    pub max_open: usize,
    /// Where positions are counted from on the simulator's wire, in microseconds.
    pub zero: u64,
}

impl Site {
    /// The names of the classes, in the order of their numbers.
    pub fn class_names(&self) -> Vec<&str> {
        let mut names: Vec<(ClassId, &str)> =
            self.classes.iter().map(|(name, id)| (*id, name.as_str())).collect();
        names.sort_unstable_by_key(|(id, _)| id.0);
        names.into_iter().map(|(_, name)| name).collect()
    }
}

impl Profile {
    /// Checks every field and numbers the zones by `zones`.
    pub fn site(self, zones: &mut Names) -> Result<Site, FormError> {
        let unserved = |field: &str, expected| FormError::Unserved(field.to_string(), expected);
        let specifics = need("specifics", self.specifics)?;
        let levels = need("specifics.readLevel", specifics.read_level)?;
        let bounds = specifics.class_bound.unwrap_or_default();
        let (mut classes, mut names, mut longest) = (Vec::new(), BTreeMap::new(), Micros(0));
        for (i, c) in need("classes", self.classes)?.into_iter().enumerate() {
            let at = |field: &str| format!("classes[{i}].{field}");
            let level = need("specifics.readLevel", levels.get(i))?;
            let read_level = match level.as_str() {
                "mutate" => ReadLevel::Write,
                "strong" => ReadLevel::Fresh,
                "causal" => ReadLevel::Session,
                "lag_bound" => {
                    let bound = need("specifics.classBound", bounds.get(i).copied())?;
                    ReadLevel::Bounded(span("specifics.classBound", Some(bound))?)
                }
                "eventual" => ReadLevel::Any,
                _ => {
                    let expected = "mutate, strong, causal, lag_bound or eventual";
                    return Err(unserved("specifics.readLevel", expected));
                }
            };
            let scope = match c.group.as_deref() {
                Some("all") => DeduplicationScope::All,
                _ => DeduplicationScope::Group,
            };
            let idempotency = match need(&at("semantics"), c.semantics)?.as_str() {
                "read_like" => Idempotency::Idempotent,
                "idempotency_key" => Idempotency::Keyed { scope, window: span(&at("window"), c.window)? },
                "non_idempotent" => Idempotency::NotIdempotent,
                _ => {
                    let expected = "read_like, idempotency_key or non_idempotent";
                    return Err(unserved(&at("semantics"), expected));
                }
            };
            let latency_objective = span(&at("slo"), Some(need(&at("slo"), c.slo)?))?;
            let priority_weight = need(&at("points"), c.points)?;
            let client_timeout = span(&at("giveUp"), c.give_up)?;
            longest = longest.max(client_timeout);
            if names.insert(need(&at("name"), c.name)?, ClassId(i)).is_some() {
                return Err(unserved(&at("name"), "a name that no class before it has"));
            }
            classes.push(Class {
                latency_objective,
                client_timeout,
                idempotency,
                priority_weight,
                late_weight: c.late_worth.unwrap_or(0.0),
                read_level,
            });
        }
        let (mut tenants, mut tenant_names) = (Vec::new(), BTreeMap::new());
        for (i, t) in self.tenants.unwrap_or_default().into_iter().enumerate() {
            let allowance_per_s = need(&format!("tenants[{i}].allowancePerS"), t.allowance_per_s)?;
            tenants.push(Tenant { allowance_per_s });
            tenant_names.insert(need(&format!("tenants[{i}].name"), t.name)?, TenantId(i));
        }
        let limits = need("limits", self.limits)?;
        let prices = self.prices.unwrap_or_default();
        let rules = need("rules", self.rules)?;
        let settings = Settings {
            tick: span("tick", self.tick)?,
            fleet_size: match need("fleetSize", self.fleet_size)? {
                0 => return Err(unserved("fleetSize", "1 or more")),
                proxies => proxies,
            },
            fleet_index: self.me,
            zone: ZoneId(zones.number(&need("zone", self.zone)?)),
            classes,
            tenants,
            over_quota_weight: self.over_share_worth.unwrap_or(0.0),
            objective_weights: match self.goal {
                None => ObjectiveWeights { total: 1.0, worst_class: 0.0 },
                Some(doc) => ObjectiveWeights {
                    total: portion("goal.whole", doc.whole)?,
                    worst_class: portion("goal.worstClass", doc.worst_class)?,
                },
            },
            discovery: match need("discovery", self.discovery)?.as_str() {
                "pushed" => Discovery::Pushed,
                "on_request" => Discovery::OnRequest,
                _ => return Err(unserved("discovery", "pushed or on_request")),
            },
            limits: Limits {
                cancel: limits.cancel.unwrap_or(false),
                health_checks: limits.may_probe.unwrap_or(false),
                gossip: limits.peers.unwrap_or(false),
                hedging: limits.second_copies.unwrap_or(false),
                // With none nothing would ever be sent.
                max_attempts: match need("limits.maxAttempts", limits.max_attempts)? {
                    0 => return Err(unserved("limits.maxAttempts", "1 or more")),
                    most => most,
                },
                connect_timeout: span("limits.connectTimeout", limits.connect_timeout)?,
                idle_close: span("limits.idleClose", limits.idle_close)?,
                retry_after: limits.retry_after.unwrap_or(false),
                max_retry_after: span("limits.maxRetryAfter", limits.max_retry_after)?,
            },
            costs: Costs {
                cross_zone: prices.cross_zone.unwrap_or(0.0),
                health_check: prices.probe.unwrap_or(0.0),
                gossip: prices.peer.unwrap_or(0.0) * WORD_BYTES as f64 / 256.0,
            },
            rules: Rules {
                poll_within: match rules.ask_within {
                    None => Micros(u64::MAX),
                    given => span("rules.askWithin", given)?,
                },
                drain_grace: match rules.drain_grace {
                    None => DRAIN_GRACE,
                    given => span("rules.drainGrace", given)?,
                },
                slow_start_floor: need("rules.coldFrom", rules.cold_from)?,
                slow_start: span("rules.cold", Some(need("rules.cold", rules.cold)?))?,
                overload_multiple: need("rules.fallMultiple", rules.fall_multiple)?,
                overload_duration: span("rules.fall", Some(need("rules.fall", rules.fall)?))?,
                removed_members_stay_usable: rules.dropped_stay_open.unwrap_or(false),
            },
            position_check: match need("specifics.serverChecks", specifics.server_checks)?.as_str() {
                "off" => PositionCheck::None,
                "bounce" => PositionCheck::Reject,
                "await" => PositionCheck::Wait(span("specifics.wait", specifics.wait)?),
                _ => return Err(unserved("specifics.serverChecks", "off, bounce or await")),
            },
            session_positions: match need("specifics.writeMarks", specifics.write_marks)?.as_str() {
                "brought" => SessionPositions::CarriedByRequest,
                "kept" => SessionPositions::Remembered,
                _ => return Err(unserved("specifics.writeMarks", "brought or kept")),
            },
            list_names_primary: match need("specifics.showsRole", specifics.shows_role)?.as_str() {
                "off" => false,
                "trailing" | "static" => true,
                _ => return Err(unserved("specifics.showsRole", "off, trailing or static")),
            },
        };
        let zero = span("specifics.countedFrom", specifics.counted_from)?.0;
        let max_open = limits.max_open.map_or(usize::MAX, |n| n as usize);
        Ok(Site { settings, classes: names, tenants: tenant_names, longest, max_open, zero })
    }
}
