//! Counters of requests, attempts and connections, printed in the log. Operators' scripts parse their names, so they
//! must not change.

use crate::close_reason::CloseReason;
use std::cell::Cell;
use std::fmt;

/// A counter that is 0 at the start of the process.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Increments the counter.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The current count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Closed connections by reason, displayed as `ended_CODE=count` pairs for the reasons that occurred.
#[derive(Default)]
pub struct CloseCounts([Counter; CloseReason::ALL.len()]);

impl CloseCounts {
    /// Counts a connection that closed for this reason.
    pub fn add(&self, reason: CloseReason) {
        self.0[reason as usize].add();
    }

    /// The number of connections that closed for this reason.
    pub fn get(&self, reason: CloseReason) -> u64 {
        self.0[reason as usize].get()
    }

    /// The number of connections that closed for any reason.
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
        /// All counters of one process, displayed as `name=count` pairs in the order of their declaration.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Closed client connections by reason.
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
    /// Requests received, including those rejected on arrival; malformed ones only if their class is known.
    taken,
    /// Statements that could not be parsed, or that failed before they became requests.
    malformed,
    /// Attempts sent to members.
    sent,
    /// Health checks sent to members.
    probes,
    /// Requests with the final answer served.
    served,
    /// Requests with the final answer rejected.
    refused,
    /// Requests with the final answer failed.
    failed,
    /// Requests whose client left before the final answer.
    lapsed,
    /// Attempts that were served.
    ok,
    /// Attempts that a member rejected, without an effect, because of its role or position.
    miss,
    /// Attempts that a member answered with an error.
    error,
    /// Attempts that a member rejected because its queue was full.
    turned_away,
    /// Attempts for which no connection was established.
    not_connected,
    /// Attempts whose connection failed.
    reset,
    /// Attempts whose reply was malformed.
    garbled,
    /// Attempts without a complete reply within the time limit.
    timed_out,
    /// Attempts cancelled by this proxy.
    cancelled,
    /// Attempts that were decided on but not sent.
    ignored,
    /// Requests rejected because no connection slot was free.
    refused_door,
    /// Requests rejected because too many were open.
    refused_held,
    /// Requests rejected because no memory was left for their message.
    refused_memory,
    /// Requests rejected because the process was stopping.
    refused_stopping,
    /// Client connections accepted.
    clients,
    /// Member connections opened.
    links,
    /// Calls of discovery, each of which may become a watch.
    calls,
}
