//! The metrics that operators' collectors fetch, in the OpenMetrics text format; they are independent of the counters
//! in the log. Request counters exist for every class from the start. Collectors depend on metric names, labels and
//! help texts, so these must not change.

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

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The request was served.
    Completed,
    /// The request was rejected.
    Rejected,
    /// The request failed.
    Failed,
}

impl RequestEnd {
    /// All values in the order of their declaration, by which [`Metrics`] indexes its counters.
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
    /// Indexed by class id, then by [`RequestEnd`].
    ended_requests: Vec<[Counter; RequestEnd::ALL.len()]>,
    written_attempts: Counter,
    pending_requests: Gauge,
    listed_members: Gauge,
    avoided_members: Gauge,
    /// Seconds since the last message of discovery, or since the start.
    discovery_silence: Gauge<f64, AtomicU64>,
    /// Seconds since a list of discovery last came into use, or since the start.
    list_age: Gauge<f64, AtomicU64>,
    list_version: Gauge,
    discovery_calls: Family<Labels, Counter>,
    invariants: Rc<InvariantMonitor>,
    started: Instant,
}

impl Metrics {
    /// Creates all metrics at 0. `classes` are the class names in the order of their ids.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Metrics {
        let requests = Family::default();
        let ended_requests = classes.into_iter().map(|class| class_counters(&requests, class)).collect();
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

    /// Registers the metrics under their names; they are encoded in this order.
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

    /// Records an accepted request, which is pending until [`Metrics::record_ended`].
    pub fn record_accepted(&self) {
        self.pending_requests.inc();
    }

    /// Records the end of an accepted request of the class with this id; `end` is `None` if its client left before the
    /// final answer.
    pub fn record_ended(&self, class: usize, end: Option<RequestEnd>) {
        self.pending_requests.dec();
        if let (Some(counters), Some(end)) = (self.ended_requests.get(class), end) {
            counters[end as usize].inc();
        }
    }

    /// Records that an attempt was completely written to its member.
    pub fn record_written_attempt(&self) {
        self.written_attempts.inc();
    }

    /// Records the number of listed members, and how many of them are avoided.
    pub fn record_members(&self, listed: usize, avoided: usize) {
        self.listed_members.set(saturating_i64(listed));
        self.avoided_members.set(saturating_i64(avoided));
    }

    /// Records the seconds since the last message of discovery, the seconds since a list of discovery last came into
    /// use, and the version of the list in use. If `list_age` is `None`, the age of these metrics is recorded instead.
    pub fn record_discovery(&self, silence: f64, list_age: Option<f64>, list_version: u64) {
        self.discovery_silence.set(silence);
        self.list_age.set(list_age.unwrap_or_else(|| self.started.elapsed().as_secs_f64()));
        self.list_version.set(saturating_i64(list_version));
    }

    /// Records that a call of discovery, or the watch that it opened, ended for this reason.
    pub fn record_discovery_call_end(&self, reason: CloseReason) {
        self.discovery_calls.get_or_create_owned(&vec![label("code", &reason.to_string())]).inc();
    }

    /// Encodes all metrics.
    ///
    /// # Errors
    /// A metric can't be encoded.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// The counters of one class, indexed by [`RequestEnd`]. Collectors depend on the label `lane` for the class.
fn class_counters(requests: &Family<Labels, Counter>, class: &str) -> [Counter; RequestEnd::ALL.len()] {
    RequestEnd::ALL.map(|end| {
        let labels = vec![label("lane", class), label("result", end.label())];
        requests.get_or_create_owned(&labels)
    })
}

fn label(name: &str, value: &str) -> (String, String) {
    (name.to_string(), value.to_string())
}

/// Converts a number to a gauge's type, saturating at the largest value.
fn saturating_i64(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}
