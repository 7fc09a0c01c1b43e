//! How far a drain or a stop has come, for the listener, its sessions and the operators' door alike: carries out
//! [`Lifecycle`] with a clock.

use crate::clock::Clock;
use crate::lifecycle::{Event, Lifecycle, Stopping, View};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// The state of this process, with its clock.
pub struct Course {
    lifecycle: RefCell<Lifecycle>,
    clock: Clock,
    view: watch::Sender<View>,
    changed: watch::Sender<()>,
}

impl Course {
    /// It serves.
    pub fn new(clock: Clock) -> Rc<Course> {
        let lifecycle = Lifecycle::default();
        let (view, _) = watch::channel(lifecycle.view(clock.now()));
        Rc::new(Course { lifecycle: RefCell::new(lifecycle), clock, view, changed: watch::channel(()).0 })
    }

    /// Takes an event in.
    pub fn tell(&self, event: Event) -> Result<(), Stopping> {
        self.lifecycle.borrow_mut().handle(self.clock.now(), event)?;
        self.show();
        self.changed.send_replace(());
        Ok(())
    }

    /// Whether clients are taken.
    pub fn serves(&self) -> bool {
        self.lifecycle.borrow().serves()
    }

    /// Whether the process stops.
    pub fn stops(&self) -> bool {
        self.lifecycle.borrow().stops()
    }

    /// How clients are treated, now and from then on.
    pub fn watch(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    fn show(&self) {
        let view = self.lifecycle.borrow().view(self.clock.now());
        self.view.send_if_modified(|shown| std::mem::replace(shown, view) != view);
    }

    /// Shows what changes with time, for as long as the program runs.
    pub async fn look_after(self: Rc<Course>) {
        let mut changed = self.changed.subscribe();
        loop {
            let at = self.lifecycle.borrow().wake(self.clock.now());
            tokio::select! {
                told = changed.changed() => if told.is_err() { return },
                () = sleep_until(self.clock.instant(at.unwrap_or_default())), if at.is_some() => self.show(),
            }
        }
    }
}
