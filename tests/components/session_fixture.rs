//! A client session on an in-memory stream, with a request gateway whose events the test receives in place of the
//! driver. The fixture must not answer requests by itself.

use crate::typed_message;
use linenhill::api::Micros;
use linenhill::clients::connection_gate::{AdmittedConnection, ConnectionGate};
use linenhill::clients::request_gateway::RequestGateway;
use linenhill::clients::session;
use linenhill::clock::Clock;
use linenhill::close_reason::CloseReason;
use linenhill::config::{Config, LoadReason, Variables};
use linenhill::connection_admission::AdmissionLimits;
use linenhill::counters::Counters;
use linenhill::lifecycle::ServingState;
use linenhill::metrics::Metrics;
use linenhill::stages::accounting::RequestAccounting;
use linenhill::stages::admission::{AdmissionCapacity, RequestAdmission};
use linenhill::stages::request_intake::RequestIntake;
use linenhill::stages::{AcceptedRequest, DriverInput, FinalResponse};
use linenhill::upstream::send_guard::SendGuard;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::{mpsc, watch};

/// Total memory for messages from clients.
pub const MESSAGE_MEMORY_BYTES: usize = 256 * 1024;
/// A startup message without parameters.
pub const STARTUP: &[u8] = b"\0\0\0\x08\0\x03\0\0";
/// The Terminate message, which ends the session.
pub const TERMINATE: &[u8] = b"X\0\0\0\x04";

pub const SERVING: ServingState = ServingState {
    reports_ready: true,
    is_starting: false,
    is_stopping: false,
    accepts_connections: true,
    closes_idle: false,
    rejects_requests: false,
};

/// The receiver of the inputs that the gateway sends to the driver.
pub type Events = mpsc::UnboundedReceiver<DriverInput>;

/// A client session with the client's end of its connection.
pub struct SessionFixture {
    /// The client's end of the connection.
    pub client: DuplexStream,
    /// The session itself; it runs only while the test polls it.
    pub session: Pin<Box<dyn Future<Output = CloseReason>>>,
    /// Sets whether the process serves, drains or stops.
    pub serving_state: watch::Sender<ServingState>,
}

impl SessionFixture {
    /// Creates a session with a new gateway; returns it with the events of the gateway.
    pub fn with_own_gateway() -> (SessionFixture, Events) {
        let (gateway, events) = new_gateway();
        let connection = connection_gate(9).admit().expect("free slot");
        (SessionFixture::new(&gateway, connection), events)
    }

    pub fn new(gateway: &Rc<RequestGateway>, connection: AdmittedConnection) -> SessionFixture {
        let (client, server) = duplex(4096);
        let (serving_state, receiver) = watch::channel(SERVING);
        let session = Box::pin(session::run(server, gateway.clone(), connection, receiver));
        SessionFixture { client, session, serving_state }
    }
}

/// The example configuration of a site whose endpoint lists are requested, not pushed.
pub fn example_config() -> Config {
    let text = include_str!("../../examples/config.json");
    Config::parse(text, Path::new("config.json"), Variables::default(), LoadReason::Start)
        .expect("valid configuration")
}

/// Creates a gateway; returns it with its events.
pub fn new_gateway() -> (Rc<RequestGateway>, Events) {
    new_gateway_with_read_ahead(1 << 20)
}

/// Creates a gateway with this memory for answers that wait behind unanswered requests; returns it with its events.
pub fn new_gateway_with_read_ahead(read_ahead_bytes: usize) -> (Rc<RequestGateway>, Events) {
    let (inbox, events) = mpsc::unbounded_channel();
    let intake = RequestIntake::new(&example_config().site, Clock::start());
    let accounting = RequestAccounting::new(Rc::new(Counters::default()), new_metrics());
    let admission = RequestAdmission::new(AdmissionCapacity {
        max_requests: 9,
        message_bytes: MESSAGE_MEMORY_BYTES,
        long_message_bytes: 1 << 20,
        read_ahead_bytes,
    });
    let guard = SendGuard::without_list();
    (Rc::new(RequestGateway::new(intake, admission, accounting, inbox, guard)), events)
}

pub fn new_metrics() -> Rc<Metrics> {
    Rc::new(Metrics::new(["list", "own", "order"]))
}

pub fn admission_limits(max_served: usize) -> AdmissionLimits {
    AdmissionLimits {
        max_served,
        max_rejected: 0,
        max_closing: 2,
        max_request_connections: 99,
        max_retry_after: Micros(2_000_000),
    }
}

pub fn connection_gate(max_served: usize) -> Rc<ConnectionGate> {
    ConnectionGate::new(admission_limits(max_served), Clock::start())
}

/// Encodes a query with this id and class.
pub fn query(id: &str, class: &str) -> Vec<u8> {
    statement(id, class, "SELECT 1")
}

/// Encodes a query with this id, class and SQL text.
pub fn statement(id: &str, class: &str, sql: &str) -> Vec<u8> {
    typed_message(b'Q', format!("/* id={id},c={class},d=900,cluster=1 */ {sql}\0").as_bytes())
}

/// Returns the next event, which must be an accepted request.
pub async fn next_accepted(events: &mut Events) -> AcceptedRequest {
    let Some(DriverInput::RequestAccepted(accepted)) = events.recv().await else {
        panic!("no request was accepted")
    };
    *accepted
}

/// Answers an accepted request with `bytes`; the session must still be waiting for the answer.
pub fn serve(accepted: AcceptedRequest, bytes: &'static str) {
    let is_awaited = accepted.reply.send(FinalResponse::Served(bytes.as_bytes().into()));
    assert!(is_awaited, "the session waits for the answer");
}

pub async fn write(client: &mut DuplexStream, bytes: &[u8]) {
    client.write_all(bytes).await.expect("write");
}

/// Reads the remaining output of the session up to the end of the connection.
pub async fn read_to_end(client: &mut DuplexStream) -> String {
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.expect("read");
    String::from_utf8_lossy(&received).into_owned()
}

/// Reads the output of the session until it contains `wanted`.
pub async fn read_until(client: &mut DuplexStream, wanted: &str) -> String {
    let mut buffer = [0; 512];
    let mut text = String::new();
    while !text.contains(wanted) {
        let length = client.read(&mut buffer).await.expect("read");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    text
}
