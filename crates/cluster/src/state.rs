//! What the entries of the agreed log make of the state: the table of shares, who is out, and who the keepers are.

use crate::protocol::LeaseRequest;
use linenhill_decisions::disruption::table::{DisruptionTable, LivenessView, Permit, PermitDenied};
use linenhill_decisions::disruption::{DisruptionPolicy, Subject};
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::Budgets;
use linenhill_decisions::quota::table::{QuotaCommand, QuotaReply, QuotaTable};
use prost::Message;
use std::collections::BTreeMap;

/// One entry: what its leader's clock counted since its entry before, and the commands.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// In microseconds.
    #[prost(uint64, tag = "1")]
    pub elapsed_us: u64,
    /// In their order.
    #[prost(message, repeated, tag = "2")]
    pub commands: Vec<CommandDoc>,
}

/// One command.
#[derive(Clone, PartialEq, Message)]
pub struct CommandDoc {
    /// Which.
    #[prost(oneof = "Which", tags = "1, 2, 3, 4")]
    pub which: Option<Which>,
    /// By this whoever asked is found again; 0 where nobody waits.
    #[prost(uint64, tag = "15")]
    pub ticket: u64,
}

/// The commands as they are written.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Which {
    /// See [`QuotaCommand::Declare`].
    #[prost(message, tag = "1")]
    Declare(DeclareDoc),
    /// See [`QuotaCommand::Request`].
    #[prost(message, tag = "2")]
    Ask(AskDoc),
    /// See [`QuotaCommand::Remove`].
    #[prost(string, tag = "3")]
    Remove(String),
    /// Of what may be out.
    #[prost(message, tag = "4")]
    Outage(OutageDoc),
}

/// What is asked of a thing that may be out.
#[derive(Clone, PartialEq, Message)]
pub struct OutageDoc {
    /// Its key.
    #[prost(string, tag = "1")]
    pub thing: String,
    /// [`Wish`].
    #[prost(enumeration = "Wish", tag = "2")]
    pub wish: i32,
    /// Who asks.
    #[prost(string, tag = "3")]
    pub by: String,
    /// What for.
    #[prost(string, tag = "4")]
    pub reason: String,
    /// Against the limits.
    #[prost(bool, tag = "5")]
    pub force: bool,
}

/// What can be wished of a thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Wish {
    /// Leave to be out.
    Permit = 0,
    /// That it comes back.
    Back = 1,
    /// That nothing is known of it any more.
    Forget = 2,
}

/// What came of a wish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Whose it was.
    pub ticket: u64,
    /// It was granted.
    pub ok: bool,
    /// Who still has to confirm it, by incarnation.
    pub unconfirmed: Vec<u64>,
    /// In words.
    pub text: String,
}

/// What an entry led to.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A request for shares.
    Share(QuotaReply),
    /// A wish.
    Told(Told),
}

/// Budgets and terms.
#[derive(Clone, PartialEq, Message)]
pub struct DeclareDoc {
    /// The terms.
    #[prost(message, required, tag = "1")]
    pub terms: LeaseTerms,
    /// The budgets.
    #[prost(btree_map = "string, message", tag = "2")]
    pub budgets: Budgets,
    /// Which edition of them.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// What may be out at once, if that is bounded.
    #[prost(message, optional, tag = "4")]
    pub outages: Option<DisruptionPolicy>,
}

/// A request.
#[derive(Clone, PartialEq, Message)]
pub struct AskDoc {
    /// Who asks.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// What it asks.
    #[prost(message, required, tag = "3")]
    pub ask: LeaseRequest,
}

/// A keeper.
#[derive(Clone, PartialEq, Message)]
pub struct KeeperSeat {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Where the others reach it.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The agreed state.
#[derive(Clone, PartialEq, Message)]
pub struct State {
    /// The shares.
    #[prost(message, required, tag = "1")]
    pub table: QuotaTable,
    /// The keepers by number.
    #[prost(btree_map = "uint64, message", tag = "2")]
    pub keepers: BTreeMap<u64, KeeperSeat>,
    /// Who is out.
    #[prost(message, required, tag = "3")]
    pub outages: DisruptionTable,
}

impl State {
    /// Takes an entry in; one that can't be read changes nothing, at any keeper.
    pub fn apply(&mut self, data: &[u8]) -> Vec<Outcome> {
        let Ok(entry) = Entry::decode(data) else { return Vec::new() };
        let (mut commands, mut reports, mut wishes) = (Vec::new(), Vec::new(), Vec::new());
        for doc in entry.commands {
            match doc.which {
                Some(Which::Declare(DeclareDoc { terms, budgets, revision, outages })) => {
                    if self.table.accepts_revision(revision) {
                        self.outages.set_policy(outages);
                    }
                    commands.push(QuotaCommand::Declare { terms, budgets, revision });
                }
                Some(Which::Ask(AskDoc { name, incarnation, ask })) => {
                    let LeaseRequest { quota: ask, version, zone, report } = ask;
                    reports.push((name.clone(), incarnation, zone.clone(), report));
                    commands.push(QuotaCommand::Request { name, incarnation, version, zone, request: ask });
                }
                Some(Which::Remove(name)) => {
                    self.outages.forget(&Subject::Proxy(name.clone()));
                    commands.push(QuotaCommand::Remove { name });
                }
                Some(Which::Outage(wish)) => wishes.push((doc.ticket, wish)),
                None => {}
            }
        }
        let effects = self.table.apply(entry.elapsed_us, commands);
        let seen = LivenessView::new(&self.table.membership, &self.table.terms);
        for (name, incarnation, zone, report) in reports {
            let seated =
                self.table.membership.sessions.get(&name).is_some_and(|s| s.incarnation == incarnation);
            if let Some(report) = report.filter(|_| seated) {
                self.outages.record_report(&seen, &name, incarnation, &zone, &report);
            }
        }
        self.outages.expire(&seen);
        let outages = &mut self.outages;
        let told = wishes.into_iter().map(|(ticket, wish)| wished(outages, &seen, ticket, &wish));
        let told: Vec<Outcome> = told.map(Outcome::Told).collect();
        effects.into_iter().map(Outcome::Share).chain(told).collect()
    }

    /// The number of a keeper.
    pub fn keeper(&self, name: &str) -> Option<u64> {
        self.keepers.iter().find(|(_, k)| k.name == name).map(|(id, _)| *id)
    }
}

fn wished(outages: &mut DisruptionTable, seen: &LivenessView, ticket: u64, wish: &OutageDoc) -> Told {
    let no = |text: String| Told { ticket, ok: false, unconfirmed: Vec::new(), text };
    let done = |ok, text: &str| Told { ticket, ok, unconfirmed: Vec::new(), text: text.to_string() };
    if outages.policy.is_none() {
        return no("the agreed file bounds no outages".into());
    }
    let Some(thing) = Subject::from_key(&wish.thing) else {
        return no(format!("'{}' is neither proxy/NAME nor member/ID", wish.thing));
    };
    match Wish::try_from(wish.wish) {
        Ok(Wish::Permit) => match outages.request_permit(seen, &thing, &wish.by, &wish.reason, wish.force) {
            Ok(Permit { number, unconfirmed, .. }) => {
                let text = format!("permit {number} for {}", wish.thing);
                Told { ticket, ok: true, unconfirmed, text }
            }
            Err(denied) => no(denial(&wish.thing, &denied)),
        },
        Ok(Wish::Back) if outages.request_return(&thing) => {
            done(true, "its permit ends once it is seen in service")
        }
        Ok(Wish::Back) => done(true, "it has no permit"),
        Ok(Wish::Forget) if outages.forget(&thing) => done(true, "nothing is known of it any more"),
        Ok(Wish::Forget) => done(false, "nothing was known of it"),
        Err(_) => done(false, "this keeper's version does not know that wish"),
    }
}

fn denial(thing: &str, denied: &PermitDenied) -> String {
    match denied {
        PermitDenied::UnknownSubject => format!("no proxy has spoken of {thing}"),
        PermitDenied::HeldByOther { by } => format!("{by} has leave for {thing} already"),
        PermitDenied::IsPrimary => format!("{thing} is its group's primary: it hands over first"),
        PermitDenied::PrimaryUnknown => format!("the primary of the group of {thing} is not known yet"),
        PermitDenied::LimitReached { what, out } => {
            let who: Vec<String> =
                out.iter().map(|(key, cause)| format!("{key} {}", cause.label())).collect();
            let who = if who.is_empty() { "nobody is out".to_string() } else { who.join(", ") };
            format!("no more {what}: {who}")
        }
    }
}
