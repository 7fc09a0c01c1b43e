//! A bound on something that this process has little of: descriptors, bytes, requests held. What was taken is
//! given back when its [`Place`] is dropped; nothing here waits.

use std::cell::Cell;
use std::rc::Rc;

/// The bound; copies share their places.
#[derive(Clone, Debug)]
pub struct Budget {
    open: Rc<Cell<usize>>,
    most: usize,
}

/// A place among those held; given back when dropped.
#[derive(Debug)]
pub struct Place {
    open: Rc<Cell<usize>>,
    weight: usize,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(self.weight));
    }
}

impl Budget {
    /// So many at a time.
    pub fn new(most: usize) -> Budget {
        Budget { open: Rc::default(), most }
    }

    /// A place, or none when all are taken.
    pub fn enter(&self) -> Option<Place> {
        self.enter_by(1)
    }

    /// Room for so much at once, or none when too little is left.
    pub fn enter_by(&self, weight: usize) -> Option<Place> {
        let open = self.open.get().checked_add(weight).filter(|open| *open <= self.most)?;
        self.open.set(open);
        Some(Place { open: self.open.clone(), weight })
    }

    /// How much is held now.
    pub fn held(&self) -> usize {
        self.open.get()
    }
}
