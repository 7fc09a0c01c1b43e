//! Counters of what the proxy accepts, sends and answers, printed in its log. Their names are read by operators' scripts
//! and must keep their form.

use crate::close_reason::CloseReason;
use std::cell::Cell;
use std::fmt;

/// One counter, from 0 at the start of the process.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Closed connections by reason; printed as `ended_CODE=count` pairs of those that occurred.
#[derive(Default)]
pub struct CloseCounts([Counter; CloseReason::ALL.len()]);

impl CloseCounts {
    /// Counts one more for this reason.
    pub fn add(&self, reason: CloseReason) {
        self.0[reason as usize].add();
    }

    /// How many closed for this reason.
    pub fn get(&self, reason: CloseReason) -> u64 {
        self.0[reason as usize].get()
    }

    /// How many closed, for any reason.
    pub fn total(&self) -> u64 {
        self.0.iter().map(Counter::get).sum()
    }
}

impl fmt::Display for CloseCounts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for reason in CloseReason::ALL {
            let count = self.get(*reason);
            if count > 0 {
                write!(f, " ended_{}={count}", reason.to_string().replace('-', "_"))?;
            }
        }
        Ok(())
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// All counters of one process; printed as `name=count` pairs in the order of their declaration.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Closed connections of clients by reason.
            pub ended: CloseCounts,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                let pairs = [$((stringify!($name), self.$name.get())),*];
                let text: Vec<String> = pairs.iter().map(|(name, count)| format!("{name}={count}")).collect();
                write!(f, "{}{}", text.join(" "), self.ended)
            }
        }
    };
}

counters! {
    /// Requests accepted.
    taken,
    /// Statements that could not be parsed.
    malformed,
    /// Attempts sent to members.
    sent,
    /// Health checks sent to members.
    probes,
    /// Final answers: served.
    served,
    /// Final answers: rejected.
    refused,
    /// Final answers: failed.
    failed,
    /// Clients that left before their answer.
    lapsed,
    /// Attempts that were served.
    ok,
    /// Attempts that a member turned away by its role or position, without an effect.
    miss,
    /// Attempts that a member answered with an error.
    error,
    /// Attempts that a member turned away because its queue was full.
    turned_away,
    /// Attempts for which no connection came up.
    not_connected,
    /// Attempts whose connection broke.
    reset,
    /// Attempts whose reply was malformed.
    garbled,
    /// Attempts that were not answered in time.
    timed_out,
    /// Attempts cancelled by this proxy.
    cancelled,
    /// Attempts that were decided on and never sent.
    ignored,
    /// Rejected requests: no connection slot was left.
    refused_door,
    /// Rejected requests: too many were open.
    refused_held,
    /// Rejected requests: no memory was left for the message.
    refused_memory,
    /// Rejected requests: the process was stopping.
    refused_stopping,
    /// Client connections accepted.
    clients,
    /// Member connections opened.
    links,
    /// Calls to discovery.
    calls,
}
