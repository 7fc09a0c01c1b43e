//! The command line. Bare `linenhill` serves, as the platform starts it.

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::io;

/// A proxy for groups of one primary and its replicas.
#[derive(Debug, Parser)]
#[command(name = "linenhill", version, about)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

/// What can be asked of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Subcommand)]
pub enum Command {
    /// Serve by the configuration that LB_CONFIG names, until SIGTERM; the same as no command at all.
    Serve,
    /// Write a shell's completions to standard output.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

impl Cli {
    /// What the command line asks for.
    pub fn command(self) -> Command {
        self.command.unwrap_or(Command::Serve)
    }
}

/// Writes the completions of a shell.
pub fn completions(shell: Shell, out: &mut impl io::Write) {
    clap_complete::generate(shell, &mut <Cli as CommandFactory>::command(), "linenhill", out);
}
