//! Faults injected on purpose, to show that the checkers of the agreed state catch them. Without the feature
//! `fault-injection` none can be chosen and none is compiled in.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Leases count at the granter without the bound on drift.
    NoDriftMargin,
    /// Leases count at the holder from when the grant came.
    LeaseFromReceipt,
    /// Nobody who wants something gets nothing.
    RoundingUp,
    /// A new incarnation takes over what the old one held.
    OldIncarnation,
    /// What is in use counts no more once the share is smaller.
    FreedEarly,
    /// A floor counts no longer than a share.
    FloorTwice,
    /// Whoever is not heard of does not count as out.
    DeadUncounted,
    /// What is out by force does not count.
    ForceUncounted,
    /// A member's exclusion is confirmed before every proxy has.
    FenceUnconfirmed,
}

impl Fault {
    /// Those of shares, with the names by which they are selected.
    pub const QUOTA: [(Fault, &str); 6] = [
        (Fault::NoDriftMargin, "no-drift-margin"),
        (Fault::LeaseFromReceipt, "lease-from-receipt"),
        (Fault::RoundingUp, "rounding-up"),
        (Fault::OldIncarnation, "old-incarnation"),
        (Fault::FreedEarly, "freed-early"),
        (Fault::FloorTwice, "floor-twice"),
    ];

    /// Those of permits to be out.
    pub const DISRUPTION: [(Fault, &str); 3] = [
        (Fault::DeadUncounted, "dead-uncounted"),
        (Fault::ForceUncounted, "force-uncounted"),
        (Fault::FenceUnconfirmed, "fence-unconfirmed"),
    ];

    /// The fault of a name.
    pub fn from_name(name: &str) -> Option<Fault> {
        let all = Fault::QUOTA.iter().chain(&Fault::DISRUPTION);
        all.copied().find(|(_, known)| *known == name).map(|(fault, _)| fault)
    }
}

#[cfg(feature = "fault-injection")]
mod selected {
    use super::Fault;
    use std::cell::Cell;

    thread_local! {
        static INJECTED: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    /// Plants a fault in this thread, or none.
    pub fn inject(fault: Option<Fault>) {
        INJECTED.set(fault);
    }

    pub(crate) fn is_injected(fault: Fault) -> bool {
        INJECTED.get() == Some(fault)
    }
}

#[cfg(feature = "fault-injection")]
pub use selected::inject;
#[cfg(feature = "fault-injection")]
pub(crate) use selected::is_injected;

#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn is_injected(_: Fault) -> bool {
    false
}
