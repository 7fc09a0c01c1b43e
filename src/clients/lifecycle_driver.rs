//! How far a drain or a stop has come, for the listener, its sessions and the operators' door alike: carries out
//! [`Lifecycle`] with a clock.

use crate::clock::Clock;
use crate::lifecycle::{Event, Lifecycle, ServingState, Stopping};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// The state of this process, with its clock.
pub struct LifecycleDriver {
    lifecycle: RefCell<Lifecycle>,
    clock: Clock,
    serving_state: watch::Sender<ServingState>,
    changed: watch::Sender<()>,
}

impl LifecycleDriver {
    /// It serves.
    pub fn new(clock: Clock) -> Rc<LifecycleDriver> {
        let lifecycle = Lifecycle::default();
        let (serving_state, _) = watch::channel(lifecycle.serving_state(clock.now()));
        Rc::new(LifecycleDriver {
            lifecycle: RefCell::new(lifecycle),
            clock,
            serving_state,
            changed: watch::channel(()).0,
        })
    }

    /// Takes an event in.
    pub fn handle(&self, event: Event) -> Result<(), Stopping> {
        self.lifecycle.borrow_mut().handle(self.clock.now(), event)?;
        self.show();
        self.changed.send_replace(());
        Ok(())
    }

    /// Whether clients are taken.
    pub fn is_serving(&self) -> bool {
        self.lifecycle.borrow().is_serving()
    }

    /// Whether the process stops.
    pub fn is_stopping(&self) -> bool {
        self.lifecycle.borrow().is_stopping()
    }

    /// How clients are treated, now and from then on.
    pub fn subscribe(&self) -> watch::Receiver<ServingState> {
        self.serving_state.subscribe()
    }

    fn show(&self) {
        let serving_state = self.lifecycle.borrow().serving_state(self.clock.now());
        self.serving_state.send_if_modified(|shown| std::mem::replace(shown, serving_state) != serving_state);
    }

    /// Shows what changes with time, for as long as the program runs.
    pub async fn run(self: Rc<LifecycleDriver>) {
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
