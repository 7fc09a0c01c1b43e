//! A member that serves every statement and counts its concurrent connections and attempts in flight. A
//! connection counts as open until its socket shows that the proxy closed it.

use super::operator_file::{Budgets, Terms};
use super::{ADMISSIONS_PER_SECOND, MEMBER_LIMIT};
use crate::harness::{MemberAction, peer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Counters of one member.
#[derive(Default)]
pub struct MemberCounts {
    /// Duplicated handles of the connections being served, by connection number.
    open: RefCell<BTreeMap<u64, std::net::TcpStream>>,
    attempts_in_flight: Cell<usize>,
    /// Highest number of concurrent connections or attempts in flight, whichever is limited.
    pub peak: Cell<usize>,
    pub served: Cell<u64>,
    /// One entry for each time that a limit of the fleet was exceeded at this member.
    pub violations: RefCell<Vec<String>>,
    /// Time of the first attempt of each write.
    admitted_at: RefCell<Vec<Instant>>,
    admitted_ids: RefCell<BTreeSet<String>>,
}

impl MemberCounts {
    /// Number of connections that the proxy has not closed.
    pub fn open_connections(&self) -> usize {
        let is_open = |stream: &&std::net::TcpStream| match stream.peek(&mut [0]) {
            Ok(length) => length > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        };
        self.open.borrow().values().filter(is_open).count()
    }

    /// Highest number of admissions in excess of the rate, over all windows of time. It may exceed the configured burst
    /// only by requests that were delayed between their admission and their arrival here.
    pub fn admission_burst(&self) -> f64 {
        let mut level = 0.0f64;
        let mut peak = 0.0f64;
        let mut previous: Option<Instant> = None;
        for at in self.admitted_at.borrow().iter() {
            let passed = previous.map_or(0.0, |previous| (*at - previous).as_secs_f64());
            level = (level - passed * ADMISSIONS_PER_SECOND as f64).max(0.0) + 1.0;
            peak = peak.max(level);
            previous = Some(*at);
        }
        peak
    }

    /// Records the number of connections if the budget limits connections.
    fn record_connections(&self, budgets: Budgets) {
        let connections = self.open_connections();
        if budgets != Budgets::Connections {
            return;
        }
        self.peak.set(self.peak.get().max(connections));
        if connections > MEMBER_LIMIT {
            let violation = format!("{connections} connections at once, of {MEMBER_LIMIT}");
            self.violations.borrow_mut().push(violation);
        }
    }

    /// Records the start of an attempt, and the admission of its request, if the budgets limit attempts.
    fn record_attempt(&self, statement: &str, budgets: Budgets) {
        if budgets == Budgets::Connections {
            return;
        }
        let in_flight = self.attempts_in_flight.get();
        self.peak.set(self.peak.get().max(in_flight));
        if in_flight > MEMBER_LIMIT {
            let violation = format!("{in_flight} attempts in flight, of {MEMBER_LIMIT}");
            self.violations.borrow_mut().push(violation);
        }
        let id = statement.split('\'').nth(1).unwrap_or_default().to_string();
        if self.admitted_ids.borrow_mut().insert(id) {
            self.admitted_at.borrow_mut().push(Instant::now());
        }
    }
}

/// Guard of an attempt in flight at a member. It is dropped when the attempt is answered or its connection ends.
struct AttemptInFlight(Rc<MemberCounts>);

impl AttemptInFlight {
    fn begin(counts: &Rc<MemberCounts>) -> AttemptInFlight {
        counts.attempts_in_flight.set(counts.attempts_in_flight.get() + 1);
        AttemptInFlight(counts.clone())
    }
}

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        self.0.attempts_in_flight.set(self.0.attempts_in_flight.get() - 1);
    }
}

/// Accepts and serves connections until the end of the test.
pub async fn run_member(listener: TcpListener, is_primary: bool, counts: Rc<MemberCounts>, terms: Terms) {
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        let stream = stream.into_std().expect("convert the socket");
        let handle = stream.try_clone().expect("duplicate the socket");
        counts.open.borrow_mut().insert(number, handle);
        counts.record_connections(terms.budgets);
        let stream = TcpStream::from_std(stream).expect("convert the socket");
        let counts = counts.clone();
        spawn_local(async move {
            serve_connection(stream, is_primary, &counts, terms).await;
            counts.open.borrow_mut().remove(&number);
        });
    }
}

/// Serves a connection until it is closed or idle for `terms.idle_ms`, which also bounds how long a connection of a
/// suspended process stays open.
async fn serve_connection(stream: TcpStream, is_primary: bool, counts: &Rc<MemberCounts>, terms: Terms) {
    let counts = counts.clone();
    let act = move |statement: String| {
        let counts = counts.clone();
        async move {
            counts.served.set(counts.served.get() + 1);
            let attempt = AttemptInFlight::begin(&counts);
            counts.record_attempt(&statement, terms.budgets);
            sleep(Duration::from_millis(terms.work_ms)).await;
            drop(attempt);
            MemberAction::Row("served".into())
        }
    };
    let idle = Duration::from_millis(terms.idle_ms);
    peer::serve_until_idle(stream, is_primary, act, idle).await;
}
