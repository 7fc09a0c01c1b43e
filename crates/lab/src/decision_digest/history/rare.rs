//! What few histories hold: crowds, more sessions than are remembered, groups that go, members that change their group,
//! and events on what the router doesn't know.

use super::*;

/// Requests of a crowd: more than a router holds in a group.
const CROWD: u32 = 600;
/// Sessions that write, one after the other. Some are refused; the others are more than a router remembers in a group.
const MANY_SESSIONS: u64 = 60_000;
/// Time between their writes.
const WRITE_GAP: u64 = 50;
/// A member, and a request, that no list and no client ever named.
const UNKNOWN: u32 = 1_000_000;

impl History<'_> {
    /// One of the events that few histories hold.
    pub(super) fn rare_event(&mut self) {
        match self.rng.u32(..16) {
            0 => self.crowd_arrives(),
            1..4 => self.group_goes(),
            4..7 => self.member_changes_group(),
            7..9 => self.request_repeats(),
            9 => self.request_of_unknown_class(),
            10..12 => {
                let class = self.rng.usize(..self.classes);
                self.request_arrives(class, GroupId(GROUPS), None);
            }
            12 => self.attempt_ends_again(),
            _ => self.unknown_identifiers_arrive(),
        }
    }

    fn crowd_arrives(&mut self) {
        let group = GroupId(self.rng.u32(..GROUPS));
        for _ in 0..CROWD {
            let after = self.rng.u64(..20 * MS);
            self.schedule_in(after, Scheduled::RequestArrives(Some(group)));
        }
    }

    /// Writes of so many sessions that the router forgets the oldest, each answered at once.
    pub(super) fn many_sessions_write(&mut self) {
        let Some(class) = self.settings.classes.iter().position(|class| class.read_level == ReadLevel::Write)
        else {
            return;
        };
        self.members.iter_mut().for_each(|member| member.condition = Condition::Healthy);
        self.answers_at_once = true;
        for session in 0..MANY_SESSIONS {
            self.request_arrives(class, GroupId(0), Some(SessionKey(SESSIONS + session)));
            self.run_for(WRITE_GAP);
        }
        self.answers_at_once = false;
    }

    /// The list says that all members of a group are gone; later they are back.
    fn group_goes(&mut self) {
        let group = GroupId(self.rng.u32(..GROUPS));
        self.set_state_of_group(group, MemberState::Gone);
        let after = self.pick(&[50 * MS, SECOND, 20 * SECOND]);
        self.schedule_in(after, Scheduled::GroupReturns(group));
    }

    pub(super) fn set_state_of_group(&mut self, group: GroupId, state: MemberState) {
        let members = self.members.iter_mut().filter(|member| member.group == group);
        members.for_each(|member| member.state = state);
        let form = if self.rng.bool() { ListForm::Full } else { ListForm::Changes };
        self.send_list(form);
    }

    /// A member is listed in another group, and half of the time it is gone from there at once.
    fn member_changes_group(&mut self) {
        let index = self.rng.usize(..self.members.len());
        let group = &mut self.members[index].group;
        *group = GroupId((group.0 + 1) % GROUPS);
        self.send_list(ListForm::Changes);
        if self.rng.bool() {
            self.members[index].state = MemberState::Gone;
            self.send_list(ListForm::Changes);
        }
    }

    /// An id arrives again while its request is open: the router owes one answer all the same.
    fn request_repeats(&mut self) {
        let open = self.requests.iter().filter(|(_, request)| !request.is_over).map(|(id, _)| *id);
        let open: Vec<RequestId> = open.collect();
        if let Some(id) = self.rng.choice(&open).copied() {
            self.handle(plain_request(id, ClassId(0)));
        }
    }

    fn request_of_unknown_class(&mut self) {
        self.next_request += 1;
        self.handle(plain_request(request_id(self.next_request), ClassId(self.classes)));
    }

    /// The end of an attempt is told twice.
    fn attempt_ends_again(&mut self) {
        let first_has_ended =
            |request: &ModelRequest| request.attempts.first().is_some_and(|attempt| attempt.has_ended);
        let mut ended =
            self.requests.iter().filter(|(_, request)| first_has_ended(request)).map(|(id, _)| *id);
        let Some(id) = ended.next_back() else { return };
        let member = self.members[self.rng.usize(..self.members.len())].id;
        self.handle(plain_end(id, member));
    }

    /// Events on a member and a request that the router does not know.
    fn unknown_identifiers_arrive(&mut self) {
        let (member, id) = (MemberId(UNKNOWN), request_id(u64::from(UNKNOWN)));
        let event = match self.rng.u32(..4) {
            0 => plain_end(id, member),
            1 => Event::HealthCheckEnded { member, outcome: Outcome::Ok, report: LoadReport::default() },
            2 => Event::PositionGossiped { member, position: LogPosition(self.now), is_primary: true },
            _ => Event::ClientGone { id },
        };
        self.handle(event);
    }
}

fn plain_request(id: RequestId, class: ClassId) -> Event {
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
    })
}

fn plain_end(id: RequestId, member: MemberId) -> Event {
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
