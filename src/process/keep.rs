//! The process of a keeper, which stores the fleet's replicated log on its disk.

use super::signals::stream;
use super::{ProcessError, bind, bound_address, inject_fault, runtime};
use crate::fleet::command_line::read_operator_file;
use linenhill_cluster::keeper::{self, KeeperError};
use log::info;
use std::path::Path;
use tokio::signal::unix::SignalKind;
use tokio::task::LocalSet;

const LISTEN: &str = "instance.listen";

/// Runs the keeper with this name until SIGTERM. `founds_fleet` makes it the first keeper of a new fleet.
///
/// # Errors
///
/// The operators' file, the store or the socket can't be used, the signal handler can't be installed, or the keeper
/// fails while it runs.
pub fn keep(operator_file: &Path, name: &str, founds_fleet: bool) -> Result<(), ProcessError> {
    let operator = read_operator_file(operator_file)?;
    inject_fault()?;
    let store = keeper::open_store(&operator, name, founds_fleet)?;
    let requested = operator.listen.ok_or(KeeperError::MissingSetting("instance.listen"))?;
    runtime()?.block_on(LocalSet::new().run_until(async move {
        let listener = bind(LISTEN, requested).await?;
        let address = bound_address(LISTEN, requested, &listener)?;
        info!("keeper {name} listens on {address}");
        let mut terminate = stream(SignalKind::terminate())?;
        tokio::select! {
            ended = keeper::run(operator, name, store, listener) => Ok(ended?),
            _ = terminate.recv() => {
                info!("keeper {name} stops on SIGTERM");
                Ok(())
            }
        }
    }))
}
