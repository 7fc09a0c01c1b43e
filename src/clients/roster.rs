//! Who holds a place for clients, and who has to make room for a newcomer when all are taken.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection without an open request may be ended after this long, if a newcomer needs its place.
const IDLE_KEPT: Duration = Duration::from_secs(2);
/// Without any such, it is ended after this long rather than that a newcomer is refused: between requests a
/// connection may always be closed, and its client opens another.
const IDLE_LEAST: Duration = Duration::from_millis(200);
/// One that has not even sent its startup message is ended sooner.
const SILENT_KEPT: Duration = Duration::from_millis(200);
/// At most this part of the places is for connections that have not sent their startup message.
const SILENT_PART: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Silent,
    Idle,
    Busy,
}

struct Seat {
    standing: Cell<(Standing, Instant)>,
    leave: Notify,
}

/// All seats that are taken.
pub struct Roster {
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    next: Cell<u64>,
    silent_most: usize,
}

/// The seat of one connection; free again when dropped.
pub struct Seated {
    roster: Rc<Roster>,
    number: u64,
    seat: Rc<Seat>,
}

impl Drop for Seated {
    fn drop(&mut self) {
        self.roster.seats.borrow_mut().remove(&self.number);
    }
}

impl Seated {
    /// The connection has sent its startup message, or its request has been answered.
    pub fn idle(&self) {
        self.seat.standing.set((Standing::Idle, Instant::now()));
    }

    /// A request of the connection is open.
    pub fn busy(&self) {
        self.seat.standing.set((Standing::Busy, Instant::now()));
    }

    /// Returns when the connection has to make room.
    pub async fn told_to_leave(&self) {
        self.seat.leave.notified().await;
    }
}

impl Roster {
    /// A roster of so many places.
    pub fn new(places: usize) -> Rc<Roster> {
        let silent_most = ((places as f64 * SILENT_PART) as usize).max(1);
        Rc::new(Roster { seats: RefCell::default(), next: Cell::new(0), silent_most })
    }

    /// Seats a new connection, which has said nothing yet.
    pub fn sit(self: &Rc<Roster>) -> Seated {
        let number = self.next.replace(self.next.get() + 1);
        let standing = Cell::new((Standing::Silent, Instant::now()));
        let seat = Rc::new(Seat { standing, leave: Notify::new() });
        self.seats.borrow_mut().insert(number, seat.clone());
        Seated { roster: self.clone(), number, seat }
    }

    /// Before a newcomer is seated: too many silent ones lose their oldest; without a place left the one that
    /// was idle longest goes, if for long, else the oldest silent one, else whoever is idle. Whether somebody has been told to leave.
    pub fn make_room(&self, full: bool) -> bool {
        let silent = self.seats.borrow().values().filter(|s| s.standing.get().0 == Standing::Silent).count();
        let crowd = silent >= self.silent_most;
        let choices = [
            (crowd, Standing::Silent, Duration::ZERO),
            (full, Standing::Idle, IDLE_KEPT),
            (full, Standing::Silent, SILENT_KEPT),
            (full, Standing::Idle, IDLE_LEAST),
        ];
        choices.into_iter().any(|(needed, standing, kept)| needed && self.dismiss(standing, kept))
    }

    fn dismiss(&self, standing: Standing, kept: Duration) -> bool {
        let seats = self.seats.borrow();
        let stands = seats.values().filter(|s| s.standing.get().0 == standing);
        let Some(seat) = stands.min_by_key(|s| s.standing.get().1) else { return false };
        if seat.standing.get().1.elapsed() < kept {
            return false;
        }
        // It leaves once its task runs; until then it is nobody's choice again.
        seat.standing.set((Standing::Busy, Instant::now()));
        seat.leave.notify_one();
        true
    }
}
