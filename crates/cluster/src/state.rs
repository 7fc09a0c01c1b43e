//! What the entries of the agreed log make of the state: the table of shares, and who the keepers are.

use crate::wire::ProxyAsk;
use linenhill_decisions::roster::Terms;
use linenhill_decisions::shares::Budgets;
use linenhill_decisions::shares::table::{Command, Effect, Table};
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
    #[prost(oneof = "Which", tags = "1, 2, 3")]
    pub which: Option<Which>,
}

/// The commands as they are written.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Which {
    /// See [`Command::Declare`].
    #[prost(message, tag = "1")]
    Declare(DeclareDoc),
    /// See [`Command::Ask`].
    #[prost(message, tag = "2")]
    Ask(AskDoc),
    /// See [`Command::Remove`].
    #[prost(string, tag = "3")]
    Remove(String),
}

/// Budgets and terms.
#[derive(Clone, PartialEq, Message)]
pub struct DeclareDoc {
    /// The terms.
    #[prost(message, required, tag = "1")]
    pub terms: Terms,
    /// The budgets.
    #[prost(btree_map = "string, message", tag = "2")]
    pub budgets: Budgets,
    /// Which edition of them.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
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
    pub ask: ProxyAsk,
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
    pub table: Table,
    /// The keepers by number.
    #[prost(btree_map = "uint64, message", tag = "2")]
    pub keepers: BTreeMap<u64, KeeperSeat>,
}

impl State {
    /// Takes an entry in; one that can't be read changes nothing, at any keeper.
    pub fn apply(&mut self, data: &[u8]) -> Vec<Effect> {
        let Ok(entry) = Entry::decode(data) else { return Vec::new() };
        let command = |doc: CommandDoc| {
            Some(match doc.which? {
                Which::Declare(DeclareDoc { terms, budgets, revision }) => {
                    Command::Declare { terms, budgets, revision }
                }
                Which::Ask(AskDoc { name, incarnation, ask: ProxyAsk { ask, version, zone } }) => {
                    Command::Ask { name, incarnation, version, zone, ask }
                }
                Which::Remove(name) => Command::Remove { name },
            })
        };
        let commands = entry.commands.into_iter().filter_map(command).collect();
        self.table.apply(entry.elapsed_us, commands)
    }

    /// The number of a keeper.
    pub fn keeper(&self, name: &str) -> Option<u64> {
        self.keepers.iter().find(|(_, k)| k.name == name).map(|(id, _)| *id)
    }
}
