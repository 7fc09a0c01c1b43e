//! Counters of requests, attempts and connections, printed in the log. Their names must not change, since operators'
//! scripts parse them.

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
    /// Attempts started. Each one is also counted by its outcome when it ends.
    sent,
    /// Health checks started.
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
    /// Attempts that a member answered with another error.
    error,
    /// Attempts that a member rejected because it was full or not accepting connections.
    turned_away,
    /// Attempts for which no connection was established, or whose connection failed before the statement was written.
    not_connected,
    /// Attempts whose connection failed after the statement was written.
    reset,
    /// Attempts whose reply was malformed.
    garbled,
    /// Attempts whose statement was written but not answered within the time limit.
    timed_out,
    /// Attempts cancelled by this proxy.
    cancelled,
    /// Attempts that were not sent: the member or the list was not usable, a descriptor or quota was missing, the
    /// request was over, or the deadline passed before the statement was written.
    ignored,
    /// Requests rejected because no connection slot was free.
    refused_door,
    /// Requests rejected because too many were open.
    refused_held,
    /// Requests rejected because no memory was left for their message.
    refused_memory,
    /// Requests rejected because the process was stopping.
    refused_stopping,
    /// Replies that waited, unread, for memory of other replies.
    response_memory_waits,
    /// Requests behind an unanswered one that waited for their turn, since no memory was left to answer them ahead.
    read_ahead_waits,
    /// Client connections accepted, including those closed at once.
    clients,
    /// Member connections for which a descriptor was reserved, whether or not they were established.
    links,
    /// Calls of discovery, each of which may become a watch.
    calls,
}
