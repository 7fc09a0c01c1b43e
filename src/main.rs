//! The proxy: listens where clients connect. It does not serve yet.
#![forbid(unsafe_code)]

use std::net::TcpListener;
use std::process::ExitCode;

fn main() -> ExitCode {
    let listen = std::env::var("LB_LISTEN").unwrap_or_else(|_| "127.0.0.1:6543".into());
    match TcpListener::bind(&listen) {
        Ok(listener) => {
            for connection in listener.incoming() {
                drop(connection);
            }
            ExitCode::SUCCESS
        }
        Err(problem) => {
            eprintln!("LB_LISTEN {listen}: {problem}");
            ExitCode::FAILURE
        }
    }
}
