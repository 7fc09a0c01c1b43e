//! Admits a request or turns it away at the edge, by how many this process may hold.

use std::cell::Cell;
use std::rc::Rc;

/// The stage.
pub struct Admit {
    open: Rc<Cell<usize>>,
    most: usize,
}

/// A place among the requests held; given back when dropped.
pub struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Admit {
    /// Admits so many at a time.
    pub fn new(most: usize) -> Admit {
        Admit { open: Rc::default(), most }
    }

    /// Whether all places are taken.
    pub fn is_full(&self) -> bool {
        self.open.get() >= self.most
    }

    /// A place, or none when all are taken.
    pub fn enter(&self) -> Option<Place> {
        if self.is_full() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Place(self.open.clone()))
    }

    /// Requests held now.
    pub fn held(&self) -> usize {
        self.open.get()
    }
}
