//! The figures that operators' collectors fetch, in the text form of Prometheus. Kept beside the log's counters, by
//! class; every class is there from the start.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::fmt;

type Labels = Vec<(String, String)>;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Completed,
    /// Refused.
    Rejected,
    /// Failed.
    Failed,
}

impl End {
    const ALL: [(End, &str); 3] =
        [(End::Completed, "completed"), (End::Rejected, "rejected"), (End::Failed, "failed")];
}

/// The figures of one process.
pub struct Figures {
    registry: Registry,
    /// By class, then by end.
    ends: Vec<[Counter; 3]>,
    attempts: Counter,
    pending: Gauge,
    members: Gauge,
    unavailable: Gauge,
}

impl Figures {
    /// All at 0, for classes with these names, in the order of their numbers.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Figures {
        let requests: Family<Labels, Counter> = Family::default();
        let counter = |class: &str, end: &str| {
            let pair = |name: &str, value: &str| (name.to_string(), value.to_string());
            requests.get_or_create_owned(&vec![pair("lane", class), pair("result", end)])
        };
        let ends = classes.into_iter().map(|class| End::ALL.map(|(_, end)| counter(class, end))).collect();
        let (attempts, pending) = (Counter::default(), Gauge::default());
        let (members, unavailable) = (Gauge::default(), Gauge::default());
        let mut registry = Registry::with_prefix("proxy");
        registry.register("downstream_requests", "Requests ended, by class and result", requests);
        registry.register("upstream_requests", "Attempts written whole to members", attempts.clone());
        registry.register("pending", "Requests taken and not yet ended", pending.clone());
        registry.register("members", "Members in the list", members.clone());
        let avoided = "Listed members avoided, by hand or by choice";
        registry.register("members_unavailable", avoided, unavailable.clone());
        Figures { registry, ends, attempts, pending, members, unavailable }
    }

    /// A request was taken.
    pub fn taken(&self) {
        self.pending.inc();
    }

    /// A request has ended, for its client if so.
    pub fn ended(&self, class: usize, end: Option<End>) {
        self.pending.dec();
        if let (Some(ends), Some(end)) = (self.ends.get(class), end) {
            ends[end as usize].inc();
        }
    }

    /// An attempt was written whole.
    pub fn written(&self) {
        self.attempts.inc();
    }

    /// So many members are listed, and so many of them avoided.
    pub fn members(&self, listed: usize, avoided: usize) {
        self.members.set(i64::try_from(listed).unwrap_or(i64::MAX));
        self.unavailable.set(i64::try_from(avoided).unwrap_or(i64::MAX));
    }

    /// Requests taken and not yet ended.
    pub fn pending(&self) -> i64 {
        self.pending.get()
    }

    /// All of them as text.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
