//! Histories of deaths, force, stops and returns: seeded ones, and every order of a few events.

use crate::fixtures::{Fleet, LEASE_US, policy};
use linenhill_decisions::disruption::Availability;

const PROXIES: usize = 6;
const MAX_OUT: u64 = 2;

/// A fleet, with the true availability of each proxy.
#[derive(Clone)]
struct History {
    fleet: Fleet,
    truth: Vec<Availability>,
}

impl History {
    fn new(proxies: usize, max_out: u64) -> History {
        History {
            fleet: Fleet::new(proxies, policy(max_out, 1)),
            truth: vec![Availability::InService; proxies],
        }
    }

    /// A proxy in service requests a permit and uses it. Returns how many others were out, if it was granted.
    fn leave_by_permit(&mut self, proxy: usize, requested_by: &str) -> Option<usize> {
        if self.truth[proxy] != Availability::InService {
            return None;
        }
        self.fleet.request_permit(&format!("proxy/p{proxy}"), requested_by, false).ok()?;
        let others = self.truth.iter().filter(|truth| **truth != Availability::InService).count();
        self.truth[proxy] = Availability::Standby;
        Some(others)
    }

    /// Two leases go by, and every proxy that is alive reports itself.
    fn settle(&mut self) {
        self.fleet.advance(2 * LEASE_US);
        for (proxy, truth) in self.truth.iter().enumerate() {
            if *truth != Availability::NoHeartbeat {
                self.fleet.report(proxy, *truth, &[]);
            }
        }
    }
}

/// A seeded history: proxies request permits, are forced out, return, die and start again. Fails where one is let out
/// beyond the limit.
fn run_history(seed: u64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut history = History::new(PROXIES, MAX_OUT);
    for step in 0..400 {
        let proxy = rng.usize(0..PROXIES);
        match rng.u8(0..10) {
            0 => history.truth[proxy] = Availability::NoHeartbeat,
            1 if history.truth[proxy] == Availability::NoHeartbeat => {
                history.fleet.incarnations.insert(format!("p{proxy}"), 10_000 + step);
                history.truth[proxy] = Availability::InService;
            }
            2 => history.truth[proxy] = Availability::InService,
            3 => {
                let _ = history.fleet.request_permit(&format!("proxy/p{proxy}"), "operators", true);
                history.truth[proxy] = Availability::Standby;
            }
            4..7 => {
                let others = history.leave_by_permit(proxy, &format!("p{proxy}"));
                if let Some(others) = others.filter(|others| others + 1 > MAX_OUT as usize) {
                    return Err(format!("seed {seed}, step {step}: {others} and one more are let out"));
                }
            }
            _ => {}
        }
        history.settle();
    }
    Ok(())
}

/// Guards against more out at once than the limit allows, over seeded histories.
#[test]
fn nobody_is_let_out_beyond_the_limit() {
    (0..200).for_each(|seed| run_history(seed).unwrap_or_else(|e| panic!("{e}")));
}

/// Guards against checks that cannot fail.
#[cfg(feature = "fault-injection")]
#[test]
fn every_injected_fault_is_found() {
    use crate::fixtures::ALL_IN_SERVICE;
    use linenhill_decisions::fault_injection::{Fault, inject};
    for fault in [Fault::UnresponsiveProxyUncounted, Fault::ForcedPermitUncounted] {
        inject(Some(fault));
        let found = (0..200).find_map(|seed| run_history(seed).err());
        inject(None);
        assert!(found.is_some(), "{fault:?} was not found");
    }
    inject(Some(Fault::QuarantineUnconfirmed));
    let mut fleet = Fleet::new(2, policy(1, 1));
    fleet.report(0, Availability::InService, &ALL_IN_SERVICE);
    let permit = fleet.request_permit("member/m1", "p0", false).expect("a permit");
    inject(None);
    assert!(permit.unconfirmed.is_empty(), "it is confirmed too early");
}

/// What one proxy of the exhaustive search does.
#[derive(Clone, Copy)]
enum Event {
    RequestPermit,
    Die,
    Return,
    Stop,
}

const EVENTS: [Event; 4] = [Event::RequestPermit, Event::Die, Event::Return, Event::Stop];

/// Visits every order of `depth` more events, and returns how many states that were.
fn search(history: &History, depth: usize) -> u64 {
    if depth == 0 {
        return 1;
    }
    let mut states = 1;
    for proxy in 0..history.truth.len() {
        for event in EVENTS {
            if let Some(next) = after(history, proxy, event) {
                states += search(&next, depth - 1);
            }
        }
    }
    states
}

/// The history after one more event, unless the event is impossible.
fn after(history: &History, proxy: usize, event: Event) -> Option<History> {
    let mut next = history.clone();
    match event {
        Event::RequestPermit if next.truth[proxy] != Availability::InService => return None,
        Event::RequestPermit => {
            let others = next.leave_by_permit(proxy, "it");
            assert!(others.unwrap_or(0) == 0, "a second one is let out: {:?}", history.truth);
        }
        Event::Die => next.truth[proxy] = Availability::NoHeartbeat,
        Event::Return => next.truth[proxy] = Availability::InService,
        Event::Stop => next.truth[proxy] = Availability::Stopping,
    }
    next.settle();
    Some(next)
}

/// Every order of permits, stops, deaths and returns of three proxies of which one may be out, up to four events.
#[test]
fn no_order_of_events_lets_two_of_three_out() {
    let states = search(&History::new(3, 1), 4);
    assert!(states > 10_000, "{states} states");
}
