//! The settings in the platform's JSON form, before validation.
//!
//! Field names are defined by the platform and must not change; [`super::tables`] and [`super::classes`] map them to
//! the names used in the rest of the program. Durations are in microseconds.

use miniserde::Deserialize;

/// The settings of a site as parsed from JSON; [`Profile::site`] validates and converts them.
#[derive(Deserialize)]
pub struct Profile {
    pub(super) tick: Option<f64>,
    #[serde(rename = "fleetSize")]
    pub(super) fleet_size: Option<u32>,
    pub(super) me: Option<u32>,
    pub(super) zone: Option<String>,
    pub(super) classes: Option<Vec<ClassDoc>>,
    pub(super) tenants: Option<Vec<TenantDoc>>,
    #[serde(rename = "overShareWorth")]
    pub(super) over_share_worth: Option<f64>,
    pub(super) goal: Option<GoalDoc>,
    pub(super) discovery: Option<String>,
    pub(super) limits: Option<LimitsDoc>,
    pub(super) prices: Option<PricesDoc>,
    pub(super) rules: Option<RulesDoc>,
    pub(super) specifics: Option<SpecificsDoc>,
}

/// Weights of the site's service objective.
#[derive(Deserialize)]
pub struct GoalDoc {
    pub whole: Option<f64>,
    #[serde(rename = "worstClass")]
    pub worst_class: Option<f64>,
}

/// One class of requests.
#[derive(Deserialize)]
pub struct ClassDoc {
    pub name: Option<String>,
    pub slo: Option<f64>,
    #[serde(rename = "giveUp")]
    pub give_up: Option<f64>,
    pub semantics: Option<String>,
    pub group: Option<String>,
    pub window: Option<f64>,
    pub points: Option<f64>,
    #[serde(rename = "lateWorth")]
    pub late_worth: Option<f64>,
}

/// One tenant and its allowance.
#[derive(Deserialize)]
pub struct TenantDoc {
    pub name: Option<String>,
    #[serde(rename = "allowancePerS")]
    pub allowance_per_s: Option<f64>,
}

/// Features that the platform permits, and its limits.
#[derive(Deserialize)]
pub struct LimitsDoc {
    pub cancel: Option<bool>,
    #[serde(rename = "mayProbe")]
    pub may_probe: Option<bool>,
    pub peers: Option<bool>,
    #[serde(rename = "secondCopies")]
    pub second_copies: Option<bool>,
    #[serde(rename = "maxAttempts")]
    pub max_attempts: Option<u32>,
    #[serde(rename = "maxOpen")]
    pub max_open: Option<u32>,
    #[serde(rename = "connectTimeout")]
    pub connect_timeout: Option<f64>,
    #[serde(rename = "idleClose")]
    pub idle_close: Option<f64>,
    #[serde(rename = "retryAfter")]
    pub retry_after: Option<bool>,
    #[serde(rename = "maxRetryAfter")]
    pub max_retry_after: Option<f64>,
}

/// Costs of actions.
#[derive(Default, Deserialize)]
pub struct PricesDoc {
    #[serde(rename = "crossZone")]
    pub cross_zone: Option<f64>,
    pub probe: Option<f64>,
    pub peer: Option<f64>,
}

/// Parameters of the platform's rules.
#[derive(Deserialize)]
pub struct RulesDoc {
    #[serde(rename = "askWithin")]
    pub ask_within: Option<f64>,
    #[serde(rename = "drainGrace")]
    pub drain_grace: Option<f64>,
    #[serde(rename = "coldFrom")]
    pub cold_from: Option<f64>,
    pub cold: Option<f64>,
    #[serde(rename = "fallMultiple")]
    pub fall_multiple: Option<f64>,
    pub fall: Option<f64>,
    #[serde(rename = "droppedStayOpen")]
    pub dropped_stay_open: Option<bool>,
}

/// Properties of the site's members and clients. `readLevel` and `classBound` have one entry per class.
#[derive(Deserialize)]
pub struct SpecificsDoc {
    #[serde(rename = "readLevel")]
    pub read_level: Option<Vec<String>>,
    #[serde(rename = "classBound")]
    pub class_bound: Option<Vec<f64>>,
    #[serde(rename = "serverChecks")]
    pub server_checks: Option<String>,
    pub wait: Option<f64>,
    #[serde(rename = "writeMarks")]
    pub write_marks: Option<String>,
    #[serde(rename = "countedFrom")]
    pub counted_from: Option<f64>,
    #[serde(rename = "showsRole")]
    pub shows_role: Option<String>,
}
