//! A limit on a scarce resource of this process: descriptors, bytes, requests in flight. Acquired units are released
//! when their [`ResourcePermit`] is dropped. Acquiring never waits; callers that need to wait use a semaphore.

use std::cell::Cell;
use std::rc::Rc;

/// A limit in units that its owner chooses (descriptors, bytes, requests). Clones share the limit and the units in use.
#[derive(Clone, Debug)]
pub struct ResourceLimit {
    in_use: Rc<Cell<usize>>,
    limit: usize,
}

/// Units of a [`ResourceLimit`], in use until the permit is dropped. Must be kept for as long as the resource that it
/// accounts for.
#[derive(Debug)]
pub struct ResourcePermit {
    in_use: Rc<Cell<usize>>,
    weight: usize,
}

impl ResourcePermit {
    /// Releases all units but `weight`. Has no effect if fewer are held.
    pub fn shrink_to(&mut self, weight: usize) {
        let released = self.weight.saturating_sub(weight);
        self.weight -= released;
        self.in_use.set(self.in_use.get().saturating_sub(released));
    }
}

impl Drop for ResourcePermit {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get().saturating_sub(self.weight));
    }
}

impl ResourceLimit {
    /// Creates a limit of `limit` units, none of them in use.
    pub fn new(limit: usize) -> ResourceLimit {
        ResourceLimit { in_use: Rc::default(), limit }
    }

    /// Acquires one unit; `None` if all are in use.
    pub fn acquire(&self) -> Option<ResourcePermit> {
        self.acquire_weighted(1)
    }

    /// Acquires `weight` units; `None`, without any effect, if fewer are free.
    pub fn acquire_weighted(&self, weight: usize) -> Option<ResourcePermit> {
        let in_use = self.in_use.get().checked_add(weight).filter(|in_use| *in_use <= self.limit)?;
        self.in_use.set(in_use);
        Some(ResourcePermit { in_use: self.in_use.clone(), weight })
    }

    /// The number of units in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }
}

#[cfg(test)]
mod tests;
