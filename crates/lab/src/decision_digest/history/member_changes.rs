//! Changes of the members of a history: faults, restarts, failovers, drains and gossip.

use super::super::members::Condition;
use super::{History, ListForm, MS, SECOND};
use linenhill_decisions::api::{Event, LogPosition, MemberState, Time, ZoneId};

impl History<'_> {
    /// Applies one random change to the members, or to the fleet's quota share, and usually sends a list afterwards.
    pub(super) fn change_members(&mut self) {
        let index = self.rng.usize(..self.members.len());
        match self.rng.u32(..12) {
            0..4 => self.change_condition(index),
            4 => self.make_zone_unresponsive(),
            5 => self.restart(index),
            6 => self.fail_over(index),
            7 => self.draw_state(index),
            8 => self.gossip(index),
            9 => self.router.set_fleet_quota_share(self.rng.f64() - 0.3),
            10 => self.members.iter_mut().for_each(|member| member.condition = Condition::Healthy),
            _ => self.members[index].lag = self.rng.u64(..5_000) * MS,
        }
        let form = match self.rng.u32(..8) {
            0 => ListForm::Full,
            1..4 => ListForm::Changes,
            4 => ListForm::Failed,
            5 => ListForm::Partial,
            _ => return,
        };
        self.send_list(form);
    }

    fn change_condition(&mut self, index: usize) {
        let conditions = [
            Condition::Unresponsive,
            Condition::RefusesConnections,
            Condition::Unreachable,
            Condition::Overloaded,
            Condition::Slow,
            Condition::Erratic,
        ];
        let condition = *self.rng.choice(&conditions).unwrap_or(&Condition::Unresponsive);
        self.members[index].condition = condition;
        self.members[index].utilisation = self.rng.f64();
    }

    fn make_zone_unresponsive(&mut self) {
        let zone = ZoneId(self.rng.usize(..3));
        for member in self.members.iter_mut().filter(|member| member.zone == zone) {
            member.condition = Condition::Unresponsive;
        }
    }

    fn restart(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.started = Some(Time(self.now - self.rng.u64(..2 * SECOND)));
        member.condition = Condition::Healthy;
        member.utilisation = self.rng.f64();
    }

    fn fail_over(&mut self, index: usize) {
        let group = self.members[index].group;
        for member in self.members.iter_mut().filter(|member| member.group == group) {
            member.is_primary = member.id.0 as usize == index;
        }
    }

    fn draw_state(&mut self, index: usize) {
        let states = [MemberState::InService, MemberState::Draining, MemberState::Gone];
        self.members[index].state = *self.rng.choice(&states).unwrap_or(&MemberState::InService);
    }

    fn gossip(&mut self, index: usize) {
        let member = &self.members[index];
        let position = LogPosition(member.position(self.now).0 + self.rng.u64(..20) * MS);
        let event = Event::PositionGossiped { member: member.id, position, is_primary: member.is_primary };
        self.handle(event);
    }
}
