//! The metrics that operators' collectors fetch, in Prometheus' text form. They stand beside the counters of the log
//! and are kept by class; every class is there from the start. Metric names, labels and help texts are read by others
//! and must keep their form, whatever the fields here are called.

use crate::close_reason::CloseReason;
use crate::invariants::InvariantMonitor;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use std::fmt;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use tokio::time::Instant;

type Labels = Vec<(String, String)>;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was served.
    Completed,
    /// It was rejected.
    Rejected,
    /// It failed.
    Failed,
}

impl RequestEnd {
    /// All of them, in the order of their declaration: [`Metrics`] indexes its counters by it.
    const ALL: [RequestEnd; 3] = [RequestEnd::Completed, RequestEnd::Rejected, RequestEnd::Failed];

    /// The value of the label `result`.
    fn label(self) -> &'static str {
        match self {
            RequestEnd::Completed => "completed",
            RequestEnd::Rejected => "rejected",
            RequestEnd::Failed => "failed",
        }
    }
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    /// By class, then by [`RequestEnd`].
    ended_requests: Vec<[Counter; RequestEnd::ALL.len()]>,
    written_attempts: Counter,
    pending_requests: Gauge,
    listed_members: Gauge,
    avoided_members: Gauge,
    /// In seconds.
    discovery_silence: Gauge<f64, AtomicU64>,
    /// In seconds.
    list_age: Gauge<f64, AtomicU64>,
    list_version: Gauge,
    discovery_calls: Family<Labels, Counter>,
    invariants: Rc<InvariantMonitor>,
    started: Instant,
}

impl Metrics {
    /// All at 0, for classes with these names, in the order of their ids.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Metrics {
        let requests = Family::default();
        let ended_requests = classes.into_iter().map(|class| counters_of(&requests, class)).collect();
        let mut metrics = Metrics {
            registry: Registry::with_prefix("proxy"),
            ended_requests,
            written_attempts: Counter::default(),
            pending_requests: Gauge::default(),
            listed_members: Gauge::default(),
            avoided_members: Gauge::default(),
            discovery_silence: Gauge::default(),
            list_age: Gauge::default(),
            list_version: Gauge::default(),
            discovery_calls: Family::default(),
            invariants: Rc::default(),
            started: Instant::now(),
        };
        metrics.register_all(requests);
        metrics
    }

    /// Registers the metrics under their names, in the order in which they are printed.
    fn register_all(&mut self, requests: Family<Labels, Counter>) {
        let registry = &mut self.registry;
        registry.register("downstream_requests", "Requests ended, by class and result", requests);
        let help = "Attempts written whole to members";
        registry.register("upstream_requests", help, self.written_attempts.clone());
        registry.register("pending", "Requests taken and not yet ended", self.pending_requests.clone());
        registry.register("members", "Members in the list", self.listed_members.clone());
        let help = "Listed members avoided, by hand or by choice";
        registry.register("members_unavailable", help, self.avoided_members.clone());
        let help = "Since discovery last said anything, or the start";
        let silence = self.discovery_silence.clone();
        registry.register_with_unit("discovery_silence", help, Unit::Seconds, silence);
        let help = "Since a list was last taken, or the start";
        registry.register_with_unit("list_age", help, Unit::Seconds, self.list_age.clone());
        registry.register("list_version", "Version of the list in use", self.list_version.clone());
        let help = "Calls of discovery and watches that ended, by the code of their log line";
        registry.register("discovery_calls", help, self.discovery_calls.clone());
        self.invariants.register(registry);
    }

    /// The monitor that counts violated invariants.
    pub fn invariants(&self) -> Rc<InvariantMonitor> {
        self.invariants.clone()
    }

    /// Records that a request was accepted.
    pub fn record_accepted(&self) {
        self.pending_requests.inc();
    }

    /// Records that an accepted request of the class with this id has ended; `end` is `None` if its client left before
    /// its answer.
    pub fn record_ended(&self, class: usize, end: Option<RequestEnd>) {
        self.pending_requests.dec();
        if let (Some(counters), Some(end)) = (self.ended_requests.get(class), end) {
            counters[end as usize].inc();
        }
    }

    /// Records that an attempt was written completely.
    pub fn record_written_attempt(&self) {
        self.written_attempts.inc();
    }

    /// Records how many members are listed, and how many of them are avoided.
    pub fn record_members(&self, listed: usize, avoided: usize) {
        self.listed_members.set(saturated(listed));
        self.avoided_members.set(saturated(avoided));
    }

    /// Records for how many seconds discovery has been silent, and the age in seconds and version of the list in use.
    /// Without a list its age counts from the start of the process.
    pub fn record_discovery(&self, silence: f64, list_age: Option<f64>, list_version: u64) {
        self.discovery_silence.set(silence);
        self.list_age.set(list_age.unwrap_or_else(|| self.started.elapsed().as_secs_f64()));
        self.list_version.set(saturated(list_version));
    }

    /// Records that a call of discovery, or the watch that it became, ended for this reason.
    pub fn record_discovery_call_end(&self, reason: CloseReason) {
        self.discovery_calls.get_or_create_owned(&vec![label("code", &reason.to_string())]).inc();
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// A metric can't be encoded.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// The counters of one class, by [`RequestEnd`]. The label of the class keeps the name that collectors know.
fn counters_of(requests: &Family<Labels, Counter>, class: &str) -> [Counter; RequestEnd::ALL.len()] {
    RequestEnd::ALL.map(|end| {
        let labels = vec![label("lane", class), label("result", end.label())];
        requests.get_or_create_owned(&labels)
    })
}

fn label(name: &str, value: &str) -> (String, String) {
    (name.to_string(), value.to_string())
}

/// A gauge's value for a number; what a gauge can't hold is its largest value.
fn saturated(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}
