//! Validates the operators' file table by table and converts it to an [`Operator`].
//!
//! A failed check adds a mistake and validation continues, so that operators see all mistakes at once. The result may
//! be used only if no mistake was added.

use super::budgets::check_budgets;
use super::document::{CapDoc, FileDoc, InstanceDoc, KeeperDoc, OutagesDoc, TermsDoc};
use super::mistake::MistakeList;
use super::{Keeper, Operator};
use ipnet::{IpNet, Ipv4Net};
use linenhill_decisions::disruption::{DisruptionLimit, DisruptionPolicy};
use linenhill_decisions::membership::{LeaseTerms, MAX_NAME_BYTES};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Allowed numbers of keepers: 1 is for trials, and an even number tolerates no more failures than the odd number below
/// it.
const KEEPER_COUNTS: [usize; 3] = [1, 3, 5];
/// Allowed lease durations, in milliseconds.
const LEASE_MS: RangeInclusive<u64> = 100..=60_000;
/// The longest membership, an hour, in milliseconds.
const MAX_MEMBERSHIP_MS: u64 = 3_600_000;
/// Allowed bounds on the drift of clocks, in parts per million.
const DRIFT_PPM: RangeInclusive<u64> = 1..=200_000;
/// Allowed percentages of limits on disruptions.
const PERCENT: RangeInclusive<u64> = 0..=100;

/// Validates all tables; mistakes are added in the order of the schema.
pub fn check(document: FileDoc, mistakes: &mut MistakeList) -> Operator {
    if !is_name(&document.cluster) {
        let problem = format!("must have 1 to {MAX_NAME_BYTES} bytes, got {}", document.cluster.len());
        mistakes.add("cluster", "cluster", problem);
    }
    let instance = document.instance.unwrap_or_default();
    let listen = check_listen(&instance, mistakes);
    let allow = check_allow(&instance, mistakes);
    let keepers = check_keepers(&document.keeper, mistakes);
    let terms = check_terms(&document.terms.unwrap_or_default(), mistakes);
    let (budgets, bindings) = check_budgets(&document.budget, mistakes);
    let outages = document.outages.map(|outages| check_outages(&outages, mistakes));
    Operator {
        cluster: document.cluster,
        listen,
        allow,
        zone: instance.zone,
        store: Some(instance.store).filter(|path| !path.is_empty()).map(PathBuf::from),
        keepers,
        terms,
        budgets,
        bindings,
        revision: document.revision,
        outages,
    }
}

/// Whether a name has a length that messages and the log accept: 1 to [`MAX_NAME_BYTES`] bytes.
pub fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// Converts milliseconds to microseconds; saturates, since values that are too large fail their own range checks.
pub fn microseconds(milliseconds: u64) -> u64 {
    milliseconds.saturating_mul(1_000)
}

/// The problem of a number outside its range.
pub fn out_of_range(range: &RangeInclusive<u64>, received: u64) -> String {
    format!("must be between {} and {}, got {received}", range.start(), range.end())
}

/// The problem of a text that is not a socket address.
fn not_an_address(received: &str) -> String {
    format!("must be an address such as 10.0.0.4:7401, got {received:?}")
}

fn check_listen(instance: &InstanceDoc, mistakes: &mut MistakeList) -> Option<SocketAddr> {
    if instance.listen.is_empty() {
        return None;
    }
    let address = instance.listen.parse().ok();
    if address.is_none() {
        mistakes.add("instance", "instance.listen", not_an_address(&instance.listen));
    }
    address
}

fn check_allow(instance: &InstanceDoc, mistakes: &mut MistakeList) -> Vec<IpNet> {
    let mut prefixes = Vec::new();
    for (index, prefix) in instance.allow.iter().enumerate() {
        match prefix.parse() {
            Ok(prefix) => prefixes.push(prefix),
            Err(_) => {
                let field = format!("instance.allow[{index}]");
                let problem = format!("must be an address prefix such as 10.0.0.0/8, got {prefix:?}");
                mistakes.add("instance", &field, problem);
            }
        }
    }
    if prefixes.is_empty() {
        prefixes.push(loopback());
    }
    prefixes
}

/// The only allowed prefix if the file has none: IPv4 loopback addresses.
fn loopback() -> IpNet {
    IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::new(127, 0, 0, 0), 8))
}

fn check_keepers(documents: &[KeeperDoc], mistakes: &mut MistakeList) -> Vec<Keeper> {
    let mut keepers = Vec::new();
    let mut names = BTreeSet::new();
    for (index, keeper) in documents.iter().enumerate() {
        if !is_name(&keeper.name) || !names.insert(&keeper.name) {
            let field = format!("keeper[{index}].name");
            let name = &keeper.name;
            let problem =
                format!("must have 1 to {MAX_NAME_BYTES} bytes and be unique among keepers, got {name:?}");
            mistakes.add_repeated("keeper", index, &field, problem);
        }
        match keeper.address.parse() {
            Ok(address) => keepers.push(Keeper { name: keeper.name.clone(), address }),
            Err(_) => {
                let field = format!("keeper[{index}].address");
                mistakes.add_repeated("keeper", index, &field, not_an_address(&keeper.address));
            }
        }
    }
    if !KEEPER_COUNTS.contains(&documents.len()) {
        let problem = format!("must be given 3 or 5 times (once for trials), got {}", documents.len());
        mistakes.add("keeper", "keeper", problem);
    }
    keepers
}

fn check_terms(terms: &TermsDoc, mistakes: &mut MistakeList) -> LeaseTerms {
    if !LEASE_MS.contains(&terms.lease_ms) {
        mistakes.add("terms", "terms.lease_ms", out_of_range(&LEASE_MS, terms.lease_ms));
    }
    let min_membership_ms = terms.lease_ms.saturating_mul(2);
    if !(min_membership_ms..=MAX_MEMBERSHIP_MS).contains(&terms.membership_ms) {
        let problem = format!(
            "must be between twice terms.lease_ms and {MAX_MEMBERSHIP_MS}, got {}",
            terms.membership_ms
        );
        mistakes.add("terms", "terms.membership_ms", problem);
    }
    if !DRIFT_PPM.contains(&terms.drift_ppm) {
        mistakes.add("terms", "terms.drift_ppm", out_of_range(&DRIFT_PPM, terms.drift_ppm));
    }
    LeaseTerms {
        lease_us: microseconds(terms.lease_ms),
        membership_us: microseconds(terms.membership_ms),
        drift_ppm: terms.drift_ppm,
    }
}

fn check_outages(outages: &OutagesDoc, mistakes: &mut MistakeList) -> DisruptionPolicy {
    DisruptionPolicy {
        fleet: check_limit(outages.proxies.as_ref(), "outages.proxies.percent", mistakes),
        zone: check_limit(outages.zone.as_ref(), "outages.zone.percent", mistakes),
        min_in_service: outages.least,
        group: check_limit(outages.members.as_ref(), "outages.members.percent", mistakes),
        group_min_in_service: outages.members_least,
    }
}

fn check_limit(limit: Option<&CapDoc>, percent_field: &str, mistakes: &mut MistakeList) -> DisruptionLimit {
    let CapDoc { count, percent } = limit.cloned().unwrap_or_default();
    if let Some(percent) = percent.filter(|percent| !PERCENT.contains(percent)) {
        mistakes.add("outages", percent_field, out_of_range(&PERCENT, percent));
    }
    DisruptionLimit { count, percent }
}
