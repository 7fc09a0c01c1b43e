//! Counters of what the proxy takes in, sends and answers.

use std::cell::Cell;
use std::fmt;

/// One counter.
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

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// All of them; printed as `name=count` pairs.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                let pairs = [$((stringify!($name), self.$name.get())),*];
                let text: Vec<String> = pairs.iter().map(|(n, c)| format!("{n}={c}")).collect();
                f.write_str(&text.join(" "))
            }
        }
    };
}

counters! {
    /// Requests taken in.
    taken,
    /// Statements that could not be read.
    malformed,
    /// Attempts sent to members.
    sent,
    /// Probes sent to members.
    probes,
    /// Final answers: served.
    served,
    /// Final answers: refused.
    refused,
    /// Final answers: failed.
    failed,
    /// Clients that left before their answer.
    lapsed,
    /// Attempts that were served.
    ok,
    /// Attempts turned away untouched by role or position.
    miss,
    /// Attempts that ended in an error.
    error,
    /// Attempts turned away unseen.
    turned_away,
    /// Attempts without a connection.
    not_connected,
    /// Attempts whose connection broke.
    reset,
    /// Attempts whose answer could not be read.
    garbled,
    /// Attempts that were not answered in time.
    timed_out,
    /// Attempts called off.
    cancelled,
    /// Attempts never sent.
    ignored,
    /// Client connections accepted.
    clients,
    /// Member connections opened.
    links,
    /// Calls to discovery.
    calls,
}
