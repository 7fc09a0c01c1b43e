//! Generates the operators' files of a test fleet.

use super::{ADMISSION_BURST, ADMISSIONS_PER_SECOND};
use linenhill_standins::Relay;
use std::fmt::Write;

/// Budgets that the operators' file declares.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Budgets {
    /// Concurrent connections at each member.
    Connections,
    /// Attempts in flight at each member, and admissions of the class `order`.
    Work,
}

/// Terms and budgets of a fleet, and timing of its members.
#[derive(Clone, Copy)]
pub struct Terms {
    pub lease_ms: u64,
    pub membership_ms: u64,
    /// Bound on the rate error of a clock, in millionths.
    pub drift_ppm: u64,
    /// How long connections or attempts that a lease permitted may outlive it.
    pub outlives_ms: u64,
    /// Idle time after which a member closes a connection, and after which a proxy does.
    pub idle_ms: u64,
    /// Time that a member takes for a statement.
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
    /// Connections may outlive a lease only briefly, so that overlapping leases exceed the limit at a member.
    pub const TIGHT: Terms =
        Terms { lease_ms: 1_000, membership_ms: 20_000, outlives_ms: 600, idle_ms: 150, ..Terms::DEFAULT };
}

/// Content of the operators' file of one instance.
pub struct OperatorFile<'a> {
    /// Name of the instance, which is used as its zone.
    pub name: &'a str,
    /// The instance's relays to each keeper.
    pub relays: &'a [Relay],
    /// Folder of a keeper's store; empty for a proxy.
    pub store: &'a str,
    pub terms: Terms,
    pub revision: u64,
    /// Limit of the whole fleet at each member, in connections or attempts.
    pub member_limit: usize,
}

impl OperatorFile<'_> {
    /// Formats the file in protobuf text format.
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
            writeln!(text, "keeper {{ name: \"k{index}\" address: \"{address}\" }}")
                .expect("write to a string");
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
