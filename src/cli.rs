//! The definition of the command line. Without a command the program serves, since the platform starts it that way.
//!
//! The comments on commands and arguments are the program's help text. The names of commands and flags are used in
//! scripts and must not change. This module only parses; `main` runs the commands.

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::io;
use std::path::PathBuf;

/// A proxy for groups of one primary and its replicas.
#[derive(Debug, Parser)]
#[command(name = "linenhill", version, about)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

/// A command of the program.
#[derive(Clone, Debug, PartialEq, Eq, Subcommand)]
pub enum Command {
    /// Serve with the configuration file named by LB_CONFIG until SIGTERM or SIGINT; the default command.
    Serve {
        /// The operators' file; the proxy joins its fleet and observes its budgets.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Run a keeper, one of the three or five processes that store a fleet's replicated log.
    Keep {
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// The name of this keeper in the operators' file.
        #[arg(long)]
        name: String,
        /// Found a new fleet with this process as its first keeper.
        #[arg(long)]
        found: bool,
    },
    /// Check an operators' file and print all its mistakes.
    Check {
        /// The operators' file.
        file: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show the state of a fleet, or change it.
    Fleet {
        /// The fleet command.
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Write a shell's completion script to standard output.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// A request to a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Subcommand)]
pub enum FleetCommand {
    /// Print the fleet's leader, keepers and proxies, the use of each budget, and what is out of service.
    Status {
        /// The operators' file; its keepers are queried in turn until one of them leads.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// Query the instance at this address instead.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<std::net::SocketAddr>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Remove a proxy that will not be started again; its quotas are released once they have expired.
    Remove {
        /// The proxy's name.
        name: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Request a permit to take a proxy or member out of service.
    Permit {
        /// `proxy/NAME` or `member/ID`.
        #[arg(value_name = "THING")]
        subject: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// The reason, shown in the fleet's status.
        #[arg(long, default_value = "by hand")]
        reason: String,
        /// Grant the permit without checking the limits; it still counts towards them.
        #[arg(long)]
        force: bool,
    },
    /// Give back the permit of a proxy or member; it ends once the proxy or member is observed in service.
    Back {
        /// `proxy/NAME` or `member/ID`.
        #[arg(value_name = "THING")]
        subject: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Forget a proxy or member that no longer exists; it no longer counts towards the limits, and its permit ends.
    Forget {
        /// `proxy/NAME` or `member/ID`.
        #[arg(value_name = "THING")]
        subject: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Replace the fleet's terms, budgets and limits on outages with those of an operators' file of a higher revision.
    Declare {
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Accept the new store of a keeper that has lost its disk.
    Replace {
        /// The keeper's name.
        name: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
}

impl Cli {
    /// The given command, or [`Command::Serve`] by default.
    pub fn selected_command(self) -> Command {
        self.command.unwrap_or(Command::Serve { operator: None })
    }
}

/// Writes the completion script for a shell.
pub fn write_completions(shell: Shell, out: &mut impl io::Write) {
    clap_complete::generate(shell, &mut <Cli as CommandFactory>::command(), "linenhill", out);
}
