//! The program `linenhill`: runs the command given on the command line. All functionality is in the library.
#![forbid(unsafe_code)]

use clap::Parser;
use linenhill::cli::{self, Cli, Command, FleetCommand};
use linenhill::fleet::command_line;
use linenhill::process::{self, ProcessError};
use log::error;
use std::error::Error;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    match Cli::parse().selected_command() {
        Command::Serve { operator } => run_process(|| process::serve(operator.as_deref())),
        Command::Keep { operator, name, found } => run_process(|| process::keep(&operator, &name, found)),
        Command::Check { file, json } => check(&file, json),
        Command::Fleet { command } => fleet(command),
        Command::Completions { shell } => {
            cli::write_completions(shell, &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Runs a long-running process until it ends; errors are logged line by line.
fn run_process(run: impl FnOnce() -> Result<(), ProcessError>) -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.to_string().lines().for_each(|line| error!("{line}"));
            ExitCode::FAILURE
        }
    }
}

/// Validates an operators' file and prints the report.
fn check(file: &Path, json: bool) -> ExitCode {
    let check = command_line::check_operator_file(file, json);
    println!("{}", check.report);
    if check.is_valid { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs a fleet command; the answer is printed to standard output, an error to standard error.
fn fleet(command: FleetCommand) -> ExitCode {
    match run_fleet_command(command) {
        Ok(answer) => {
            println!("{}", answer.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_fleet_command(command: FleetCommand) -> Result<String, Box<dyn Error>> {
    Ok(process::runtime()?.block_on(command_line::run(command))?)
}
