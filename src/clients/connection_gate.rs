//! Drives [`ConnectionAdmission`]: passes it events with the time, signals connections to close, and runs its timer. It
//! does not access sockets.

use crate::api::{Micros, Time};
use crate::clock::Clock;
use crate::connection_admission::{Action, AdmissionLimits, ConnectionAdmission, ConnectionId, Event};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use tokio::time::sleep_until;

/// How a new connection is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Serve its requests.
    Serve,
    /// Reject its first request with this time after which to retry, then close the connection.
    Reject(Micros),
}

/// Admits client connections and signals them to close.
pub struct ConnectionGate {
    admission: RefCell<ConnectionAdmission>,
    clock: Clock,
    /// The signal that asks an admitted connection to close.
    close_signals: RefCell<BTreeMap<ConnectionId, Rc<Notify>>>,
    next_id: Cell<u64>,
    timer: watch::Sender<Option<Time>>,
}

/// An admitted connection. Dropping it releases its slot, so it must live as long as the connection's descriptor.
pub struct AdmittedConnection {
    gate: Rc<ConnectionGate>,
    id: ConnectionId,
    close_signal: Rc<Notify>,
    mode: AdmissionMode,
}

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.gate.close_signals.borrow_mut().remove(&self.id);
        self.gate.handle(Event::Closed(self.id));
    }
}

impl AdmittedConnection {
    /// How the connection was admitted.
    pub fn mode(&self) -> AdmissionMode {
        self.mode
    }

    /// Records that the startup message was received.
    pub fn mark_started(&self) {
        self.gate.handle(Event::Started(self.id));
    }

    /// Records that a request of the connection is open.
    pub fn mark_busy(&self) {
        self.gate.handle(Event::RequestOpened(self.id));
    }

    /// Records that no request of the connection is open.
    pub fn mark_idle(&self) {
        self.gate.handle(Event::RequestsFinished(self.id));
    }

    /// Waits until the connection is asked to close. A request that is already open must still be answered.
    pub async fn close_requested(&self) {
        self.close_signal.notified().await;
    }
}

impl ConnectionGate {
    /// Creates a gate that applies `limits`.
    pub fn new(limits: AdmissionLimits, clock: Clock) -> Rc<ConnectionGate> {
        let (timer, _) = watch::channel(None);
        Rc::new(ConnectionGate {
            admission: RefCell::new(ConnectionAdmission::new(limits)),
            clock,
            close_signals: RefCell::default(),
            next_id: Cell::new(0),
            timer,
        })
    }

    /// Admits a new connection, with a mode that serves its requests or, without a free slot, rejects the first one.
    /// `None` if the slots for rejected connections are in use as well: the connection must be closed at once.
    pub fn admit(self: &Rc<ConnectionGate>) -> Option<AdmittedConnection> {
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let mode = self.handle(Event::Accepted(id))?;
        let close_signal = Rc::new(Notify::new());
        self.close_signals.borrow_mut().insert(id, close_signal.clone());
        Some(AdmittedConnection { gate: self.clone(), id, close_signal, mode })
    }

    /// Whether any connection was asked to close, has no open request, and has not closed yet.
    pub fn has_closing(&self) -> bool {
        self.admission.borrow().has_closing()
    }

    /// Passes an event to [`ConnectionAdmission`] and performs the resulting actions. Returns the mode of a connection
    /// that was admitted; `None` after any other event.
    fn handle(&self, event: Event) -> Option<AdmissionMode> {
        let mut actions = Vec::new();
        self.admission.borrow_mut().handle(self.clock.now(), event, &mut actions);
        let mut admitted = None;
        for action in actions {
            match action {
                Action::Serve(_) => admitted = Some(AdmissionMode::Serve),
                Action::Reject(_, retry_after) => admitted = Some(AdmissionMode::Reject(retry_after)),
                Action::CloseAtOnce(_) => {}
                Action::RequestClose(id) => self.signal_close(id),
                Action::SetTimer(at) => {
                    self.timer.send_replace(Some(at));
                }
            }
        }
        admitted
    }

    fn signal_close(&self, id: ConnectionId) {
        if let Some(signal) = self.close_signals.borrow().get(&id) {
            signal.notify_one();
        }
    }

    /// Runs the timer of [`ConnectionAdmission`] for the lifetime of the process.
    pub async fn run(self: Rc<ConnectionGate>) {
        let mut timer = self.timer.subscribe();
        loop {
            let at = *timer.borrow_and_update();
            tokio::select! {
                changed = timer.changed() => if changed.is_err() { return },
                () = sleep_until(self.clock.instant(at.unwrap_or_default())), if at.is_some() => {
                    self.timer.send_replace(None);
                    self.handle(Event::TimerFired);
                }
            }
        }
    }
}
