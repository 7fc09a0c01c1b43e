//! The operators' file of a test fleet.

use super::{ADMISSION_BURST, ADMISSIONS_PER_SECOND};
use linenhill_standins::Relay;
use std::fmt::Write;

/// Which budgets the operators' file declares.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Budgets {
    /// Connections at each member.
    Connections,
    /// Attempts in flight at each member, and admissions of the class `order`.
    Work,
}

/// The terms of a fleet, and the pace of its members. Durations are in milliseconds.
#[derive(Clone, Copy)]
pub struct Terms {
    pub lease_ms: u64,
    pub membership_ms: u64,
    /// By how much a clock may be wrong, in millionths.
    pub drift_ppm: u64,
    /// For how long what a lease allowed may go on after its end.
    pub outlives_ms: u64,
    /// Members close a connection that is idle for so long.
    pub idle_ms: u64,
    /// For how long a member works on a statement.
    pub work_ms: u64,
    pub budgets: Budgets,
}

impl Terms {
    pub const DEFAULT: Terms = Terms {
        lease_ms: 1_000,
        membership_ms: 4_000,
        drift_ppm: 20_000,
        outlives_ms: 2_500,
        idle_ms: 800,
        work_ms: 20,
        budgets: Budgets::Connections,
    };
    /// Connections outlive a lease by little, so that an overlap of leases shows.
    pub const TIGHT: Terms =
        Terms { lease_ms: 1_000, membership_ms: 20_000, outlives_ms: 600, idle_ms: 150, ..Terms::DEFAULT };
}

/// What the operators' file of one instance says.
pub struct OperatorFile<'a> {
    /// The zone of the instance.
    pub name: &'a str,
    /// From the instance to each keeper.
    pub relays: &'a [Relay],
    /// The folder of a keeper's store; empty for a proxy.
    pub store: &'a str,
    pub terms: Terms,
    pub revision: u64,
    /// What the whole fleet may use at each member.
    pub member_limit: usize,
}

impl OperatorFile<'_> {
    /// The file in protobuf text format.
    pub fn text(&self) -> String {
        let OperatorFile { name, store, revision, .. } = self;
        let Terms { lease_ms, membership_ms, drift_ppm, .. } = self.terms;
        let keepers = self.keepers();
        let budgets = self.budgets();
        format!(
            "cluster: \"test\"\nrevision: {revision}\n\
             instance {{ listen: \"127.0.0.1:0\" zone: \"{name}\" store: \"{store}\" }}\n{keepers}\
             terms {{ lease_ms: {lease_ms} membership_ms: {membership_ms} drift_ppm: {drift_ppm} }}\n\
             {budgets}\n"
        )
    }

    fn keepers(&self) -> String {
        let mut text = String::new();
        for (index, relay) in self.relays.iter().enumerate() {
            let address = relay.address;
            writeln!(text, "keeper {{ name: \"k{index}\" address: \"{address}\" }}").expect("a string");
        }
        text
    }

    fn budgets(&self) -> String {
        let limit = self.member_limit;
        let outlives_ms = self.terms.outlives_ms;
        let held = format!("held {{ units: {limit} outlives_ms: {outlives_ms} }} floor: 1");
        match self.terms.budgets {
            Budgets::Connections => format!("budget {{ name: \"connections\" what: CONNECTIONS {held} }}"),
            Budgets::Work => format!(
                "budget {{ name: \"attempts\" what: ATTEMPTS {held} }}\n\
                 budget {{ name: \"orders\" what: ADMISSIONS class: \"order\" \
                 rate {{ per_second: {ADMISSIONS_PER_SECOND} burst: {ADMISSION_BURST} }} floor: 2 }}"
            ),
        }
    }
}
