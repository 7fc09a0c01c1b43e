//! The command line. Bare `linenhill` serves, as the platform starts it.

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

/// What can be asked of the program.
#[derive(Clone, Debug, PartialEq, Eq, Subcommand)]
pub enum Command {
    /// Serve by the configuration that LB_CONFIG names, until SIGTERM; the same as no command at all.
    Serve {
        /// The operators' file: this proxy is one of a fleet, and its budgets bind here.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Keep what a fleet agrees on, on a disk: one of three or five processes.
    Keep {
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// This keeper's name in that file.
        #[arg(long)]
        name: String,
        /// Begin a new fleet, of which this is the first keeper.
        #[arg(long)]
        found: bool,
    },
    /// Check an operators' file and name all that is wrong with it.
    Check {
        /// The file.
        file: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Ask a fleet, or tell it something.
    Fleet {
        /// What.
        #[command(subcommand)]
        ask: Fleet,
    },
    /// Write a shell's completions to standard output.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// What can be asked of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Subcommand)]
pub enum Fleet {
    /// Print who is there, who leads, and what is held of each budget.
    Status {
        /// The operators' file; its keepers are asked in turn.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// Ask this instance instead.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<std::net::SocketAddr>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Take a proxy off that is gone for good; what it holds ends by itself.
    Remove {
        /// Its name.
        name: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Ask for leave for a thing to be out: `proxy/NAME` or `member/ID`.
    Permit {
        /// The thing.
        thing: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// What for.
        #[arg(long, default_value = "by hand")]
        reason: String,
        /// Against the limits; it counts all the same.
        #[arg(long)]
        force: bool,
    },
    /// A thing is to come back: its permit ends once it is seen in service.
    Back {
        /// The thing.
        thing: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// A thing is no more: it counts no longer, and its permit ends.
    Forget {
        /// The thing.
        thing: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Declare a file's terms and budgets in the place of those agreed on; its revision must be higher.
    Declare {
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Let another store of a keeper's name in: its disk is lost.
    Replace {
        /// Its name.
        name: String,
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
}

impl Cli {
    /// What the command line asks for.
    pub fn command(self) -> Command {
        self.command.unwrap_or(Command::Serve { operator: None })
    }
}

/// Writes the completions of a shell.
pub fn completions(shell: Shell, out: &mut impl io::Write) {
    clap_complete::generate(shell, &mut <Cli as CommandFactory>::command(), "linenhill", out);
}
