//! Faults that tests inject into the replicated state machines, to verify that the tests' checkers detect them.
//!
//! The code is compiled only with the cargo feature `fault-injection`, which must never be enabled in production
//! builds.

/// A deliberate fault in the replicated state machines or in their clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The table computes the expiry of leases without the margin for clock drift.
    NoDriftMargin,
    /// The holder starts its lease at the arrival of the grant instead of at the send time of its request.
    LeaseFromReceipt,
    /// Every proxy with a demand is granted at least one unit, even if none is left.
    RoundingUp,
    /// The units committed to an incarnation are released when a new one opens the session.
    PredecessorReleased,
    /// Reported units in use that exceed the unexpired grants are not committed.
    InUseFreedEarly,
    /// A floor is committed for the lease only, not for the membership.
    FloorExpiresWithLease,
    /// A proxy that no longer sends requests does not count as unavailable.
    UnresponsiveProxyUncounted,
    /// A subject with a forced permit does not count as unavailable.
    ForcedPermitUncounted,
    /// A member's permit is confirmed before every proxy has applied the quarantine.
    QuarantineUnconfirmed,
}

impl Fault {
    /// Faults in the quotas, with the names by which tests select them.
    pub const QUOTA: [(Fault, &str); 6] = [
        (Fault::NoDriftMargin, "no-drift-margin"),
        (Fault::LeaseFromReceipt, "lease-from-receipt"),
        (Fault::RoundingUp, "rounding-up"),
        (Fault::PredecessorReleased, "old-incarnation"),
        (Fault::InUseFreedEarly, "freed-early"),
        (Fault::FloorExpiresWithLease, "floor-twice"),
    ];

    /// Faults in the disruption permits, with the names by which tests select them.
    pub const DISRUPTION: [(Fault, &str); 3] = [
        (Fault::UnresponsiveProxyUncounted, "dead-uncounted"),
        (Fault::ForcedPermitUncounted, "force-uncounted"),
        (Fault::QuarantineUnconfirmed, "fence-unconfirmed"),
    ];

    /// The fault of this name; `None` if the name is unknown.
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

    /// Injects a fault into the current thread, replacing any injected before; `None` removes it.
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
