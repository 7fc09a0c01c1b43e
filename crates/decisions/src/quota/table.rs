//! The granters' half: what each proxy may use, and for how long that must be counted. The same at every keeper, changed
//! only by the entries of the agreed log; see [`crate::membership`] for what time is here.

use super::max_min_fair::{Claim, max_min_fair};
use super::{
    Budget, Budgets, Grant, MAX_ALLOCATIONS, MAX_BUDGET_ENTRIES, MAX_BUDGETS, MAX_ENTRY_NAME_BYTES,
    MAX_UNITS, Quota, QuotaNeed, QuotaRequest,
};
use crate::fault_injection::{Fault, is_injected};
use crate::membership::{LeaseTerms, Membership, SessionRejected};
use std::collections::{BTreeMap, BTreeSet};

/// Grants of one holder that are counted apart; beyond that the two oldest count as one that is as large as the larger
/// and lasts as long as the longer.
const GRANTS_MOST: usize = 8;
/// Who has more than others of units that don't go round passes it on after so many leases.
const TURN_LEASES: u64 = 3;

/// A grant that its holder may still go by.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ActiveGrant {
    /// The number of the request that it answers.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Units.
    #[prost(uint64, tag = "2")]
    pub units: u64,
    /// They count until then, in log time.
    #[prost(uint64, tag = "3")]
    pub expires_at: u64,
    /// The floor.
    #[prost(uint64, tag = "4")]
    pub floor: u64,
    /// It counts until then.
    #[prost(uint64, tag = "5")]
    pub floor_expires_at: u64,
}

/// What one incarnation holds of one budget.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Allocation {
    /// Grants that it may still go by, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<ActiveGrant>,
    /// What it said it had in use.
    #[prost(uint64, tag = "2")]
    pub in_use: u64,
    /// That counts until then.
    #[prost(uint64, tag = "3")]
    pub in_use_expires_at: u64,
    /// What it said it could use.
    #[prost(uint64, tag = "4")]
    pub demand: u64,
    /// When it last said so.
    #[prost(uint64, tag = "5")]
    pub reported_at: u64,
    /// Since when it has had its part of units that don't go round, or when it last had one.
    #[prost(uint64, tag = "6")]
    pub turn_started_at: u64,
    /// Whether it has one.
    #[prost(bool, tag = "7")]
    pub has_turn: bool,
}

impl Allocation {
    /// The most that it can have in use at `now`.
    pub fn committed(&self, now: u64) -> u64 {
        let live = |g: &ActiveGrant| {
            let units = if now < g.expires_at { g.units } else { 0 };
            units.max(if now < g.floor_expires_at { g.floor } else { 0 })
        };
        let granted = self.grants.iter().map(live).max().unwrap_or(0);
        granted.max(if now < self.in_use_expires_at { self.in_use } else { 0 })
    }

    fn add(&mut self, grant: ActiveGrant) {
        // What is no larger and no longer than the new one counts within it.
        let within = |g: &ActiveGrant| {
            (g.units <= grant.units && g.expires_at <= grant.expires_at || g.units == 0)
                && (g.floor <= grant.floor && g.floor_expires_at <= grant.floor_expires_at || g.floor == 0)
        };
        self.grants.retain(|g| !within(g));
        self.grants.push(grant);
        if self.grants.len() > GRANTS_MOST {
            let oldest = self.grants.remove(0);
            let next = &mut self.grants[0];
            next.seq = next.seq.max(oldest.seq);
            (next.units, next.expires_at) =
                (next.units.max(oldest.units), next.expires_at.max(oldest.expires_at));
            next.floor = next.floor.max(oldest.floor);
            next.floor_expires_at = next.floor_expires_at.max(oldest.floor_expires_at);
        }
    }

    fn expire(&mut self, now: u64) {
        self.grants.retain(|g| now < g.expires_at || now < g.floor_expires_at);
    }

    fn is_over(&self, now: u64) -> bool {
        self.grants.is_empty() && now >= self.in_use_expires_at
    }
}

/// One budget with all that is held of it.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct BudgetEntry {
    /// The budget; none once it is declared no more, until all is given back.
    #[prost(message, optional, tag = "1")]
    pub budget: Option<Budget>,
    /// By incarnation.
    #[prost(btree_map = "uint64, message", tag = "2")]
    pub allocations: BTreeMap<u64, Allocation>,
}

impl BudgetEntry {
    /// The most that can be in use at `now`, by all together.
    pub fn committed(&self, now: u64) -> u64 {
        self.allocations.values().map(|h| h.committed(now)).fold(0, u64::saturating_add)
    }
}

/// What the agreed log may say of budgets.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaCommand {
    /// These budgets, in the place of all before, under these terms.
    Declare {
        /// How long things hold.
        terms: LeaseTerms,
        /// The budgets.
        budgets: Budgets,
        /// Which edition of them: one that is not higher than what was agreed on before changes nothing.
        revision: u64,
    },
    /// An instance asks.
    Request {
        /// Its name.
        name: String,
        /// Its incarnation.
        incarnation: u64,
        /// Its version.
        version: String,
        /// Its zone.
        zone: String,
        /// The request.
        request: QuotaRequest,
    },
    /// Operators say that an instance is gone for good: what it holds ends by itself, and it gets nothing more.
    Remove {
        /// Its name.
        name: String,
    },
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaReply {
    /// Who asked.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The grant, or why there is none.
    pub result: Result<Grant, SessionRejected>,
}

/// The table.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaTable {
    /// Who is there.
    #[prost(message, required, tag = "1")]
    pub membership: Membership,
    /// How long things hold.
    #[prost(message, required, tag = "2")]
    pub terms: LeaseTerms,
    /// The budgets by name.
    #[prost(btree_map = "string, message", tag = "3")]
    pub entries: BTreeMap<String, BudgetEntry>,
    /// The budgets as they were declared.
    #[prost(btree_map = "string, message", tag = "4")]
    pub declared: Budgets,
    /// Which edition of them it is.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// The budget of a line: its own, or that of which there is one for each.
fn budget(declared: &Budgets, line: &str) -> Option<Budget> {
    match line.split_once('/') {
        None => declared.get(line).filter(|b| !b.per_key).cloned(),
        Some((name, _)) => declared.get(name).filter(|b| b.per_key).cloned(),
    }
}

/// One entry's request, let in.
struct Seated {
    name: String,
    incarnation: u64,
    ask: QuotaRequest,
}

impl QuotaTable {
    /// Takes an entry of the log in: `elapsed` microseconds went by on its leader's clock since the entry before of that
    /// leader's, or since it became leader; then the commands, in their order.
    pub fn apply(&mut self, elapsed: u64, commands: Vec<QuotaCommand>) -> Vec<QuotaReply> {
        self.membership.advance(elapsed);
        self.expire();
        let (mut effects, mut seated) = (Vec::new(), Vec::new());
        for command in commands {
            match command {
                QuotaCommand::Declare { terms, budgets, revision } if self.accepts_revision(revision) => {
                    self.revision = revision;
                    self.declare(terms, budgets);
                }
                QuotaCommand::Declare { .. } => {}
                QuotaCommand::Remove { name } => self.remove(&name),
                QuotaCommand::Request { name, incarnation, version, zone, request: ask } => {
                    let silent = ask.yields_name.then(|| self.terms.with_drift_margin(self.terms.lease_us));
                    match self.membership.open_or_renew(&name, incarnation, ask.seq, silent) {
                        Err(problem) => {
                            effects.push(QuotaReply { name, incarnation, result: Err(problem) });
                        }
                        Ok(new) => {
                            if new && is_injected(Fault::OldIncarnation) {
                                self.take_over(&name, incarnation);
                            }
                            if let Some(seat) = self.membership.sessions.get_mut(&name).filter(|_| new) {
                                (seat.version, seat.zone) = (version, zone);
                            }
                            self.note(incarnation, &ask);
                            seated.push(Seated { name, incarnation, ask });
                        }
                    }
                }
            }
        }
        let mut grants: Vec<BTreeMap<String, Quota>> = vec![BTreeMap::new(); seated.len()];
        let names: Vec<String> = self.entries.keys().cloned().collect();
        for budget in names {
            for (share, grant) in self.share(&budget, &seated).into_iter().zip(&mut grants) {
                share.into_iter().for_each(|share| _ = grant.insert(budget.clone(), share));
            }
        }
        let LeaseTerms { lease_us, membership_us, drift_ppm } = self.terms;
        for (Seated { name, incarnation, ask }, shares) in seated.into_iter().zip(grants) {
            let grant = Grant { seq: ask.seq, lease_us, membership_us, drift_ppm, quotas: shares };
            effects.push(QuotaReply { name, incarnation, result: Ok(grant) });
        }
        effects
    }

    /// Whether budgets of this revision would be taken: an older file at a new leader changes nothing.
    pub fn accepts_revision(&self, revision: u64) -> bool {
        revision > self.revision || self.terms == LeaseTerms::default()
    }

    /// Only planted: what all others held counts no more.
    fn take_over(&mut self, name: &str, incarnation: u64) {
        let seats: BTreeSet<u64> = self.membership.sessions.values().map(|s| s.incarnation).collect();
        debug_assert!(self.membership.sessions.get(name).is_some_and(|s| s.incarnation == incarnation));
        self.entries.values_mut().for_each(|l| l.allocations.retain(|i, _| seats.contains(i)));
    }

    /// How long a seat is kept after its holder last asked: until nothing of its can count any more.
    fn seat_kept(&self) -> u64 {
        let outlives = self.entries.values().filter_map(|l| l.budget.as_ref()).map(|b| b.outlives_us);
        let longest = self.terms.membership_us.max(self.terms.lease_us);
        self.terms.with_drift_margin(longest.saturating_add(outlives.max().unwrap_or(0)))
    }

    fn expire(&mut self) {
        let (now, kept) = (self.membership.now, self.seat_kept());
        for line in self.entries.values_mut() {
            line.allocations.values_mut().for_each(|h| h.expire(now));
            line.allocations.retain(|_, h| !h.is_over(now));
        }
        let stays = |line: &BudgetEntry| {
            line.budget.as_ref().is_some_and(|b| !b.per_key) || !line.allocations.is_empty()
        };
        self.entries.retain(|_, line| stays(line));
        self.membership.sessions.retain(|_, seat| now < seat.last_request_at.saturating_add(kept));
    }

    /// New budgets in the place of all before. What is held counts on, also of what is declared no more: a budget that
    /// comes back smaller begins with what is still out.
    fn declare(&mut self, terms: LeaseTerms, budgets: Budgets) {
        self.terms = terms;
        self.declared = budgets.into_iter().take(MAX_BUDGETS).collect();
        let declared = &self.declared;
        self.entries.iter_mut().for_each(|(name, line)| line.budget = budget(declared, name));
        for (name, budget) in self.declared.iter().filter(|(_, b)| !b.per_key) {
            self.entries.entry(name.clone()).or_default().budget = Some(budget.clone());
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(seat) = self.membership.sessions.remove(name) {
            self.membership.retire(seat.incarnation);
        }
    }

    /// What a holder says of itself: the grants before the one it goes by are over, and what it has in use counts until
    /// it says otherwise or it must have ended.
    fn note(&mut self, incarnation: u64, ask: &QuotaRequest) {
        let (now, terms) = (self.membership.now, self.terms);
        for name in ask.needs.keys().filter(|name| name.len() <= MAX_ENTRY_NAME_BYTES) {
            let new = !self.entries.contains_key(name) && self.entries.len() < MAX_BUDGET_ENTRIES;
            if let Some(budget) = budget(&self.declared, name).filter(|_| new) {
                self.entries
                    .insert(name.clone(), BudgetEntry { budget: Some(budget), allocations: BTreeMap::new() });
            }
        }
        let mut holdings: usize = self.entries.values().map(|l| l.allocations.len()).sum();
        for (name, line) in &mut self.entries {
            let outlives = line.budget.as_ref().map_or(0, |b| b.outlives_us);
            let need = ask.needs.get(name).cloned().unwrap_or_default();
            let QuotaNeed { in_use, demand } = need;
            let (in_use, demand) = (in_use.min(MAX_UNITS), demand.min(MAX_UNITS));
            // Of what it doesn't name, and has nothing of, it holds nothing.
            let named = ask.needs.contains_key(name) || line.budget.as_ref().is_some_and(|b| !b.per_key);
            let begins = named && line.budget.is_some() && holdings < MAX_ALLOCATIONS;
            if !line.allocations.contains_key(&incarnation) {
                if !begins {
                    continue;
                }
                holdings += 1;
            }
            let holding = line
                .allocations
                .entry(incarnation)
                .or_insert_with(|| Allocation { turn_started_at: now, ..Allocation::default() });
            holding.grants.retain(|g| g.seq >= ask.acked);
            (holding.in_use, holding.demand, holding.reported_at) = (in_use, demand.max(in_use), now);
            holding.in_use_expires_at = match in_use {
                0 => 0,
                _ if is_injected(Fault::FreedEarly) => 0,
                _ => now.saturating_add(terms.with_drift_margin(terms.lease_us.saturating_add(outlives))),
            };
        }
    }

    /// The shares of one budget for those who ask in this entry, in their order.
    fn share(&mut self, name: &str, seated: &[Seated]) -> Vec<Option<Quota>> {
        let (now, terms) = (self.membership.now, self.terms);
        let Some(line) = self.entries.get_mut(name) else { return vec![None; seated.len()] };
        let Some(budget) = line.budget.clone() else { return vec![None; seated.len()] };
        let lease = terms.with_drift_margin(terms.lease_us);
        // Whoever is silent for a lease wants nothing, but its floor stays set aside while it has a seat.
        let seats: BTreeSet<u64> = self.membership.sessions.values().map(|s| s.incarnation).collect();
        let base = budget.floor.min(budget.total / seats.len().max(1) as u64);
        let rest = budget.total - base * seats.len() as u64;
        let active: Vec<u64> =
            line.allocations.iter().filter(|(i, _)| seats.contains(*i)).map(|(i, _)| *i).collect();
        let turn = lease.saturating_mul(TURN_LEASES);
        let claim = |i: &u64| {
            let h = &line.allocations[i];
            let demand =
                if now < h.reported_at.saturating_add(lease) { h.demand.saturating_sub(base) } else { 0 };
            // First whoever has a part and has not had it for long, then whoever has waited longest, then the others.
            let order = match (h.has_turn, now < h.turn_started_at.saturating_add(turn)) {
                (true, true) => 0,
                (false, _) => 1 + h.turn_started_at,
                (true, false) => u64::MAX,
            };
            Claim { demand, priority: order }
        };
        let claims: Vec<Claim> = active.iter().map(claim).collect();
        let scarce = claims.iter().map(|c| c.demand).fold(0, u64::saturating_add) > rest;
        // Only of what nobody needs: a fifth more, so that what grows a little need not wait; and a little more than is
        // needed is left where it is, so that steady needs get steady shares.
        let needed = max_min_fair(rest, &claims);
        let spare = |(i, claim): (&u64, &Claim)| {
            let had = line.allocations[i].grants.last().map_or(0, |g| g.units.saturating_sub(base));
            let steady = claim.demand <= had && had <= claim.demand + claim.demand / 4 + 1;
            let extra = if steady { had - claim.demand } else { claim.demand / 5 };
            Claim { demand: extra, priority: claim.priority }
        };
        let spares: Vec<Claim> = active.iter().zip(&claims).map(spare).collect();
        let spares = max_min_fair(rest - needed.iter().sum::<u64>(), &spares);
        let all = needed.into_iter().zip(spares).map(|(needed, spare)| base + needed + spare);
        let targets: BTreeMap<u64, u64> = active.iter().copied().zip(all).collect();
        let mut counted: u64 = line.committed(now);
        let mut shares = Vec::with_capacity(seated.len());
        for Seated { incarnation, ask, .. } in seated {
            // What a holder names no more ends by itself: granted on, it would be asked for and granted for ever.
            let named = !budget.per_key || ask.needs.contains_key(name);
            let Some(holding) = line.allocations.get_mut(incarnation).filter(|_| named) else {
                shares.push(None);
                continue;
            };
            let mine = holding.committed(now);
            let room = budget.total.saturating_sub(counted - mine);
            let target = targets.get(incarnation).copied().unwrap_or(0);
            let (mut units, floor) = (target.min(room), budget.floor.min(room));
            if is_injected(Fault::RoundingUp) && holding.demand > 0 {
                units = units.max(1);
            }
            let served = units > base;
            if served != holding.has_turn {
                (holding.has_turn, holding.turn_started_at) = (served, now);
            } else if served && scarce && now >= holding.turn_started_at.saturating_add(turn) {
                holding.turn_started_at = now;
            }
            let outlives = if budget.is_rate() { 0 } else { budget.outlives_us };
            let until =
                |span: u64| now.saturating_add(terms.with_drift_margin(span.saturating_add(outlives)));
            holding.add(ActiveGrant {
                seq: ask.seq,
                units,
                expires_at: until(terms.lease_us),
                floor,
                floor_expires_at: until(if is_injected(Fault::FloorTwice) {
                    terms.lease_us
                } else {
                    terms.membership_us
                }),
            });
            counted = counted - mine + holding.committed(now);
            let part = |units: u64| {
                let milli =
                    u128::from(budget.burst) * 1_000 * u128::from(units) / u128::from(budget.total.max(1));
                u64::try_from(milli).unwrap_or(u64::MAX)
            };
            let (burst, floor_burst) = (part(units), part(floor));
            shares.push(Some(Quota { units, floor, burst, floor_burst, is_rate: budget.is_rate() }));
        }
        shares
    }

    /// Budgets of which more can be in use than the whole, since it was lowered: with what is counted.
    pub fn overcommitted(&self) -> Vec<(&str, u64, u64)> {
        let now = self.membership.now;
        self.entries
            .iter()
            .map(|(name, line)| {
                let whole = line.budget.as_ref().map_or(0, |b| b.total);
                (name.as_str(), line.committed(now), whole)
            })
            .filter(|(_, counted, whole)| counted > whole)
            .collect()
    }
}
