//! Connects a simulator to the decisions: reads its messages on standard input, one a line, and answers each batch on
//! standard output, for many instances of the proxy's decisions at once.
//!
//! - `fields`: the fields of one message; `gossip`: what instances send each other about a member;
//! - `decode`: a message becomes an event of the decisions; `encode`: an action becomes a message;
//! - `adapter`: the instances, and the batch that is being read;
//! - `error`: why a message can't be used.
//!
//! It decides nothing, and never goes on after a message that it can't use: a simulation with a hole in it would be
//! taken for a result. Names of messages and fields are the simulator's; `decode` and `encode` translate them.
#![forbid(unsafe_code)]

mod adapter;
mod decode;
mod encode;
mod error;
mod fields;
mod gossip;

use adapter::{Adapter, BatchState};
use error::MessageError;
use std::fmt;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// The size of the output buffer, in bytes.
const OUTPUT_BUFFER: usize = 1 << 16;
const MICROS_PER_MILLI: u64 = 1_000;

/// Why a run ended before its input did.
#[derive(Debug)]
enum RunError {
    /// The input can't be read.
    Read(io::Error),
    /// The output can't be written.
    Write(io::Error),
    /// The message on this line can't be used; lines are counted from 1.
    Message { line: u64, error: MessageError },
    /// The input ended before its last batch did.
    IncompleteBatch,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RunError::Read(e) => write!(f, "reading: {e}"),
            RunError::Write(e) => write!(f, "writing: {e}"),
            RunError::Message { line, error } => write!(f, "line {line}: {error}"),
            RunError::IncompleteBatch => write!(f, "input ended inside a batch"),
        }
    }
}

impl std::error::Error for RunError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RunError::Read(e) | RunError::Write(e) => Some(e),
            RunError::Message { error, .. } => Some(error),
            RunError::IncompleteBatch => None,
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("linenhill-simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// Serves batches until the end of the input.
fn run() -> Result<(), RunError> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::with_capacity(OUTPUT_BUFFER, io::stdout().lock());
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    let mut line = 0;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(RunError::Read)? == 0 {
            return if adapter.is_in_batch() { Err(RunError::IncompleteBatch) } else { Ok(()) };
        }
        line += 1;
        let state = handle_line(&mut adapter, &bytes).map_err(|error| RunError::Message { line, error })?;
        if state == BatchState::Complete {
            output.write_all(adapter.reply().as_bytes()).map_err(RunError::Write)?;
            output.flush().map_err(RunError::Write)?;
            adapter.clear_reply();
        }
    }
}

/// Handles a line with its end, which is a line feed, possibly after a carriage return.
fn handle_line(adapter: &mut Adapter, bytes: &[u8]) -> Result<BatchState, MessageError> {
    let text = std::str::from_utf8(bytes).map_err(|_| MessageError::NotUtf8)?;
    let text = text.strip_suffix('\n').unwrap_or(text);
    let text = text.strip_suffix('\r').unwrap_or(text);
    adapter.handle_line(text)
}
