//! Histories of permits, crashes, forced permits, stops and returns: seeded ones, and every order of a few events.

use crate::fixtures::{Fleet, LEASE_US, policy};
use linenhill_decisions::disruption::Availability;

const PROXIES: usize = 6;
const MAX_UNAVAILABLE: u64 = 2;

/// A fleet, with the actual availability of each proxy.
#[derive(Clone)]
struct History {
    fleet: Fleet,
    actual: Vec<Availability>,
}

impl History {
    fn new(proxies: usize, max_unavailable: u64) -> History {
        History {
            fleet: Fleet::new(proxies, policy(max_unavailable, 1)),
            actual: vec![Availability::InService; proxies],
        }
    }

    /// A proxy in service requests a permit and, if granted, becomes unavailable. Returns the number of other
    /// unavailable proxies, or `None` without a permit.
    fn become_unavailable_by_permit(&mut self, proxy: usize, requested_by: &str) -> Option<usize> {
        if self.actual[proxy] != Availability::InService {
            return None;
        }
        self.fleet.request_permit(&format!("proxy/p{proxy}"), requested_by, false).ok()?;
        let others = self.actual.iter().filter(|actual| **actual != Availability::InService).count();
        self.actual[proxy] = Availability::Standby;
        Some(others)
    }

    /// Advances log time by two leases, after which every running proxy reports itself.
    fn advance_and_report(&mut self) {
        self.fleet.advance(2 * LEASE_US);
        for (proxy, actual) in self.actual.iter().enumerate() {
            if *actual != Availability::NoHeartbeat {
                self.fleet.report(proxy, *actual, &[]);
            }
        }
    }
}

/// Runs a seeded history: proxies request permits, take forced ones, return, crash and restart. Fails if a permit
/// without force exceeds the limit.
fn run_history(seed: u64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut history = History::new(PROXIES, MAX_UNAVAILABLE);
    for step in 0..400 {
        let proxy = rng.usize(0..PROXIES);
        match rng.u8(0..10) {
            0 => history.actual[proxy] = Availability::NoHeartbeat,
            1 if history.actual[proxy] == Availability::NoHeartbeat => {
                history.fleet.incarnations.insert(format!("p{proxy}"), 10_000 + step);
                history.actual[proxy] = Availability::InService;
            }
            2 => history.actual[proxy] = Availability::InService,
            3 => {
                let _ = history.fleet.request_permit(&format!("proxy/p{proxy}"), "operators", true);
                history.actual[proxy] = Availability::Standby;
            }
            4..7 => {
                let others = history.become_unavailable_by_permit(proxy, &format!("p{proxy}"));
                if let Some(others) = others.filter(|others| others + 1 > MAX_UNAVAILABLE as usize) {
                    return Err(format!(
                        "seed {seed}, step {step}: permit with {others} others unavailable, limit {MAX_UNAVAILABLE}"
                    ));
                }
            }
            _ => {}
        }
        history.advance_and_report();
    }
    Ok(())
}

/// Guards against permits that make more proxies unavailable than the limit allows, over seeded histories.
#[test]
fn nobody_is_let_out_beyond_the_limit() {
    (0..200).for_each(|seed| run_history(seed).unwrap_or_else(|e| panic!("{e}")));
}

/// Guards against checks that cannot fail: they must detect each injected fault.
#[cfg(feature = "fault-injection")]
#[test]
fn every_injected_fault_is_found() {
    use crate::fixtures::ALL_IN_SERVICE;
    use linenhill_decisions::fault_injection::{Fault, inject};
    for fault in [Fault::UnresponsiveProxyUncounted, Fault::ForcedPermitUncounted] {
        inject(Some(fault));
        let found = (0..200).find_map(|seed| run_history(seed).err());
        inject(None);
        assert!(found.is_some(), "the injected fault {fault:?} was not detected");
    }
    inject(Some(Fault::QuarantineUnconfirmed));
    let mut fleet = Fleet::new(2, policy(1, 1));
    fleet.report(0, Availability::InService, &ALL_IN_SERVICE);
    let permit = fleet.request_permit("member/m1", "p0", false).expect("a permit");
    inject(None);
    assert!(permit.unconfirmed.is_empty(), "the injected fault must confirm the permit at once");
}

/// An event at one proxy in the exhaustive search.
#[derive(Clone, Copy)]
enum Event {
    RequestPermit,
    Crash,
    Return,
    Stop,
}

const EVENTS: [Event; 4] = [Event::RequestPermit, Event::Crash, Event::Return, Event::Stop];

/// Visits every order of up to `depth` more events. Returns the number of states.
fn search(history: &History, depth: usize) -> u64 {
    if depth == 0 {
        return 1;
    }
    let mut states = 1;
    for proxy in 0..history.actual.len() {
        for event in EVENTS {
            if let Some(next) = after(history, proxy, event) {
                states += search(&next, depth - 1);
            }
        }
    }
    states
}

/// The history after one more event; `None` if the event is impossible.
fn after(history: &History, proxy: usize, event: Event) -> Option<History> {
    let mut next = history.clone();
    match event {
        Event::RequestPermit if next.actual[proxy] != Availability::InService => return None,
        Event::RequestPermit => {
            let others = next.become_unavailable_by_permit(proxy, "it");
            assert!(
                others.unwrap_or(0) == 0,
                "a permit was granted while another proxy was unavailable: {:?}",
                history.actual
            );
        }
        Event::Crash => next.actual[proxy] = Availability::NoHeartbeat,
        Event::Return => next.actual[proxy] = Availability::InService,
        Event::Stop => next.actual[proxy] = Availability::Stopping,
    }
    next.advance_and_report();
    Some(next)
}

/// Guards against a second permit while a proxy is unavailable, in every order of up to four permit requests, stops,
/// crashes and returns of three proxies of which one may be unavailable.
#[test]
fn no_order_of_events_lets_two_of_three_out() {
    let states = search(&History::new(3, 1), 4);
    assert!(states > 10_000, "only {states} states were searched");
}
