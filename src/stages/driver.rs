//! The event loop around [`Router`]: passes each input to the router as an event, and executes the returned actions in
//! order.
//!
//! The driver must never wait for an action; the result of an action arrives as another input. The router chooses
//! members and schedules retries. The driver itself rejects a request only if the list lease has expired, orders of
//! operators or the fleet have taken all members of its group out of service, or the fleet does not permit this proxy
//! to serve it. It fails a request that the router has left unanswered for `ANSWER_OVERDUE_GRACE` past its deadline.

use super::dispatch::{AttemptLimits, Dispatcher};
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
use crate::upstream::attempt::Cancellation;
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

/// Time after the deadline at which the driver fails a request that the router has not answered.
const ANSWER_OVERDUE_GRACE: Duration = Duration::from_millis(40);

/// Retry-After while the list lease has expired. Short, because the next message from discovery renews the lease.
const RETRY_AFTER_UNCONFIRMED_LIST: Micros = Micros(500_000);

/// Retry-After while all members of the request's group are out of service by orders, this proxy's membership in the
/// fleet has expired, or the class's admission budget is exhausted.
const RETRY_AFTER_NOT_ADMITTED: Micros = Micros(1_000_000);

/// A timer of the router: its due time and its token.
type Timer = (Time, u64);

/// The event loop around the router; see [`Driver::run`].
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
    /// Empty between events; kept to reuse its allocation.
    actions: Vec<Action>,
    quota: FleetQuota,
}

/// The components that a [`Driver`] is built from.
pub struct DriverParts {
    /// Chooses the member of each attempt, and the time and member of each retry.
    pub router: Router,
    /// The clock that supplies the time of each event.
    pub clock: Clock,
    /// The inputs, handled in order of arrival.
    pub inputs: mpsc::UnboundedReceiver<DriverInput>,
    /// Starts and cancels attempts.
    pub dispatcher: Dispatcher,
    /// Delivers final responses.
    pub responses: ResponseDelivery,
    /// The connections to members.
    pub pool: Pool,
    /// The mapping between the names and the numeric ids of members.
    pub identifiers: IdentifierTable,
    /// Notified when the router requests a watch of the list.
    pub subscribe: Rc<Notify>,
    /// The orders of operators and the fleet that take members out of service.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// This proxy's quota of the fleet's budgets.
    pub quota: FleetQuota,
}

impl Driver {
    /// Creates a driver whose member table is empty.
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

    /// Runs for the lifetime of the process: the dispatcher holds a sender of inputs, so the channel stays open.
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

    /// The time at which the next router timer or the next response is due.
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

    /// Fails the requests that the router has left unanswered for [`ANSWER_OVERDUE_GRACE`] past their deadlines.
    fn fail_overdue_requests(&mut self) {
        let now = Instant::now();
        while let Some((_, id)) = self.responses.next_due().filter(|(due, _)| *due <= now) {
            // After a hold-up late answers are unavoidable, and do not violate the invariant.
            let guard = self.pool.guard();
            let grace_ms = ANSWER_OVERDUE_GRACE.as_millis();
            let context = format_args!("request {id} had no answer {grace_ms} ms after its deadline");
            guard.monitor().check(Invariant::AnsweredInTime, guard.is_catching_up(), context);
            self.respond(id, FinalResponse::Failed);
            self.handle_event(Event::ClientGone { id });
        }
    }

    fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::RequestAccepted(accepted) => self.request_accepted(*accepted),
            DriverInput::ClientGone(id) => self.client_gone(id),
            DriverInput::AttemptEnded(end, response) => self.attempt_ended(end, response),
            DriverInput::LongAnswerEnded(end) => self.handle_event(Event::LongAnswerEnded(end)),
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
        self.dispatcher.register(request.clone(), payload, deadline);
        self.handle_event(Event::RequestArrived(request));
    }

    /// Checks whether a request may be passed to the router.
    ///
    /// # Errors
    /// The Retry-After with which the request is rejected.
    fn admit(&self, request: &Request) -> Result<(), Micros> {
        if self.pool.guard().check_lease() == Err(ListUnusable::Expired) {
            return Err(RETRY_AFTER_UNCONFIRMED_LIST);
        }
        let is_blocked = self.members.is_group_out(request.group) || !self.quota.may_serve();
        if is_blocked || !self.quota.try_spend_admission(request.class) {
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
            self.respond(end.id, served_response(response));
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
            ListEvent::Received(list) => self.apply_received_list(list),
        }
    }

    fn apply_received_list(&mut self, list: EndpointList) {
        let is_full = list.is_full;
        info!("list version {} with {} entries, full={is_full}", list.version, list.endpoints.len());
        self.pool.guard().set_list_version(list.version);
        let entries = self.members.record_list(list);
        let update = if is_full { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
        self.update_list(update);
    }

    /// Passes the entries of a member under its current orders to the router, and closes the member's idle
    /// connections. Has no effect on a member that is not listed.
    fn maintenance_changed(&mut self, name: &str) {
        let Some(entries) = self.members.current_entries(name) else { return };
        let member = entries.first().map(|entry: &ListEntry| entry.member);
        self.update_list(ListUpdate::Changes(Arc::new(entries)));
        if let Some(member) = member {
            self.pool.close_idle(member);
        }
    }

    /// Sets the members that the fleet takes out of service to `names`, and confirms on `done` once nothing new is
    /// sent to them.
    fn quarantine_changed(&mut self, names: Vec<String>, done: oneshot::Sender<()>) {
        for name in self.members.set_quarantine(names) {
            self.maintenance_changed(&name);
        }
        let _ = done.send(());
    }

    /// Passes a list to the router, then removes the members that the router no longer tracks and updates which ones
    /// accept new statements.
    fn update_list(&mut self, update: ListUpdate) {
        self.handle_event(Event::ListUpdated(update));
        self.members.sync_with_router(&self.router);
    }

    /// Passes an event to the router, with this proxy's current share of the fleet's load, and executes the resulting
    /// actions.
    fn handle_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(part) = self.quota.load_part() {
            self.router.set_fleet_quota_share(part);
        }
        self.router.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, member, timeout, written_by } => {
                debug!("attempt_started request={id} member={}", member.0);
                let written_by = written_by.map(|time| self.clock.instant(time));
                self.dispatcher.start_attempt(id, member, AttemptLimits { timeout, written_by });
            }
            Action::Reject { id, retry_after } => self.respond(id, FinalResponse::Rejected { retry_after }),
            Action::Fail { id } => self.respond(id, FinalResponse::Failed),
            Action::Cancel { id, attempt } => {
                self.dispatcher.cancel_attempt(id, attempt, Cancellation::Always);
            }
            Action::CancelIfUnwritten { id, attempt } => {
                self.dispatcher.cancel_attempt(id, attempt, Cancellation::IfUnwritten);
            }
            Action::SetTimer { token, at } => {
                self.timers.insert((at, token));
            }
            Action::CheckHealth { member } => self.dispatcher.start_health_check(member),
            Action::Subscribe => self.subscribe.notify_one(),
            Action::CloseIdleConnections { member } => self.dispatcher.close_idle(member),
            // Gossip is turned off in the settings, since proxies have no connection to each other for it.
            Action::GossipPosition { member: MemberId(_), .. } => {}
        }
    }

    /// Delivers the final response of a request, unless the request is over already.
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

/// The final response that carries the response of a member.
fn served_response(response: MemberResponse) -> FinalResponse {
    match response {
        MemberResponse::Complete(raw) => FinalResponse::Served(raw),
        MemberResponse::Streaming(response) => FinalResponse::Streaming(response),
    }
}
