//! Runs the `fleet` subcommands as an operator does.

use super::{Cluster, PROGRESS_TIMEOUT};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval between two checks of an expected state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The program without a subcommand, and without the variables that override a name or a discovery address.
pub fn linenhill_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
    command.env("RUST_LOG", "info").env_remove("LB_DISCOVERY").env_remove("LB_NAME");
    command
}

impl Cluster {
    /// Runs `fleet` with these arguments and this operators' file; returns its output, or `None` if it fails.
    pub async fn run_fleet(&self, args: &[&str], operator_file: PathBuf) -> Option<String> {
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        let run =
            move || linenhill_command().arg("fleet").args(args).arg("--operator").arg(operator_file).output();
        let output = tokio::task::spawn_blocking(run).await.ok()?.ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Same as [`Cluster::run_fleet`], repeated until it succeeds.
    pub async fn run_fleet_until_success(&self, args: &[&str], operator_file: PathBuf) {
        let done = async {
            while self.run_fleet(args, operator_file.clone()).await.is_none() {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(PROGRESS_TIMEOUT, done)
            .await
            .unwrap_or_else(|_| panic!("`fleet {args:?}` did not succeed within {PROGRESS_TIMEOUT:?}"));
    }

    /// Output of `fleet status --json`, if it succeeds.
    pub async fn status(&self) -> Option<String> {
        self.run_fleet(&["status", "--json"], self.proxies.last()?.operator_file.clone()).await
    }

    /// Waits until the output of `fleet status --json` satisfies a condition; `state` describes it in a failure
    /// message.
    pub async fn wait_for_status(&self, state: &str, condition: impl Fn(&str) -> bool) {
        let reached = async {
            while !self.status().await.is_some_and(|status| condition(&status)) {
                sleep(POLL_INTERVAL).await;
            }
        };
        let reached = timeout(PROGRESS_TIMEOUT, reached).await;
        reached.unwrap_or_else(|_| panic!("state not reached: {state}; history: {:?}", self.history));
    }

    /// Waits until the leader lists every proxy as the holder of a lease.
    pub async fn wait_until_settled(&self) {
        let names: Vec<String> =
            self.proxies.iter().map(|proxy| format!("\"name\":\"{}\"", proxy.name)).collect();
        let is_settled = |status: &str| {
            names.iter().all(|name| status.contains(name))
                && status.matches("\"holds\":true").count() >= names.len()
        };
        self.wait_for_status("settled", is_settled).await;
    }
}
