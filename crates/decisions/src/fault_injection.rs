//! Faults that tests inject into the agreed state, to show that its checkers catch them.
//!
//! Only builds with the cargo feature `fault-injection` contain them; a build that serves must never have it.

/// A deliberate fault in the machines of the agreed state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The granter counts leases without the margin for clock drift.
    NoDriftMargin,
    /// The holder counts its lease from the arrival of the grant, not from its request.
    LeaseFromReceipt,
    /// Every proxy with a demand is granted at least one unit.
    RoundingUp,
    /// A new incarnation releases what the previous one still holds.
    PredecessorReleased,
    /// Units in use stop counting as soon as the quota shrinks.
    InUseFreedEarly,
    /// The granter counts a floor for a lease only, and not for the membership.
    FloorExpiresWithLease,
    /// A proxy that no longer sends requests does not count as unavailable.
    UnresponsiveProxyUncounted,
    /// A subject with a forced permit does not count as unavailable.
    ForcedPermitUncounted,
    /// A member's permit is confirmed before every proxy has applied the quarantine.
    QuarantineUnconfirmed,
}

impl Fault {
    /// The faults of quotas, with the names by which tests choose them.
    pub const QUOTA: [(Fault, &str); 6] = [
        (Fault::NoDriftMargin, "no-drift-margin"),
        (Fault::LeaseFromReceipt, "lease-from-receipt"),
        (Fault::RoundingUp, "rounding-up"),
        (Fault::PredecessorReleased, "old-incarnation"),
        (Fault::InUseFreedEarly, "freed-early"),
        (Fault::FloorExpiresWithLease, "floor-twice"),
    ];

    /// The faults of disruption permits, with the names by which tests choose them.
    pub const DISRUPTION: [(Fault, &str); 3] = [
        (Fault::UnresponsiveProxyUncounted, "dead-uncounted"),
        (Fault::ForcedPermitUncounted, "force-uncounted"),
        (Fault::QuarantineUnconfirmed, "fence-unconfirmed"),
    ];

    /// The fault that is called `name`, if there is one.
    pub fn from_name(name: &str) -> Option<Fault> {
        let all = Fault::QUOTA.iter().chain(&Fault::DISRUPTION);
        all.copied().find(|(_, known)| *known == name).map(|(fault, _)| fault)
    }
}

#[cfg(feature = "fault-injection")]
mod injected {
    use super::Fault;
    use std::cell::Cell;

    thread_local! {
        static INJECTED: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    /// Injects a fault into this thread in the place of any injected before; `None` removes it.
    pub fn inject(fault: Option<Fault>) {
        INJECTED.set(fault);
    }

    pub(crate) fn is_injected(fault: Fault) -> bool {
        INJECTED.get() == Some(fault)
    }
}

#[cfg(feature = "fault-injection")]
pub use injected::inject;
#[cfg(feature = "fault-injection")]
pub(crate) use injected::is_injected;

#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn is_injected(_: Fault) -> bool {
    false
}
