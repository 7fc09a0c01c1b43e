//! Events that occur in few histories: bursts beyond the queue limit, more sessions than the router remembers,
//! removed groups, members that change groups, and unknown or duplicate identifiers.

use super::*;

/// Requests of an overload burst: more than the router queues for one group.
const OVERLOAD_REQUESTS: u32 = 600;
/// Sessions that write one after the other. Some writes are rejected; the remaining sessions still exceed what the
/// router remembers per group.
const MANY_SESSIONS: u64 = 60_000;
/// Time between these writes, in microseconds.
const WRITE_GAP: u64 = 50;
/// Number of a member and of a request that occur in no list and in no request.
const UNKNOWN_ID: u32 = 1_000_000;

impl History<'_> {
    /// Runs one randomly drawn rare event.
    pub(super) fn run_rare_event(&mut self) {
        match self.rng.u32(..16) {
            0 => self.overload_group(),
            1..4 => self.remove_group(),
            4..7 => self.move_member_to_next_group(),
            7..9 => self.repeat_open_request(),
            9 => self.send_request_of_unknown_class(),
            10..12 => {
                let class = self.rng.usize(..self.classes);
                self.request_arrives(class, GroupId(GROUPS), None);
            }
            12 => self.repeat_attempt_end(),
            _ => self.send_unknown_identifiers(),
        }
    }

    fn overload_group(&mut self) {
        let group = GroupId(self.rng.u32(..GROUPS));
        for _ in 0..OVERLOAD_REQUESTS {
            let after = self.rng.u64(..20 * MS);
            self.schedule_in(after, ScheduledEvent::RequestArrives(Some(group)));
        }
    }

    /// Writes from more sessions than the router remembers, so that it evicts the oldest. Each write is answered
    /// immediately.
    pub(super) fn write_from_many_sessions(&mut self) {
        let Some(class) = self.settings.classes.iter().position(|class| class.read_level == ReadLevel::Write)
        else {
            return;
        };
        self.members.iter_mut().for_each(|member| member.condition = Condition::Healthy);
        self.answers_immediately = true;
        for session in 0..MANY_SESSIONS {
            self.request_arrives(class, GroupId(0), Some(SessionKey(SESSIONS + session)));
            self.run_for(WRITE_GAP);
        }
        self.answers_immediately = false;
    }

    /// Marks all members of a group as gone in the list and schedules their return.
    fn remove_group(&mut self) {
        let group = GroupId(self.rng.u32(..GROUPS));
        self.set_state_of_group(group, MemberState::Gone);
        let after = self.pick(&[50 * MS, SECOND, 20 * SECOND]);
        self.schedule_in(after, ScheduledEvent::GroupReturns(group));
    }

    pub(super) fn set_state_of_group(&mut self, group: GroupId, state: MemberState) {
        let members = self.members.iter_mut().filter(|member| member.group == group);
        members.for_each(|member| member.state = state);
        let form = if self.rng.bool() { ListForm::Full } else { ListForm::Changes };
        self.send_list(form);
    }

    /// Lists a member in another group; half of the time it is then removed from that group at once.
    fn move_member_to_next_group(&mut self) {
        let index = self.rng.usize(..self.members.len());
        let group = &mut self.members[index].group;
        *group = GroupId((group.0 + 1) % GROUPS);
        self.send_list(ListForm::Changes);
        if self.rng.bool() {
            self.members[index].state = MemberState::Gone;
            self.send_list(ListForm::Changes);
        }
    }

    /// Sends a second request with the id of an open one. The router still owes only one final answer.
    fn repeat_open_request(&mut self) {
        let open = self.requests.iter().filter(|(_, request)| !request.is_over).map(|(id, _)| *id);
        let open: Vec<RequestId> = open.collect();
        if let Some(id) = self.rng.choice(&open).copied() {
            self.handle(minimal_request(id, ClassId(0)));
        }
    }

    fn send_request_of_unknown_class(&mut self) {
        self.next_request += 1;
        self.handle(minimal_request(request_id(self.next_request), ClassId(self.classes)));
    }

    /// Reports the end of an attempt a second time.
    fn repeat_attempt_end(&mut self) {
        let first_has_ended =
            |request: &ModelRequest| request.attempts.first().is_some_and(|attempt| attempt.has_ended);
        let mut ended =
            self.requests.iter().filter(|(_, request)| first_has_ended(request)).map(|(id, _)| *id);
        let Some(id) = ended.next_back() else { return };
        let member = self.members[self.rng.usize(..self.members.len())].id;
        self.handle(failed_attempt_end(id, member));
    }

    /// Sends an event for a member and a request that are unknown to the router.
    fn send_unknown_identifiers(&mut self) {
        let (member, id) = (MemberId(UNKNOWN_ID), request_id(u64::from(UNKNOWN_ID)));
        let event = match self.rng.u32(..4) {
            0 => failed_attempt_end(id, member),
            1 => Event::HealthCheckEnded { member, outcome: Outcome::Ok, report: LoadReport::default() },
            2 => Event::PositionGossiped { member, position: LogPosition(self.now), is_primary: true },
            _ => Event::ClientGone { id },
        };
        self.handle(event);
    }
}

fn minimal_request(id: RequestId, class: ClassId) -> Event {
    let time_left = Micros(SECOND);
    let group = GroupId(0);
    Event::RequestArrived(Request {
        id,
        class,
        time_left,
        tenant: None,
        last_write_age: None,
        group,
        session: None,
        is_statement_long: false,
    })
}

fn failed_attempt_end(id: RequestId, member: MemberId) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt: 0,
        member,
        outcome: Outcome::Failed,
        latency: Micros(MS),
        is_request_over: false,
        position: None,
        role: None,
        report: LoadReport::default(),
    })
}
