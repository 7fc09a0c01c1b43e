//! Which member gets a request, when, and what happens after failures. Its interface is `api.rs`; the plain
//! records that it keeps are in `state.rs`.
//!
//! One mechanism decides the ordinary path: a read with a target log position runs on a replica that has
//! applied it, waiting for that up to a timeout, and otherwise on the primary; writes and fresh reads run on
//! the primary. Everything else here guards that path. Pure: equal events give equal actions.

mod attempts;
mod draw;
mod holds;
mod members;
mod primary;
mod refusals;
mod targets;

use crate::api::*;
use crate::state::{Attempt, EjectedMember, Group, Held, Member};
pub use crate::state::{ObservedHealth, Router};
use std::collections::BTreeSet;

type Us = u64;
const MS: Us = 1_000;

/// The design's wait: no read is held for its position longer than this before the primary is asked.
const WAIT: Us = 1_000 * MS;
/// Part of a read's time to its aim after which the wait ends; drawn, so waits begun together end apart.
const WAIT_PART: (f64, f64) = (0.25, 0.55);
const TICK: Us = 10 * MS;
/// Members without work out are looked after at this gap.
const WALK: Us = 100 * MS;
/// Answers are owed before the deadline: a held request is given up this long before it.
const MARGIN: Us = 15 * MS;
/// Reports may be this old when they arrive; nothing is concluded from less.
const REPORT_AGE: Us = 400 * MS;
/// A turned-away read doesn't go back to the same replica sooner.
const MISS_REST: Us = 60 * MS;
/// What background probes and words to peers may cost of the result, and the most saved up, of probes also
/// over the fleet. Shortest gaps.
const PROBE_SPEND: (f64, f64, f64) = (0.004, 20.0, 60.0);
const TELL_SPEND: (f64, f64) = (0.015, 1_000.0);
const PROBE_EVERY: Us = 200 * MS;
const TELL_STEP: Us = 100 * MS;
/// Gap between probes that look for a primary or a fresh replica: the least, and for each router of a fleet;
/// how many of a write's attempts may look for a primary.
const SEEK_EVERY: (Us, Us) = (100 * MS, 5 * MS);
const GUESSES: u32 = 3;
/// Silence: no answer for the first + second / in flight of its usual latencies, the third at least.
const SILENT: (f64, f64, f64) = (2.0, 5.0, 120_000.0);
/// Smoothing of a member's latency, a class's mean, the share unanswered; FADE: older is replaced.
const SMOOTH_MEMBER: f64 = 0.12;
const SMOOTH_CLASS: f64 = 0.02;
const SMOOTH_LOST: f64 = 0.05;
const FADE: f64 = 6_000_000.0;
/// Sharpness of the draw: 1 follows latency x (in flight + 1) softly, more sends fewer to the worse.
const SHARPNESS: f64 = 2.5;
/// How strongly reads of any age gather on the replica furthest behind.
const GATHER: i32 = 24;
/// In-flight limit of a member, over all routers: start, least (its cores), step up; at one: first, most.
const LIMIT: (f64, f64, f64) = (16.0, 3.0, 2.0);
const LIMIT_ONE: (f64, f64) = (6.0, 64.0);
/// Latency over aim: from the first strained, so many times it limits shrink; what noise adds.
const STRAIN: (f64, f64, f64) = (0.133, 1.5, 2.0);
/// Cores' worth of bearable work that all routers together may give a cold member.
const COLD_CORES: f64 = 3.0;
/// The use of its processors that a cold member is brought to; the most by which its own word changes its
/// pace, the part of that which counts for all cold ones, the most by which theirs changes while any is.
const PACE: (f64, f64, f64, f64) = (0.85, 2.0, 0.4, 5.0);
/// What was learned of a member outlives its absence this long.
const KEEP_ABSENT: Us = 60_000 * MS;
/// Second copies: budget per request, the most saved up, and after how many expected latencies one is sent.
const COPIES: (f64, f64, f64) = (0.05, 10.0, 3.0);
/// Else an attempt is called off and sent anew: after so many when the third part is lost, when none is.
const MOVE_AFTER: (f64, f64, f64) = (4.0, 10.0, 0.15);
/// Heard of within this time, a member isn't dead for want of a connection, unless so many in a row.
const ALIVE: Us = 1_000 * MS;
const REFUSALS: u32 = 5;
/// What a new connection costs, in mean latencies: smoothing, and what a failed one counts.
const LINK_COST: (f64, f64) = (0.1, 5.0);
/// What has less left than so many mean latencies, or this part of its aim if that is less (in a slow time
/// news that it is over must come in), goes only where less than SPARE of the limit is out, or is let go.
const LEAD: (f64, f64) = (2.0, 0.7);
const SPARE: f64 = 0.5;
/// Held requests and remembered sessions per group: bounds on memory and on work per event.
const HELD_MOST: usize = 400;
const TRIES: usize = 24;
const SESSIONS_MOST: usize = 50_000;
/// Advice to refused clients: from this, spread over as much, more the more routers refuse together.
const COME_BACK: Us = 150 * MS;

/// Listed as serving, and neither silent nor unreachable.
fn well(m: &Member) -> bool {
    m.state == MemberState::InService && m.ejected.is_none()
}

/// Well, or ill and due for one trial.
fn may_try(m: &Member) -> bool {
    m.state == MemberState::InService && m.ejected.as_ref().is_none_or(|i| i.trial_ready)
}

impl Router {
    /// A router that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Router {
        let first_guess = |c: &Class| c.latency_objective.0 as f64 / 5.0;
        Router {
            means: settings.classes.iter().map(first_guess).collect(),
            patience: settings.classes.iter().map(|c| c.latency_objective.0 as f64).collect(),
            probe_credit: 1.0,
            ..Router::blank(settings, fastrand::Rng::with_seed(seed), now.0)
        }
    }

    /// Takes one event and pushes the actions it calls for, to be carried out in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now.0);
        match event {
            Event::ListUpdated(update) => self.on_list(update),
            Event::RequestArrived(request) => self.on_request(request, out),
            Event::AttemptEnded(ended) => self.on_ended(ended, out),
            Event::ClientGone { id } => self.on_lapsed(id, out),
            Event::TimerDue { token } if token == self.timer => {
                self.timer_at = 0;
                self.on_tick(out);
            }
            Event::AttemptStarted { .. } | Event::TimerDue { .. } => {}
            Event::PositionGossiped { member, position, is_primary: primary } => {
                self.on_told(member, position.0, primary, out)
            }
            Event::HealthCheckEnded { member, outcome, report } => {
                self.on_probed(member, outcome, report, out)
            }
        }
        // Wake soon only while a request is here: most of the time a router of hundreds has none.
        let due = self.now + if self.requests.is_empty() { WALK } else { TICK.max(self.set.tick.0) };
        if self.timer_at == 0 || due < self.timer_at {
            (self.timer, self.timer_at) = (self.timer + 1, due);
            out.push(Action::SetTimer { token: self.timer, at: Time(self.timer_at) });
        }
    }
}
