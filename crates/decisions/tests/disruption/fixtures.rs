//! A fleet whose proxies send a report only when the test calls for it.

use linenhill_decisions::disruption::table::{DisruptionTable, LivenessView, Permit, PermitDenied};
use linenhill_decisions::disruption::{
    Availability, DisruptionLimit, DisruptionPolicy, HealthObservation, HealthReport, Subject,
};
use linenhill_decisions::membership::{LeaseTerms, Membership};
use std::collections::BTreeMap;

pub const LEASE_US: u64 = 1_000_000;
const TERMS: LeaseTerms = LeaseTerms { lease_us: LEASE_US, membership_us: 10 * LEASE_US, drift_ppm: 10_000 };
/// Three members of group 1, all in service.
pub const ALL_IN_SERVICE: [(&str, Availability); 3] =
    [("m0", Availability::InService), ("m1", Availability::InService), ("m2", Availability::InService)];

/// Permits up to `max_proxies` unavailable proxies in the fleet and `max_members` unavailable members in a group, of
/// which at least one stays in service.
pub fn policy(max_proxies: u64, max_members: u64) -> DisruptionPolicy {
    let at_most = |count| DisruptionLimit { count: Some(count), percent: None };
    DisruptionPolicy {
        fleet: at_most(max_proxies),
        zone: DisruptionLimit::default(),
        min_in_service: 0,
        group: at_most(max_members),
        group_min_in_service: 1,
    }
}

/// The state that keepers agree on, and the current incarnation of each proxy by name.
#[derive(Clone)]
pub struct Fleet {
    pub membership: Membership,
    pub table: DisruptionTable,
    pub incarnations: BTreeMap<String, u64>,
    seq: u64,
}

impl Fleet {
    /// A fleet of proxies `p0`, `p1` and so on, all in service.
    pub fn new(proxies: usize, policy: DisruptionPolicy) -> Fleet {
        let mut table = DisruptionTable::default();
        table.set_policy(Some(policy));
        let mut fleet =
            Fleet { membership: Membership::default(), table, incarnations: BTreeMap::new(), seq: 0 };
        (0..proxies).for_each(|proxy| fleet.report(proxy, Availability::InService, &[]));
        fleet
    }

    /// Records a proxy's report on itself and on members of group 1, with `m0` as the primary. The proxy applies no
    /// quarantine.
    pub fn report(&mut self, proxy: usize, own: Availability, members: &[(&str, Availability)]) {
        self.report_quarantined(proxy, own, members, 0);
    }

    /// Like [`Fleet::report`], with the edition of the quarantine that the proxy applies.
    pub fn report_quarantined(
        &mut self, proxy: usize, own: Availability, members: &[(&str, Availability)], quarantine_edition: u64,
    ) {
        let name = format!("p{proxy}");
        let incarnation = *self.incarnations.entry(name.clone()).or_insert(1_000 * (1 + proxy as u64));
        self.seq += 1;
        self.membership.open_or_renew(&name, incarnation, self.seq, None).expect("a session");
        let observation = |(id, availability): &(&str, Availability)| {
            let is_primary = *id == "m0";
            (id.to_string(), HealthObservation { group: 1, availability: *availability as i32, is_primary })
        };
        let report = HealthReport {
            own_availability: own as i32,
            observations: members.iter().map(observation).collect(),
            quarantine_edition,
        };
        let view = LivenessView::new(&self.membership, &TERMS);
        self.table.record_report(&view, &name, incarnation, "z1", &report);
        self.table.expire(&view);
    }

    /// Advances log time by `span` microseconds.
    pub fn advance(&mut self, span: u64) {
        self.membership.advance(span);
        self.table.expire(&LivenessView::new(&self.membership, &TERMS));
    }

    pub fn request_permit(&mut self, key: &str, by: &str, force: bool) -> Result<Permit, PermitDenied> {
        let subject = Subject::from_key(key).expect("a valid key");
        let view = LivenessView::new(&self.membership, &TERMS);
        self.table.request_permit(&view, &subject, by, "a test", force)
    }

    /// The number of proxies that have not confirmed the permit for `m1`, which `p0` requested.
    pub fn unconfirmed_of_m1(&mut self) -> usize {
        self.request_permit("member/m1", "p0", false).expect("the permit").unconfirmed.len()
    }

    pub fn unavailable(&self) -> Vec<(String, Availability)> {
        self.table.unavailable(&LivenessView::new(&self.membership, &TERMS))
    }

    pub fn is_unavailable(&self, key: &str) -> bool {
        self.unavailable().iter().any(|(unavailable, _)| unavailable == key)
    }
}
