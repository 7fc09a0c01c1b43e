//! Checks the operators' file table by table and converts it into what the program uses.
//!
//! A check never ends the reading: it adds its mistake and goes on, so that operators see all of them at once. What is
//! returned may be used only if no mistake was added.

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

/// How many keepers there may be: a majority of an even number bears no more losses than one of the number below.
const KEEPER_COUNTS: [usize; 3] = [1, 3, 5];
/// How long a lease may be. Milliseconds.
const LEASE_MS: RangeInclusive<u64> = 100..=60_000;
/// The longest membership: an hour. Milliseconds.
const MAX_MEMBERSHIP_MS: u64 = 3_600_000;
/// How far off clocks may be assumed to be. Millionths.
const DRIFT_PPM: RangeInclusive<u64> = 1..=200_000;
const EXPECTED_ADDRESS: &str = "an address as 10.0.0.4:7401 is expected";

/// Checks all tables; mistakes come in the order of the schema.
pub fn check(document: FileDoc, mistakes: &mut MistakeList) -> Operator {
    if !is_name(&document.cluster) {
        mistakes.add("cluster", "cluster", "a name of 1 to 64 bytes is expected");
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

/// Whether a name has a length that messages and the log take: 1 to [`MAX_NAME_BYTES`] bytes.
pub fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// Microseconds; saturates, since figures that are too large are refused by their own checks.
pub fn microseconds(milliseconds: u64) -> u64 {
    milliseconds.saturating_mul(1_000)
}

fn check_listen(instance: &InstanceDoc, mistakes: &mut MistakeList) -> Option<SocketAddr> {
    if instance.listen.is_empty() {
        return None;
    }
    let address = instance.listen.parse().ok();
    if address.is_none() {
        mistakes.add("instance", "instance.listen", EXPECTED_ADDRESS);
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
                mistakes.add("instance", &field, "a prefix as 10.0.0.0/8 is expected");
            }
        }
    }
    if prefixes.is_empty() {
        prefixes.push(loopback());
    }
    prefixes
}

/// Who may connect if no prefix is given: this machine alone.
fn loopback() -> IpNet {
    IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::new(127, 0, 0, 0), 8))
}

fn check_keepers(documents: &[KeeperDoc], mistakes: &mut MistakeList) -> Vec<Keeper> {
    let mut keepers = Vec::new();
    let mut names = BTreeSet::new();
    for (index, keeper) in documents.iter().enumerate() {
        if !is_name(&keeper.name) || !names.insert(&keeper.name) {
            let field = format!("keeper[{index}].name");
            let expected = "a name of 1 to 64 bytes that no other keeper has is expected";
            mistakes.add_repeated("keeper", index, &field, expected);
        }
        match keeper.address.parse() {
            Ok(address) => keepers.push(Keeper { name: keeper.name.clone(), address }),
            Err(_) => {
                let field = format!("keeper[{index}].address");
                mistakes.add_repeated("keeper", index, &field, EXPECTED_ADDRESS);
            }
        }
    }
    if !KEEPER_COUNTS.contains(&documents.len()) {
        mistakes.add("keeper", "keeper", "3 or 5 keepers are expected (1 to try it)");
    }
    keepers
}

fn check_terms(terms: &TermsDoc, mistakes: &mut MistakeList) -> LeaseTerms {
    if !LEASE_MS.contains(&terms.lease_ms) {
        mistakes.add("terms", "terms.lease_ms", "100 to 60000 is expected");
    }
    let min_membership_ms = terms.lease_ms.saturating_mul(2);
    if !(min_membership_ms..=MAX_MEMBERSHIP_MS).contains(&terms.membership_ms) {
        mistakes.add("terms", "terms.membership_ms", "two leases to an hour is expected");
    }
    if !DRIFT_PPM.contains(&terms.drift_ppm) {
        mistakes.add("terms", "terms.drift_ppm", "1 to 200000 is expected");
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
    if percent.is_some_and(|percent| percent > 100) {
        mistakes.add("outages", percent_field, "0 to 100 is expected");
    }
    DisruptionLimit { count, percent }
}
