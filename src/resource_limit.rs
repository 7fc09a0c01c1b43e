//! A limit on something that this process has little of: descriptors, bytes, requests in flight. What was acquired
//! is given back when its [`ResourcePermit`] is dropped. Nothing here waits: a caller that must wait uses a semaphore.

use std::cell::Cell;
use std::rc::Rc;

/// A limit in units that its owner chooses (descriptors, bytes, requests). Clones share the limit and what is in use
/// of it.
#[derive(Clone, Debug)]
pub struct ResourceLimit {
    in_use: Rc<Cell<usize>>,
    limit: usize,
}

/// A part of a [`ResourceLimit`], in use until it is dropped. It must live as long as the resource it stands for.
#[derive(Debug)]
pub struct ResourcePermit {
    in_use: Rc<Cell<usize>>,
    weight: usize,
}

impl Drop for ResourcePermit {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get().saturating_sub(self.weight));
    }
}

impl ResourceLimit {
    /// A limit of `limit` units, none of them in use.
    pub fn new(limit: usize) -> ResourceLimit {
        ResourceLimit { in_use: Rc::default(), limit }
    }

    /// A permit for one unit; `None` if all are in use.
    pub fn acquire(&self) -> Option<ResourcePermit> {
        self.acquire_weighted(1)
    }

    /// A permit for `weight` units at once; `None` if fewer are left.
    pub fn acquire_weighted(&self, weight: usize) -> Option<ResourcePermit> {
        let in_use = self.in_use.get().checked_add(weight).filter(|in_use| *in_use <= self.limit)?;
        self.in_use.set(in_use);
        Some(ResourcePermit { in_use: self.in_use.clone(), weight })
    }

    /// How many units are in use now.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }
}

#[cfg(test)]
mod tests;
