//! The platform's settings: parsed from JSON, validated, and converted to the types of the decisions and their drivers.
//!
//! The adapter and the proxy share this module, so it must not require settings that only one of them needs.

mod classes;
mod document;
mod tables;
mod values;

pub use document::Profile;

use crate::NameInterner;
use crate::json::{JsonError, required};
use classes::convert_classes;
use linenhill_decisions::api::{ClassId, Micros, Settings, TenantId, ZoneId};
use std::collections::BTreeMap;
use tables::{
    convert_discovery, convert_goal, convert_limits, convert_prices, convert_rules, convert_server_checks,
    convert_shows_role, convert_tenants, convert_write_marks,
};
use values::{micros_or_zero, required_positive};

/// Valid settings: those of the decisions, and those that only their drivers need.
pub struct Site {
    /// Settings of the decisions.
    pub settings: Settings,
    /// Ids of classes by name.
    pub classes: BTreeMap<String, ClassId>,
    /// Ids of tenants by name.
    pub tenants: BTreeMap<String, TenantId>,
    /// The longest client timeout of any class; 0 if no class has one.
    pub max_client_timeout: Micros,
    /// The most requests that one instance may have open; `usize::MAX` if the settings have no limit.
    pub max_open_requests: usize,
    /// The log position, in microseconds of Unix time, that is 0 on the simulator's wire.
    pub position_origin: u64,
}

impl Site {
    /// The names of the classes, in the order of their ids.
    pub fn class_names(&self) -> Vec<&str> {
        let mut names: Vec<(ClassId, &str)> =
            self.classes.iter().map(|(name, id)| (*id, name.as_str())).collect();
        names.sort_unstable_by_key(|(id, _)| id.0);
        names.into_iter().map(|(_, name)| name).collect()
    }
}

impl Profile {
    /// Validates and converts all fields; the zone gets its number from `zones`.
    ///
    /// # Errors
    ///
    /// The first field that is missing or invalid, in this order: `specifics`, the classes, the tenants, a missing
    /// `limits` or `rules`, the other fields in the order of [`Settings`], `countedFrom`.
    pub fn site(self, zones: &mut NameInterner) -> Result<Site, JsonError> {
        let specifics = required("specifics", self.specifics)?;
        let classes = convert_classes(self.classes, &specifics)?;
        let max_client_timeout = classes.max_client_timeout();
        let tenants = convert_tenants(self.tenants.unwrap_or_default())?;
        let limits = required("limits", self.limits)?;
        let rules = required("rules", self.rules)?;
        let settings = Settings {
            tick: micros_or_zero("tick", self.tick)?,
            fleet_size: required_positive("fleetSize", self.fleet_size)?,
            fleet_index: self.me,
            zone: ZoneId(zones.intern(&required("zone", self.zone)?)),
            classes: classes.list,
            tenants: tenants.list,
            over_quota_weight: self.over_share_worth.unwrap_or(0.0),
            objective_weights: convert_goal(self.goal.as_ref())?,
            discovery: convert_discovery(self.discovery.as_deref())?,
            limits: convert_limits(&limits)?,
            costs: convert_prices(&self.prices.unwrap_or_default()),
            rules: convert_rules(&rules)?,
            position_check: convert_server_checks(&specifics)?,
            session_positions: convert_write_marks(&specifics)?,
            list_names_primary: convert_shows_role(&specifics)?,
        };
        Ok(Site {
            settings,
            classes: classes.ids,
            tenants: tenants.ids,
            max_client_timeout,
            max_open_requests: limits.max_open.map_or(usize::MAX, |count| count as usize),
            position_origin: micros_or_zero("specifics.countedFrom", specifics.counted_from)?.0,
        })
    }
}
