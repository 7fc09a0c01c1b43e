//! The one driver of the decisions: events queue up, each is handled by itself, and the actions it calls for
//! are carried out in order. What an action brings about comes back as a later event, never at once.

use super::relay::Relay;
use super::send::Sender;
use super::{Answer, Input, Taken, Value};
use crate::api::{
    Action, Event, GroupId, ListEntry, ListUpdate, MemberId, MemberState, Micros, Outcome, RequestId, Time,
};
use crate::clock::Clock;
use crate::discovery::list::{Endpoint, EndpointList, IdentifierTable, ListEvent};
use crate::fleet::quota::FleetQuota;
use crate::invariants::Invariant;
use crate::list_lease::Withheld;
use crate::maintenance::{EffectiveState, ListedMember, Maintenance};
use crate::policy::Router;
use crate::upstream::pool::Pool;
use linenhill_decisions::disruption::{Availability, HealthObservation};
use log::{debug, info};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep_until};

/// Past its deadline by this much, a request is answered whatever the decisions say.
const OVERDUE: Duration = Duration::from_millis(40);

/// Advice to clients while nothing confirms the list: a call of discovery is on its way.
const COME_BACK_LISTED: Micros = Micros(500_000);

/// Advice to clients of a group that operators have taken out whole, or beyond the fleet's budget.
const COME_BACK: Micros = Micros(1_000_000);

/// Changes of members that are logged for one list; the rest is counted.
const LOGGED_CHANGES: usize = 16;

/// The stage.
pub struct Route {
    router: Router,
    clock: Clock,
    inbox: mpsc::UnboundedReceiver<Input>,
    sender: Sender,
    relay: Relay,
    pool: Pool,
    names: IdentifierTable,
    subscribe: Rc<Notify>,
    maintenance: Rc<RefCell<Maintenance>>,
    /// What lists last said of each member.
    listed: BTreeMap<String, (Endpoint, MemberId)>,
    timers: BTreeSet<(Time, u64)>,
    actions: Vec<Action>,
    quota: FleetQuota,
}

/// What the driver works with.
pub struct RouteParts {
    /// The decisions.
    pub router: Router,
    /// The clock of all events.
    pub clock: Clock,
    /// The events, in the order in which they are handled.
    pub inbox: mpsc::UnboundedReceiver<Input>,
    /// Starts and cancels attempts.
    pub sender: Sender,
    /// Gives final answers.
    pub relay: Relay,
    /// The connections to members.
    pub pool: Pool,
    /// The members' names and numbers.
    pub names: IdentifierTable,
    /// Notified when the decisions ask for a watch of the list.
    pub subscribe: Rc<Notify>,
    /// The members that are out by order of operators.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// This proxy's part of the fleet's budgets.
    pub quota: FleetQuota,
}

impl Route {
    /// A driver that has heard of no member yet.
    pub fn new(parts: RouteParts) -> Route {
        Route {
            router: parts.router,
            clock: parts.clock,
            inbox: parts.inbox,
            sender: parts.sender,
            relay: parts.relay,
            pool: parts.pool,
            names: parts.names,
            subscribe: parts.subscribe,
            maintenance: parts.maintenance,
            listed: BTreeMap::new(),
            timers: BTreeSet::new(),
            actions: Vec::new(),
            quota: parts.quota,
        }
    }

    /// Runs until nobody can send events any more.
    pub async fn run(mut self) {
        loop {
            let timer = self.timers.first().map(|(at, _)| self.clock.instant(*at));
            let wake = timer.into_iter().chain(self.relay.first_due().map(|d| d.0)).min();
            let input = tokio::select! {
                biased;
                input = self.inbox.recv() => input,
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                    self.fire();
                    continue;
                }
            };
            let Some(input) = input else { return };
            self.pool.guard().turn();
            self.take(input);
            self.fire();
        }
    }

    fn fire(&mut self) {
        self.pool.guard().turn();
        let now = self.clock.now();
        while let Some((at, token)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, token));
            self.handle(Event::TimerDue { token });
        }
        let now = Instant::now();
        while let Some((_, id)) = self.relay.first_due().filter(|d| d.0 <= now) {
            // A process that was stopped answers late, whatever it does.
            let guard = self.pool.guard();
            let ids = format_args!("request {id} was overdue");
            guard.monitor().check(Invariant::AnsweredInTime, guard.is_catching_up(), ids);
            self.finish(id, Answer::Failed);
            self.handle(Event::ClientGone { id });
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Taken(taken) => {
                let Taken { request, payload, deadline, reply } = *taken;
                let closed = self.maintenance.borrow().is_group_out(request.group) || !self.quota.may_serve();
                if self.pool.guard().check() == Err(Withheld::Expired) {
                    debug!("request {} rejected: the list's lease is over", request.id);
                    let _ = reply.send(Answer::Refused { retry_after: Some(COME_BACK_LISTED) });
                    return;
                }
                if closed || !self.quota.try_spend_admission(request.class) {
                    let _ = reply.send(Answer::Refused { retry_after: Some(COME_BACK) });
                    return;
                }
                self.quota.record_demand();
                self.relay.owe(request.id, reply, deadline + OVERDUE);
                self.sender.keep(request.id, payload, deadline);
                self.handle(Event::RequestArrived(request));
            }
            Input::Gone(id) => {
                if self.relay.lapse(&id) {
                    self.sender.over(id);
                    self.handle(Event::ClientGone { id });
                }
            }
            Input::Ended(mut end, value) => {
                debug!(
                    "request {} attempt {} at member {}: {:?} after {} us",
                    end.id, end.attempt, end.member.0, end.outcome, end.latency.0
                );
                self.sender.ended(end.id, end.attempt);
                let answer = value.map(|value| match value {
                    Value::Whole(raw) => Answer::Served(raw),
                    Value::Passing(flow) => Answer::Passing(flow),
                });
                if let (Outcome::Ok, Some(answer)) = (end.outcome, answer)
                    && self.relay.answer(&end.id, answer)
                {
                    self.sender.over(end.id);
                }
                end.is_request_over = !self.relay.owed(&end.id);
                self.handle(Event::AttemptEnded(end));
            }
            Input::Probed(member, outcome, report) => {
                self.handle(Event::HealthCheckEnded { member, outcome, report });
            }
            Input::List(ListEvent::Failed { silence }) => {
                self.handle(Event::ListUpdated(ListUpdate::Failed { silent_for: silence }))
            }
            Input::List(ListEvent::Unchanged) => {
                self.handle(Event::ListUpdated(ListUpdate::Changes(Arc::default())));
            }
            Input::List(ListEvent::Cached(listing)) => {
                let entries = self.entries(listing);
                self.list(ListUpdate::Cached(entries));
            }
            Input::List(ListEvent::Received(listing)) => {
                let full = listing.is_full;
                info!(
                    "list version {} with {} entries, full={full}",
                    listing.version,
                    listing.endpoints.len()
                );
                self.pool.guard().list_taken(listing.version);
                let entries = self.entries(listing);
                let update = if full { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
                self.list(update);
            }
            Input::MaintenanceChanged(id) => self.say_again(&id),
            Input::Sights(reply) => _ = reply.send(self.sights()),
            Input::Fence(members, done) => {
                let now = self.clock.now();
                let changed =
                    self.maintenance.borrow_mut().set_out_by_fleet(now, members.into_iter().collect());
                changed.iter().for_each(|id| self.say_again(id));
                let _ = done.send(());
            }
            Input::Asked(reply) => _ = reply.send((self.listed.len(), self.avoided())),
        }
    }

    /// Listed members that get nothing now: out by hand, draining, or avoided by the decisions.
    fn avoided(&self) -> usize {
        let maintenance = self.maintenance.borrow();
        let avoided = |(name, (_, member)): &(&String, &(Endpoint, MemberId))| {
            maintenance.is_out(name) || self.router.is_avoided(*member)
        };
        self.listed.iter().filter(avoided).count()
    }

    /// How members are seen: those that lists name, and those that they named of late.
    fn sights(&self) -> BTreeMap<String, HealthObservation> {
        let maintenance = self.maintenance.borrow();
        let sight = |(id, group, _): (&str, GroupId, bool)| {
            let listed = self.listed.get(id).map(|(_, member)| self.router.observed_health(*member));
            let listed = listed.unwrap_or_default();
            let is_out = maintenance.is_out(id);
            let availability = if is_out { Availability::OperatorBan } else { listed.availability };
            (
                id.to_string(),
                HealthObservation {
                    group: u64::from(group.0),
                    availability: availability as i32,
                    is_primary: listed.is_primary,
                },
            )
        };
        maintenance.known().map(sight).collect()
    }

    /// Operators have said something on a member: it is shown anew, at once.
    fn say_again(&mut self, id: &str) {
        let Some((server, _)) = self.listed.get(id).cloned() else { return };
        let mut entries = Vec::new();
        self.show(server, &mut entries);
        let member = entries.first().map(|e| e.member);
        self.list(ListUpdate::Changes(Arc::new(entries)));
        member.into_iter().for_each(|member| self.pool.close_idle(member));
    }

    /// What the decisions forget of the members, everybody forgets.
    fn list(&mut self, update: ListUpdate) {
        self.handle(Event::ListUpdated(update));
        let router = &self.router;
        self.names.retain(|member| router.has_record_of(member));
        self.pool.retain(|member| router.has_record_of(member));
        self.pool.set_accepting(|member| router.accepts_new_requests(member));
    }

    fn entries(&mut self, listing: EndpointList) -> Arc<Vec<ListEntry>> {
        if listing.is_full {
            self.listed.clear();
            self.maintenance.borrow_mut().begin_full_list(self.clock.now());
        }
        self.log_changes(&listing);
        let mut entries = Vec::with_capacity(listing.endpoints.len());
        for server in listing.endpoints {
            self.show(server, &mut entries);
        }
        Arc::new(entries)
    }

    /// Logs the members whose state or start a list changes, the first ones by name.
    fn log_changes(&self, listing: &EndpointList) {
        let is_change = |endpoint: &&Endpoint| {
            self.listed.get(&endpoint.id).is_none_or(|(known, _)| {
                known.state != endpoint.state || known.started_ms != endpoint.started_ms
            })
        };
        let changed: Vec<&Endpoint> = listing.endpoints.iter().filter(is_change).collect();
        for endpoint in changed.iter().take(LOGGED_CHANGES) {
            let known = self.listed.get(&endpoint.id).map(|(known, _)| known.state);
            info!(
                "member {} of group {}: {} to {:?}, started_ms={}, list version {}",
                endpoint.id,
                endpoint.group,
                known.map_or("not listed".to_string(), |state| format!("{state:?}")),
                endpoint.state,
                endpoint.started_ms.unwrap_or(0),
                listing.version,
            );
        }
        if changed.len() > LOGGED_CHANGES {
            info!("list version {} changes {} members in all", listing.version, changed.len());
        }
    }

    /// The entries for a listed member, by what operators have said of it: who is out is shown as drained, and gone.
    fn show(&mut self, server: Endpoint, entries: &mut Vec<ListEntry>) {
        let name = server.id.clone();
        let (entry, addr) = self.names.entry(server.clone());
        if entry.state == MemberState::Gone {
            self.listed.remove(&name);
        } else {
            self.listed.insert(name.clone(), (server, entry.member));
        }
        self.pool.set_address(entry.member, addr);
        self.pool.set_incarnation(entry.member, entry.started.map_or(0, |started| started.0));
        self.pool.set_name(entry.member, &name);
        let now = self.clock.now();
        let listed =
            ListedMember { id: &name, group: entry.group, state: entry.state, started: entry.started };
        match self.maintenance.borrow_mut().record_listed(now, listed) {
            EffectiveState::AsListed { started } => entries.push(ListEntry { started, ..entry }),
            EffectiveState::OutOfService => {
                entries.push(ListEntry { state: MemberState::Draining, ..entry.clone() });
                entries.push(ListEntry { state: MemberState::Gone, ..entry });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(part) = self.quota.load_part() {
            self.router.set_fleet_quota_part(part);
        }
        self.router.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, member, timeout } => {
                debug!("request {id} sent to member {}", member.0);
                self.sender.start(id, member, timeout);
            }
            Action::Reject { id, retry_after } => self.finish(id, Answer::Refused { retry_after }),
            Action::Fail { id } => self.finish(id, Answer::Failed),
            Action::Cancel { id, attempt } => self.sender.cancel(id, attempt),
            Action::SetTimer { token, at } => {
                self.timers.insert((at, token));
            }
            Action::CheckHealth { member } => self.sender.probe(member),
            Action::Subscribe => self.subscribe.notify_one(),
            Action::CloseIdleConnections { member } => self.sender.close(member),
            // Proxies have no way to talk to each other here, and the settings say so.
            Action::GossipPosition { member: MemberId(_), .. } => {}
        }
    }

    fn finish(&mut self, id: RequestId, answer: Answer) {
        match &answer {
            Answer::Refused { retry_after } => debug!("request {id} rejected, retry after {retry_after:?}"),
            Answer::Failed => debug!("request {id} failed"),
            Answer::Served(_) | Answer::Passing(_) => {}
        }
        if self.relay.answer(&id, answer) {
            self.sender.over(id);
        }
    }
}
