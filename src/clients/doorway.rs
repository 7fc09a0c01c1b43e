//! Carries out what the [`Door`] decides: tells connections to leave, and wakes the door in time.

use crate::api::{Span, Time};
use crate::clock::Clock;
use crate::door::{Action, Bounds, Door, Event, SeatId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use tokio::time::sleep_until;

/// What a connection may expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Its queries are served.
    Serve,
    /// Its first query is refused, with this time to come back, and it ends.
    Refuse(Span),
}

/// The door with its clock, and a bell for each connection.
pub struct Doorway {
    door: RefCell<Door>,
    clock: Clock,
    bells: RefCell<BTreeMap<SeatId, Rc<Notify>>>,
    next: Cell<u64>,
    wake: watch::Sender<Option<Time>>,
}

/// The seat of one connection; free again when dropped.
pub struct Seated {
    doorway: Rc<Doorway>,
    id: SeatId,
    bell: Rc<Notify>,
    manner: Manner,
}

impl Drop for Seated {
    fn drop(&mut self) {
        self.doorway.bells.borrow_mut().remove(&self.id);
        self.doorway.tell(Event::Left(self.id));
    }
}

impl Seated {
    /// What the connection may expect.
    pub fn manner(&self) -> Manner {
        self.manner
    }

    /// The connection has sent its startup message.
    pub fn started(&self) {
        self.doorway.tell(Event::Started(self.id));
    }

    /// A request of the connection is open.
    pub fn busy(&self) {
        self.doorway.tell(Event::Asked(self.id));
    }

    /// No request of the connection is open any more.
    pub fn idle(&self) {
        self.doorway.tell(Event::Answered(self.id));
    }

    /// Returns when the connection has to make room.
    pub async fn told_to_leave(&self) {
        self.bell.notified().await;
    }
}

impl Doorway {
    /// A door with these bounds.
    pub fn new(bounds: Bounds, clock: Clock) -> Rc<Doorway> {
        let door = RefCell::new(Door::new(bounds));
        let (wake, _) = watch::channel(None);
        Rc::new(Doorway { door, clock, bells: RefCell::default(), next: Cell::new(0), wake })
    }

    /// Seats a new connection, if there is any place for it.
    pub fn enter(self: &Rc<Doorway>) -> Option<Seated> {
        let id = SeatId(self.next.replace(self.next.get() + 1));
        let manner = match self.tell(Event::Arrived(id)) {
            Some(Action::Serve(_)) => Manner::Serve,
            Some(Action::Refuse(_, after)) => Manner::Refuse(after),
            _ => return None,
        };
        let bell = Rc::new(Notify::new());
        self.bells.borrow_mut().insert(id, bell.clone());
        Some(Seated { doorway: self.clone(), id, bell, manner })
    }

    /// Whether somebody was told to leave and has not left yet.
    pub fn awaits(&self) -> bool {
        self.door.borrow().awaits()
    }

    /// Tells the door what happened and does what it says; what it says of a newcomer is returned.
    fn tell(&self, event: Event) -> Option<Action> {
        let (mut out, mut newcomer) = (Vec::new(), None);
        self.door.borrow_mut().handle(self.clock.now(), event, &mut out);
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
    pub async fn look_after(self: Rc<Doorway>) {
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
