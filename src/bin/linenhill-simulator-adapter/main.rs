//! Connects a simulator to the decisions of many proxy instances: reads the simulator's messages from standard input,
//! one per line, and replies to each batch on standard output.
//!
//! - `fields`: the fields of one message; `gossip`: the encoding of gossip between instances;
//! - `decode`: messages to events; `encode`: actions to messages;
//! - `adapter`: the instances, and the batch that is being read;
//! - `error`: errors in messages.
//!
//! The adapter makes no decisions itself. It stops at the first message that it can't use: a simulation that skipped
//! one would still look like a valid result.
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

/// Size of the output buffer, in bytes.
const OUTPUT_BUFFER: usize = 1 << 16;
const MICROS_PER_MILLI: u64 = 1_000;

/// Why a run failed.
#[derive(Debug)]
enum RunError {
    /// Reading the input failed.
    Read(io::Error),
    /// Writing the output failed.
    Write(io::Error),
    /// A message was rejected; lines are counted from 1.
    Message { line: u64, error: MessageError },
    /// The input ended in the middle of this batch.
    IncompleteBatch { batch: u64 },
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RunError::Read(e) => write!(f, "can't read standard input: {e}"),
            RunError::Write(e) => write!(f, "can't write standard output: {e}"),
            RunError::Message { line, error } => write!(f, "line {line}: {error}"),
            RunError::IncompleteBatch { batch } => {
                write!(f, "expected GO to end batch {batch}, got the end of the input")
            }
        }
    }
}

impl std::error::Error for RunError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RunError::Read(e) | RunError::Write(e) => Some(e),
            RunError::Message { error, .. } => Some(error),
            RunError::IncompleteBatch { .. } => None,
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linenhill-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Handles batches until the input ends.
fn run() -> Result<(), RunError> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::with_capacity(OUTPUT_BUFFER, io::stdout().lock());
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    let mut line = 0;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(RunError::Read)? == 0 {
            return match adapter.open_batch() {
                Some(batch) => Err(RunError::IncompleteBatch { batch }),
                None => Ok(()),
            };
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

/// Handles a line including its line ending, a line feed or a carriage return and line feed.
fn handle_line(adapter: &mut Adapter, bytes: &[u8]) -> Result<BatchState, MessageError> {
    let text = std::str::from_utf8(bytes).map_err(|_| MessageError::NotUtf8)?;
    let text = text.strip_suffix('\n').unwrap_or(text);
    let text = text.strip_suffix('\r').unwrap_or(text);
    adapter.handle_line(text)
}
