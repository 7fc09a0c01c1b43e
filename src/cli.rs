//! The command line as clap reads it. Bare `linenhill` serves, as the platform starts it.
//!
//! The comments on commands and arguments are the program's help text. Commands and flags are used in scripts and never change
//! their names; nothing is carried out here.

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
    /// Serve by the configuration that LB_CONFIG names, until SIGTERM; the same as no command at all.
    Serve {
        /// The operators' file: the proxy joins its fleet and is bound by its budgets.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Run a keeper, one of three or five processes that keep a fleet's agreed log on their disks.
    Keep {
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// This keeper's name in that file.
        #[arg(long)]
        name: String,
        /// Found a new fleet, with this as its first keeper.
        #[arg(long)]
        found: bool,
    },
    /// Check an operators' file and print all its mistakes.
    Check {
        /// The file.
        file: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show the state of a fleet, or change it.
    Fleet {
        /// The request.
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
    /// Print the fleet's instances, its leader, and how much of each budget is in use.
    Status {
        /// The operators' file; its keepers are asked in turn.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// Ask the instance at this address instead.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<std::net::SocketAddr>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Remove a proxy that will not come back; its quotas expire.
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
        /// Grant it even beyond the limits; it counts towards them.
        #[arg(long)]
        force: bool,
    },
    /// Return a proxy or member to service: its permit ends once it is seen in service.
    Back {
        /// `proxy/NAME` or `member/ID`.
        #[arg(value_name = "THING")]
        subject: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Forget a proxy or member that no longer exists: it is not counted any more, and its permit ends.
    Forget {
        /// `proxy/NAME` or `member/ID`.
        #[arg(value_name = "THING")]
        subject: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Replace the agreed terms and budgets by those of a file with a higher revision.
    Declare {
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Accept a new store of a keeper whose disk is lost.
    Replace {
        /// The keeper's name.
        name: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
}

impl Cli {
    /// The command; to serve if none is given.
    pub fn selected_command(self) -> Command {
        self.command.unwrap_or(Command::Serve { operator: None })
    }
}

/// Writes the completion script of a shell.
pub fn write_completions(shell: Shell, out: &mut impl io::Write) {
    clap_complete::generate(shell, &mut <Cli as CommandFactory>::command(), "linenhill", out);
}
