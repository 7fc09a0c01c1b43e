//! Carries out what the [`ConnectionAdmission`] decides: tells connections to leave, and wakes the door in time.

use crate::api::{Span, Time};
use crate::clock::Clock;
use crate::connection_admission::{Action, AdmissionLimits, ConnectionAdmission, ConnectionId, Event};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use tokio::time::sleep_until;

/// What a connection may expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Its queries are served.
    Serve,
    /// Its first query is refused, with this time to come back, and it ends.
    Refuse(Span),
}

/// The door with its clock, and a bell for each connection.
pub struct ConnectionGate {
    admission: RefCell<ConnectionAdmission>,
    clock: Clock,
    bells: RefCell<BTreeMap<ConnectionId, Rc<Notify>>>,
    next: Cell<u64>,
    wake: watch::Sender<Option<Time>>,
}

/// The seat of one connection; free again when dropped.
pub struct AdmittedConnection {
    connection_gate: Rc<ConnectionGate>,
    id: ConnectionId,
    bell: Rc<Notify>,
    mode: AdmissionMode,
}

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.connection_gate.bells.borrow_mut().remove(&self.id);
        self.connection_gate.tell(Event::Left(self.id));
    }
}

impl AdmittedConnection {
    /// What the connection may expect.
    pub fn mode(&self) -> AdmissionMode {
        self.mode
    }

    /// The connection has sent its startup message.
    pub fn mark_started(&self) {
        self.connection_gate.tell(Event::Started(self.id));
    }

    /// A request of the connection is open.
    pub fn mark_busy(&self) {
        self.connection_gate.tell(Event::Asked(self.id));
    }

    /// No request of the connection is open any more.
    pub fn mark_idle(&self) {
        self.connection_gate.tell(Event::Answered(self.id));
    }

    /// Returns when the connection has to make room.
    pub async fn close_requested(&self) {
        self.bell.notified().await;
    }
}

impl ConnectionGate {
    /// A door with these bounds.
    pub fn new(limits: AdmissionLimits, clock: Clock) -> Rc<ConnectionGate> {
        let admission = RefCell::new(ConnectionAdmission::new(limits));
        let (wake, _) = watch::channel(None);
        Rc::new(ConnectionGate { admission, clock, bells: RefCell::default(), next: Cell::new(0), wake })
    }

    /// Seats a new connection, if there is any place for it.
    pub fn admit(self: &Rc<ConnectionGate>) -> Option<AdmittedConnection> {
        let id = ConnectionId(self.next.replace(self.next.get() + 1));
        let mode = match self.tell(Event::Arrived(id)) {
            Some(Action::Serve(_)) => AdmissionMode::Serve,
            Some(Action::Refuse(_, after)) => AdmissionMode::Refuse(after),
            _ => return None,
        };
        let bell = Rc::new(Notify::new());
        self.bells.borrow_mut().insert(id, bell.clone());
        Some(AdmittedConnection { connection_gate: self.clone(), id, bell, mode })
    }

    /// Whether somebody was told to leave and has not left yet.
    pub fn has_closing(&self) -> bool {
        self.admission.borrow().has_closing()
    }

    /// Tells the door what happened and does what it says; what it says of a newcomer is returned.
    fn tell(&self, event: Event) -> Option<Action> {
        let (mut out, mut newcomer) = (Vec::new(), None);
        self.admission.borrow_mut().handle(self.clock.now(), event, &mut out);
        for action in out {
            match action {
                Action::Leave(id) => {
                    if let Some(bell) = self.bells.borrow().get(&id) {
                        bell.notify_one();
                    }
                }
                Action::Wake(at) => {
                    self.wake.send_replace(Some(at));
                }
                Action::Serve(_) | Action::Refuse(..) | Action::TurnAway(_) => newcomer = Some(action),
            }
        }
        newcomer
    }

    /// Wakes the door when it asked for it, for as long as the program runs.
    pub async fn run(self: Rc<ConnectionGate>) {
        let mut wake = self.wake.subscribe();
        loop {
            let at = *wake.borrow_and_update();
            tokio::select! {
                changed = wake.changed() => if changed.is_err() { return },
                () = sleep_until(self.clock.instant(at.unwrap_or_default())), if at.is_some() => {
                    self.wake.send_replace(None);
                    self.tell(Event::Woke);
                }
            }
        }
    }
}
