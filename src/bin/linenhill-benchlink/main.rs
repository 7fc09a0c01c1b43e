//! Speaks the simulator's wire on standard input and output for many routers at once. No decisions here.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("linenhill-benchlink: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = wire::Host::default();
    let (mut line, mut number) = (Vec::new(), 0u64);
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(|e| format!("reading: {e}"))? == 0 {
            return host.at_end();
        }
        number += 1;
        let text = std::str::from_utf8(&line).map_err(|_| format!("line {number}: not UTF-8"))?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        let done = host.line(text).map_err(|e| format!("line {number}: {e}"))?;
        if done {
            output.write_all(host.reply().as_bytes()).map_err(|e| format!("writing: {e}"))?;
            output.flush().map_err(|e| format!("writing: {e}"))?;
            host.clear_reply();
        }
    }
}
