//! The one driver of the decisions: handles one input at a time, passes it to the decisions as an event, and carries out the
//! actions that they return, in order.
//!
//! It must never wait for an action: the result of an action arrives as a later input. It chooses no member and makes
//! no retry; it rejects a request by itself only where the list, the operators or the fleet's budgets forbid it, and fails
//! one that the decisions have left unanswered past its deadline.

use super::dispatch::Dispatcher;
use super::member_directory::MemberDirectory;
use super::response_delivery::ResponseDelivery;
use super::{AcceptedRequest, DriverInput, FinalResponse};
use crate::api::{
    Action, AttemptEnd, Event, ListEntry, ListUpdate, MemberId, Micros, Outcome, Request, RequestId, Time,
};
use crate::clock::Clock;
use crate::discovery::list::{EndpointList, IdentifierTable, ListEvent};
use crate::fleet::quota::FleetQuota;
use crate::invariants::Invariant;
use crate::list_lease::ListUnusable;
use crate::maintenance::Maintenance;
use crate::policy::Router;
use crate::upstream::pool::Pool;
use crate::upstream::response::MemberResponse;
use log::{debug, info};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Past its deadline by this much, a request is answered as failed without an action of the decisions.
const ANSWER_OVERDUE_GRACE: Duration = Duration::from_millis(40);

/// Retry-After while nothing confirms the list: a call of discovery is on its way.
const RETRY_AFTER_UNCONFIRMED_LIST: Micros = Micros(500_000);

/// Retry-After for a group that operators have taken out completely, and beyond the fleet's budgets.
const RETRY_AFTER_NOT_ADMITTED: Micros = Micros(1_000_000);

/// A timer of the decisions: when it is due, and the token that they know it by.
type Timer = (Time, u64);

/// The driver.
pub struct Driver {
    router: Router,
    clock: Clock,
    inputs: mpsc::UnboundedReceiver<DriverInput>,
    dispatcher: Dispatcher,
    responses: ResponseDelivery,
    pool: Pool,
    members: MemberDirectory,
    subscribe: Rc<Notify>,
    timers: BTreeSet<Timer>,
    /// Empty between events; kept for its memory.
    actions: Vec<Action>,
    quota: FleetQuota,
}

/// What the driver works with.
pub struct DriverParts {
    /// The decisions.
    pub router: Router,
    /// The clock of all events.
    pub clock: Clock,
    /// The inputs, in the order in which they are handled.
    pub inputs: mpsc::UnboundedReceiver<DriverInput>,
    /// Starts and cancels attempts.
    pub dispatcher: Dispatcher,
    /// Delivers final responses.
    pub responses: ResponseDelivery,
    /// The connections to members.
    pub pool: Pool,
    /// The members' names and numbers.
    pub identifiers: IdentifierTable,
    /// Notified when the decisions ask for a watch of the list.
    pub subscribe: Rc<Notify>,
    /// The members that are out of service by operators' orders.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// This proxy's part of the fleet's budgets.
    pub quota: FleetQuota,
}

impl Driver {
    /// A driver that knows no member yet.
    pub fn new(parts: DriverParts) -> Driver {
        let members =
            MemberDirectory::new(parts.identifiers, parts.maintenance, parts.pool.clone(), parts.clock);
        Driver {
            router: parts.router,
            clock: parts.clock,
            inputs: parts.inputs,
            dispatcher: parts.dispatcher,
            responses: parts.responses,
            pool: parts.pool,
            members,
            subscribe: parts.subscribe,
            timers: BTreeSet::new(),
            actions: Vec::new(),
            quota: parts.quota,
        }
    }

    /// Runs until nothing can send inputs any more.
    pub async fn run(mut self) {
        loop {
            let wake_at = self.next_wake();
            let input = tokio::select! {
                biased;
                input = self.inputs.recv() => input,
                () = sleep_until(wake_at.unwrap_or_else(Instant::now)), if wake_at.is_some() => {
                    self.run_due_timers();
                    continue;
                }
            };
            let Some(input) = input else { return };
            self.pool.guard().begin_turn();
            self.handle_input(input);
            self.run_due_timers();
        }
    }

    /// When the next timer of the decisions or the next response is due.
    fn next_wake(&self) -> Option<Instant> {
        let timer = self.timers.first().map(|(due, _)| self.clock.instant(*due));
        let response = self.responses.next_due().map(|(due, _)| due);
        timer.into_iter().chain(response).min()
    }

    fn run_due_timers(&mut self) {
        self.pool.guard().begin_turn();
        let now = self.clock.now();
        while let Some((due, token)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, token));
            self.handle_event(Event::TimerDue { token });
        }
        self.fail_overdue_requests();
    }

    /// Fails the requests that the decisions have left unanswered.
    fn fail_overdue_requests(&mut self) {
        let now = Instant::now();
        while let Some((_, id)) = self.responses.next_due().filter(|(due, _)| *due <= now) {
            // A process that was stopped answers late, whatever it does.
            let guard = self.pool.guard();
            let ids = format_args!("request {id} was overdue");
            guard.monitor().check(Invariant::AnsweredInTime, guard.is_catching_up(), ids);
            self.respond(id, FinalResponse::Failed);
            self.handle_event(Event::ClientGone { id });
        }
    }

    fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::RequestAccepted(accepted) => self.request_accepted(*accepted),
            DriverInput::ClientGone(id) => self.client_gone(id),
            DriverInput::AttemptEnded(end, response) => self.attempt_ended(end, response),
            DriverInput::HealthCheckEnded(member, outcome, report) => {
                self.handle_event(Event::HealthCheckEnded { member, outcome, report });
            }
            DriverInput::List(event) => self.list_event(event),
            DriverInput::MaintenanceChanged(name) => self.maintenance_changed(&name),
            DriverInput::QuarantineChanged(names, done) => self.quarantine_changed(names, done),
            DriverInput::HealthObservationsRequested(reply) => {
                let _ = reply.send(self.members.health_observations(&self.router));
            }
            DriverInput::MemberCountsRequested(reply) => {
                let _ = reply.send(self.members.counts(&self.router));
            }
        }
    }

    fn request_accepted(&mut self, accepted: AcceptedRequest) {
        let AcceptedRequest { request, payload, deadline, reply } = accepted;
        if let Err(retry_after) = self.admit(&request) {
            debug!("request_rejected id={} retry_after_us={} by=driver", request.id, retry_after.0);
            let _ = reply.send(FinalResponse::Rejected { retry_after: Some(retry_after) });
            return;
        }
        self.quota.record_demand();
        self.responses.register(request.id, reply, deadline + ANSWER_OVERDUE_GRACE);
        self.dispatcher.register(request.id, payload, deadline);
        self.handle_event(Event::RequestArrived(request));
    }

    /// Whether a request may go to the decisions; if not, its Retry-After.
    fn admit(&self, request: &Request) -> Result<(), Micros> {
        if self.pool.guard().check_lease() == Err(ListUnusable::Expired) {
            return Err(RETRY_AFTER_UNCONFIRMED_LIST);
        }
        let is_closed = self.members.is_group_out(request.group) || !self.quota.may_serve();
        if is_closed || !self.quota.try_spend_admission(request.class) {
            return Err(RETRY_AFTER_NOT_ADMITTED);
        }
        Ok(())
    }

    fn client_gone(&mut self, id: RequestId) {
        if self.responses.abandon(&id) {
            self.dispatcher.close_request(id);
            self.handle_event(Event::ClientGone { id });
        }
    }

    fn attempt_ended(&mut self, mut end: AttemptEnd, response: Option<MemberResponse>) {
        debug!(
            "attempt_ended request={} attempt={} member={} outcome={:?} latency_us={}",
            end.id, end.attempt, end.member.0, end.outcome, end.latency.0
        );
        self.dispatcher.record_attempt_end(end.id, end.attempt);
        if let (Outcome::Ok, Some(response)) = (end.outcome, response) {
            self.respond(end.id, served(response));
        }
        end.is_request_over = !self.responses.is_open(&end.id);
        self.handle_event(Event::AttemptEnded(end));
    }

    fn list_event(&mut self, event: ListEvent) {
        match event {
            ListEvent::Failed { silence } => {
                self.handle_event(Event::ListUpdated(ListUpdate::Failed { silent_for: silence }));
            }
            ListEvent::Unchanged => {
                self.handle_event(Event::ListUpdated(ListUpdate::Changes(Arc::default())));
            }
            ListEvent::Cached(list) => {
                let entries = self.members.record_list(list);
                self.update_list(ListUpdate::Cached(entries));
            }
            ListEvent::Received(list) => self.list_received(list),
        }
    }

    fn list_received(&mut self, list: EndpointList) {
        let is_full = list.is_full;
        info!("list version {} with {} entries, full={is_full}", list.version, list.endpoints.len());
        self.pool.guard().set_list_version(list.version);
        let entries = self.members.record_list(list);
        let update = if is_full { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
        self.update_list(update);
    }

    /// Shows a member to the decisions anew, by the orders on it now, and closes its idle connections.
    fn maintenance_changed(&mut self, name: &str) {
        let Some(entries) = self.members.current_entries(name) else { return };
        let member = entries.first().map(|entry: &ListEntry| entry.member);
        self.update_list(ListUpdate::Changes(Arc::new(entries)));
        if let Some(member) = member {
            self.pool.close_idle(member);
        }
    }

    /// Takes the fleet's choice of members out of service. It is confirmed once nothing new is sent to them.
    fn quarantine_changed(&mut self, names: Vec<String>, done: oneshot::Sender<()>) {
        for name in self.members.set_quarantine(names) {
            self.maintenance_changed(&name);
        }
        let _ = done.send(());
    }

    /// Passes a list to the decisions, and forgets whom they forget.
    fn update_list(&mut self, update: ListUpdate) {
        self.handle_event(Event::ListUpdated(update));
        self.members.follow(&self.router);
    }

    /// Passes an event to the decisions, and carries out what they ask for.
    fn handle_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(part) = self.quota.load_part() {
            self.router.set_fleet_quota_share(part);
        }
        self.router.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, member, timeout } => {
                debug!("attempt_started request={id} member={}", member.0);
                self.dispatcher.start_attempt(id, member, timeout);
            }
            Action::Reject { id, retry_after } => self.respond(id, FinalResponse::Rejected { retry_after }),
            Action::Fail { id } => self.respond(id, FinalResponse::Failed),
            Action::Cancel { id, attempt } => self.dispatcher.cancel_attempt(id, attempt),
            Action::SetTimer { token, at } => {
                self.timers.insert((at, token));
            }
            Action::CheckHealth { member } => self.dispatcher.start_health_check(member),
            Action::Subscribe => self.subscribe.notify_one(),
            Action::CloseIdleConnections { member } => self.dispatcher.close_idle(member),
            // Proxies cannot reach each other here, so the settings turn gossip off.
            Action::GossipPosition { member: MemberId(_), .. } => {}
        }
    }

    /// Delivers the final response of a request, unless it is over.
    fn respond(&mut self, id: RequestId, response: FinalResponse) {
        match &response {
            FinalResponse::Rejected { retry_after } => {
                debug!(
                    "request_rejected id={id} retry_after_us={:?} by=decisions",
                    retry_after.map(|span| span.0)
                );
            }
            FinalResponse::Failed => debug!("request_failed id={id}"),
            FinalResponse::Served(_) | FinalResponse::Streaming(_) => {}
        }
        if self.responses.deliver(&id, response) {
            self.dispatcher.close_request(id);
        }
    }
}

/// The final response of a request that a member has served.
fn served(response: MemberResponse) -> FinalResponse {
    match response {
        MemberResponse::Complete(raw) => FinalResponse::Served(raw),
        MemberResponse::Streaming(response) => FinalResponse::Streaming(response),
    }
}
