//! Drives [`Lifecycle`] with a clock, and publishes the progress of a drain or a stop to the listener, its sessions and
//! operators' calls.

use crate::clock::Clock;
use crate::lifecycle::{Event, Lifecycle, ServingState, Stopping};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// The lifecycle of this process, with its clock.
pub struct LifecycleDriver {
    lifecycle: RefCell<Lifecycle>,
    clock: Clock,
    state: watch::Sender<ServingState>,
    /// Wakes [`LifecycleDriver::run`] after each event, which may move the time of the next change.
    rescheduled: watch::Sender<()>,
}

impl LifecycleDriver {
    /// Creates the driver of a process that serves.
    pub fn new(clock: Clock) -> Rc<LifecycleDriver> {
        LifecycleDriver::with(Lifecycle::default(), clock)
    }

    /// Creates the driver of a process that has just started, with a list that discovery has not confirmed yet.
    pub fn starting(clock: Clock) -> Rc<LifecycleDriver> {
        LifecycleDriver::with(Lifecycle::starting(clock.now()), clock)
    }

    fn with(lifecycle: Lifecycle, clock: Clock) -> Rc<LifecycleDriver> {
        let (state, _) = watch::channel(lifecycle.serving_state(clock.now()));
        let (rescheduled, _) = watch::channel(());
        Rc::new(LifecycleDriver { lifecycle: RefCell::new(lifecycle), clock, state, rescheduled })
    }

    /// Handles an event and publishes the new state.
    ///
    /// # Errors
    /// The event is an operators' order, and the process is stopping.
    pub fn handle(&self, event: Event) -> Result<(), Stopping> {
        self.lifecycle.borrow_mut().handle(self.clock.now(), event)?;
        self.publish();
        self.rescheduled.send_replace(());
        Ok(())
    }

    /// Whether the process serves, and neither drains, stands by nor stops.
    pub fn is_serving(&self) -> bool {
        self.lifecycle.borrow().is_serving()
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.lifecycle.borrow().is_stopping()
    }

    /// Subscribes to the state that governs how clients are treated.
    pub fn subscribe(&self) -> watch::Receiver<ServingState> {
        self.state.subscribe()
    }

    /// Publishes state changes that come with time. Runs for the lifetime of the process.
    pub async fn run(self: Rc<LifecycleDriver>) {
        let mut rescheduled = self.rescheduled.subscribe();
        loop {
            let next_change = self.lifecycle.borrow().next_change(self.clock.now());
            tokio::select! {
                changed = rescheduled.changed() => if changed.is_err() { return },
                () = sleep_until(self.clock.instant(next_change.unwrap_or_default())), if next_change.is_some() => {
                    self.publish();
                }
            }
        }
    }

    fn publish(&self) {
        let now = self.lifecycle.borrow().serving_state(self.clock.now());
        self.state.send_if_modified(|published| std::mem::replace(published, now) != now);
    }
}
