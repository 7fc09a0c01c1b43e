//! The one driver of the decisions: events queue up, each is handled by itself, and the actions it calls for
//! are carried out in order. What an action brings about comes back as a later event, never at once.

use super::dispatch::Dispatcher;
use super::response_delivery::ResponseDelivery;
use super::{AcceptedRequest, DriverInput, FinalResponse, MemberCounts};
use crate::api::{
    Action, Event, GroupId, ListEntry, ListUpdate, MemberId, MemberState, Outcome, RequestId, Span, Time,
};
use crate::clock::Clock;
use crate::discovery::list::{Endpoint, EndpointList, IdentifierTable, ListEvent};
use crate::fleet::Shares;
use crate::invariants::Invariant;
use crate::list_lease::Withheld;
use crate::maintenance::{EffectiveState, ListedMember, Maintenance};
use crate::policy::Router;
use crate::upstream::pool::Pool;
use crate::upstream::response::MemberResponse;
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
const ANSWER_OVERDUE_GRACE: Duration = Duration::from_millis(40);

/// Advice to clients while nothing confirms the list: a call of discovery is on its way.
const RETRY_AFTER_UNCONFIRMED_LIST: Span = Span(500_000);

/// Advice to clients of a group that operators have taken out whole, or beyond the fleet's budget.
const RETRY_AFTER_NOT_ADMITTED: Span = Span(1_000_000);

/// Changes of members that are logged for one list; the rest is counted.
const LOGGED_CHANGES: usize = 16;

/// The stage.
pub struct Route {
    router: Router,
    clock: Clock,
    inbox: mpsc::UnboundedReceiver<DriverInput>,
    dispatcher: Dispatcher,
    responses: ResponseDelivery,
    pool: Pool,
    names: IdentifierTable,
    subscribe: Rc<Notify>,
    maintenance: Rc<RefCell<Maintenance>>,
    /// What lists last said of each member.
    listed: BTreeMap<String, (Endpoint, MemberId)>,
    timers: BTreeSet<(Time, u64)>,
    actions: Vec<Action>,
    shares: Shares,
}

/// What the driver works with.
pub struct RouteParts {
    /// The decisions.
    pub router: Router,
    /// The clock of all events.
    pub clock: Clock,
    /// The events, in the order in which they are handled.
    pub inbox: mpsc::UnboundedReceiver<DriverInput>,
    /// Starts and cancels attempts.
    pub dispatcher: Dispatcher,
    /// Gives final answers.
    pub responses: ResponseDelivery,
    /// The connections to members.
    pub pool: Pool,
    /// The members' names and numbers.
    pub names: IdentifierTable,
    /// Notified when the decisions ask for a watch of the list.
    pub subscribe: Rc<Notify>,
    /// The members that are out by order of operators.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// This proxy's part of the fleet's budgets.
    pub shares: Shares,
}

impl Route {
    /// A driver that has heard of no member yet.
    pub fn new(parts: RouteParts) -> Route {
        Route {
            router: parts.router,
            clock: parts.clock,
            inbox: parts.inbox,
            dispatcher: parts.dispatcher,
            responses: parts.responses,
            pool: parts.pool,
            names: parts.names,
            subscribe: parts.subscribe,
            maintenance: parts.maintenance,
            listed: BTreeMap::new(),
            timers: BTreeSet::new(),
            actions: Vec::new(),
            shares: parts.shares,
        }
    }

    /// Runs until nobody can send events any more.
    pub async fn run(mut self) {
        loop {
            let timer = self.timers.first().map(|(at, _)| self.clock.instant(*at));
            let wake = timer.into_iter().chain(self.responses.next_due().map(|d| d.0)).min();
            let input = tokio::select! {
                biased;
                input = self.inbox.recv() => input,
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                    self.fire();
                    continue;
                }
            };
            let Some(input) = input else { return };
            self.pool.guard().begin_turn();
            self.take(input);
            self.fire();
        }
    }

    fn fire(&mut self) {
        self.pool.guard().begin_turn();
        let now = self.clock.now();
        while let Some((at, token)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, token));
            self.handle(Event::Timer { token });
        }
        let now = Instant::now();
        while let Some((_, id)) = self.responses.next_due().filter(|d| d.0 <= now) {
            // A process that was stopped answers late, whatever it does.
            let guard = self.pool.guard();
            let ids = format_args!("request {id} was overdue");
            guard.monitor().check(Invariant::AnsweredInTime, guard.is_catching_up(), ids);
            self.finish(id, FinalResponse::Failed);
            self.handle(Event::Lapsed { id });
        }
    }

    fn take(&mut self, input: DriverInput) {
        match input {
            DriverInput::RequestAccepted(accepted) => {
                let AcceptedRequest { request, payload, deadline, reply } = *accepted;
                let closed = self.maintenance.borrow().is_group_out(request.group) || !self.shares.serves();
                if self.pool.guard().check_lease() == Err(Withheld::Expired) {
                    debug!("request {} rejected: the list's lease is over", request.id);
                    let _ = reply
                        .send(FinalResponse::Rejected { retry_after: Some(RETRY_AFTER_UNCONFIRMED_LIST) });
                    return;
                }
                if closed || !self.shares.admission(request.class) {
                    let _ =
                        reply.send(FinalResponse::Rejected { retry_after: Some(RETRY_AFTER_NOT_ADMITTED) });
                    return;
                }
                self.shares.work();
                self.responses.register(request.id, reply, deadline + ANSWER_OVERDUE_GRACE);
                self.dispatcher.register(request.id, payload, deadline);
                self.handle(Event::Request(request));
            }
            DriverInput::ClientGone(id) => {
                if self.responses.abandon(&id) {
                    self.dispatcher.close_request(id);
                    self.handle(Event::Lapsed { id });
                }
            }
            DriverInput::AttemptEnded(mut end, response) => {
                debug!(
                    "request {} attempt {} at member {}: {:?} after {} us",
                    end.id, end.attempt, end.member.0, end.outcome, end.latency.0
                );
                self.dispatcher.record_attempt_end(end.id, end.attempt);
                let answer = response.map(|response| match response {
                    MemberResponse::Complete(raw) => FinalResponse::Served(raw),
                    MemberResponse::Streaming(response) => FinalResponse::Streaming(response),
                });
                if let (Outcome::Ok, Some(answer)) = (end.outcome, answer)
                    && self.responses.deliver(&end.id, answer)
                {
                    self.dispatcher.close_request(end.id);
                }
                end.closed = !self.responses.is_open(&end.id);
                self.handle(Event::AttemptEnded(end));
            }
            DriverInput::HealthCheckEnded(member, outcome, report) => {
                self.handle(Event::Probed { member, outcome, report });
            }
            DriverInput::List(ListEvent::Failed { silence: quiet }) => {
                self.handle(Event::List(ListUpdate::Failed { quiet }))
            }
            DriverInput::List(ListEvent::Unchanged) => {
                self.handle(Event::List(ListUpdate::Changes(Arc::default())));
            }
            DriverInput::List(ListEvent::Cached(listing)) => {
                let entries = self.entries(listing);
                self.list(ListUpdate::Cached(entries));
            }
            DriverInput::List(ListEvent::Received(listing)) => {
                let full = listing.is_full;
                info!(
                    "list version {} with {} entries, full={full}",
                    listing.version,
                    listing.endpoints.len()
                );
                self.pool.guard().set_list_version(listing.version);
                let entries = self.entries(listing);
                let update = if full { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
                self.list(update);
            }
            DriverInput::MaintenanceChanged(id) => self.say_again(&id),
            DriverInput::HealthObservationsRequested(reply) => _ = reply.send(self.sights()),
            DriverInput::QuarantineChanged(members, done) => {
                let now = self.clock.now();
                let changed =
                    self.maintenance.borrow_mut().set_out_by_fleet(now, members.into_iter().collect());
                changed.iter().for_each(|id| self.say_again(id));
                let _ = done.send(());
            }
            DriverInput::MemberCountsRequested(reply) => {
                _ = reply.send(MemberCounts { listed: self.listed.len(), avoided: self.avoided() })
            }
        }
    }

    /// Listed members that get nothing now: out by hand, draining, or avoided by the decisions.
    fn avoided(&self) -> usize {
        let maintenance = self.maintenance.borrow();
        let avoided = |(name, (_, member)): &(&String, &(Endpoint, MemberId))| {
            maintenance.is_out(name) || self.router.avoids(*member)
        };
        self.listed.iter().filter(avoided).count()
    }

    /// How members are seen: those that lists name, and those that they named of late.
    fn sights(&self) -> BTreeMap<String, HealthObservation> {
        let maintenance = self.maintenance.borrow();
        let sight = |(id, group, _): (&str, GroupId, bool)| {
            let listed = self.listed.get(id).map(|(_, member)| self.router.sight(*member));
            let (cause, primary) = listed.unwrap_or((Availability::Delisted, false));
            let cause = if maintenance.is_out(id) { Availability::OperatorBan } else { cause };
            (
                id.to_string(),
                HealthObservation {
                    group: u64::from(group.0),
                    availability: cause as i32,
                    is_primary: primary,
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
        self.handle(Event::List(update));
        let router = &self.router;
        self.names.retain(|member| router.knows(member));
        self.pool.retain(|member| router.knows(member));
        self.pool.set_accepting(|member| router.takes_new(member));
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
        self.pool.set_incarnation(entry.member, entry.started);
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
        if let Some(part) = self.shares.part() {
            self.router.hold_part(part);
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
                self.dispatcher.start_attempt(id, member, timeout);
            }
            Action::Refuse { id, retry_after } => self.finish(id, FinalResponse::Rejected { retry_after }),
            Action::Fail { id } => self.finish(id, FinalResponse::Failed),
            Action::Cancel { id, attempt } => self.dispatcher.cancel_attempt(id, attempt),
            Action::Timer { token, at } => {
                self.timers.insert((at, token));
            }
            Action::Probe { member } => self.dispatcher.start_health_check(member),
            Action::Subscribe => self.subscribe.notify_one(),
            Action::Close { member } => self.dispatcher.close_idle(member),
            // Proxies have no way to talk to each other here, and the settings say so.
            Action::Tell { member: MemberId(_), .. } => {}
        }
    }

    fn finish(&mut self, id: RequestId, answer: FinalResponse) {
        match &answer {
            FinalResponse::Rejected { retry_after } => {
                debug!("request {id} rejected, retry after {retry_after:?}")
            }
            FinalResponse::Failed => debug!("request {id} failed"),
            FinalResponse::Served(_) | FinalResponse::Streaming(_) => {}
        }
        if self.responses.deliver(&id, answer) {
            self.dispatcher.close_request(id);
        }
    }
}
