//! Converts the tables of the settings other than classes, one function per table.

use super::document::{GoalDoc, LimitsDoc, PricesDoc, RulesDoc, SpecificsDoc, TenantDoc};
use super::values::{
    micros_or, micros_or_zero, required_micros, required_positive, unexpected, weight_or_zero,
};
use crate::json::{JsonError, required};
use crate::{DEFAULT_DRAIN_GRACE, GOSSIP_MESSAGE_BYTES};
use linenhill_decisions::api::{
    Costs, Discovery, Limits, Micros, ObjectiveWeights, PositionCheck, Rules, SessionPositions, Tenant,
    TenantId,
};
use std::collections::BTreeMap;

/// `prices.peer` is the cost of a gossip message of this many bytes.
const PRICED_GOSSIP_BYTES: f64 = 256.0;

/// The tenants, indexed by [`TenantId`], and their ids by name.
#[derive(Default)]
pub struct Tenants {
    pub list: Vec<Tenant>,
    pub ids: BTreeMap<String, TenantId>,
}

pub fn convert_tenants(documents: Vec<TenantDoc>) -> Result<Tenants, JsonError> {
    let mut tenants = Tenants::default();
    for (index, document) in documents.into_iter().enumerate() {
        let path = |field: &str| format!("tenants[{index}].{field}");
        let allowance_per_s = required(&path("allowancePerS"), document.allowance_per_s)?;
        tenants.list.push(Tenant { allowance_per_s });
        tenants.ids.insert(required(&path("name"), document.name)?, TenantId(index));
    }
    Ok(tenants)
}

/// Converts the weights of the objective; without a goal, only the total over all classes counts.
pub fn convert_goal(goal: Option<&GoalDoc>) -> Result<ObjectiveWeights, JsonError> {
    let Some(goal) = goal else {
        return Ok(ObjectiveWeights { total: 1.0, worst_class: 0.0 });
    };
    Ok(ObjectiveWeights {
        total: weight_or_zero("goal.whole", goal.whole)?,
        worst_class: weight_or_zero("goal.worstClass", goal.worst_class)?,
    })
}

pub fn convert_discovery(discovery: Option<&str>) -> Result<Discovery, JsonError> {
    match required("discovery", discovery)? {
        "pushed" => Ok(Discovery::Pushed),
        "on_request" => Ok(Discovery::OnRequest),
        other => Err(unexpected("discovery", "pushed or on_request", other)),
    }
}

/// Converts the limits; a missing feature is forbidden, and a missing duration is 0.
pub fn convert_limits(limits: &LimitsDoc) -> Result<Limits, JsonError> {
    Ok(Limits {
        cancel: limits.cancel.unwrap_or(false),
        health_checks: limits.may_probe.unwrap_or(false),
        gossip: limits.peers.unwrap_or(false),
        hedging: limits.second_copies.unwrap_or(false),
        // With 0 attempts no request could be sent.
        max_attempts: required_positive("limits.maxAttempts", limits.max_attempts)?,
        connect_timeout: micros_or_zero("limits.connectTimeout", limits.connect_timeout)?,
        idle_close: micros_or_zero("limits.idleClose", limits.idle_close)?,
        retry_after: limits.retry_after.unwrap_or(false),
        max_retry_after: micros_or_zero("limits.maxRetryAfter", limits.max_retry_after)?,
    })
}

/// Converts the costs of actions; an action without a price is free.
pub fn convert_prices(prices: &PricesDoc) -> Costs {
    Costs {
        cross_zone: prices.cross_zone.unwrap_or(0.0),
        health_check: prices.probe.unwrap_or(0.0),
        gossip: prices.peer.unwrap_or(0.0) * GOSSIP_MESSAGE_BYTES as f64 / PRICED_GOSSIP_BYTES,
    }
}

pub fn convert_rules(rules: &RulesDoc) -> Result<Rules, JsonError> {
    Ok(Rules {
        // Without `askWithin`, an instance counts as notified only when it polls.
        poll_within: micros_or(Micros(u64::MAX), "rules.askWithin", rules.ask_within)?,
        drain_grace: micros_or(DEFAULT_DRAIN_GRACE, "rules.drainGrace", rules.drain_grace)?,
        slow_start_floor: required("rules.coldFrom", rules.cold_from)?,
        slow_start: required_micros("rules.cold", rules.cold)?,
        overload_multiple: required("rules.fallMultiple", rules.fall_multiple)?,
        overload_duration: required_micros("rules.fall", rules.fall)?,
        removed_members_stay_usable: rules.dropped_stay_open.unwrap_or(false),
    })
}

pub fn convert_server_checks(specifics: &SpecificsDoc) -> Result<PositionCheck, JsonError> {
    let field = "specifics.serverChecks";
    match required(field, specifics.server_checks.as_deref())? {
        "off" => Ok(PositionCheck::None),
        "bounce" => Ok(PositionCheck::Reject),
        "await" => Ok(PositionCheck::Wait(micros_or_zero("specifics.wait", specifics.wait)?)),
        other => Err(unexpected(field, "off, bounce or await", other)),
    }
}

pub fn convert_write_marks(specifics: &SpecificsDoc) -> Result<SessionPositions, JsonError> {
    let field = "specifics.writeMarks";
    match required(field, specifics.write_marks.as_deref())? {
        "brought" => Ok(SessionPositions::CarriedByRequest),
        "kept" => Ok(SessionPositions::Remembered),
        other => Err(unexpected(field, "brought or kept", other)),
    }
}

/// Whether lists name primaries. Roles that lag behind (`trailing`) and roles that never change (`static`) are treated
/// alike.
pub fn convert_shows_role(specifics: &SpecificsDoc) -> Result<bool, JsonError> {
    let field = "specifics.showsRole";
    match required(field, specifics.shows_role.as_deref())? {
        "off" => Ok(false),
        "trailing" | "static" => Ok(true),
        other => Err(unexpected(field, "off, trailing or static", other)),
    }
}
