//! Opens a keeper's store, or creates one: either empty, to join an existing log, or as the start of a new log.

use super::KeeperError;
use crate::replicated_state::{KeeperRecord, ReplicatedState};
use crate::store::{KeeperStore, StoreIdentity};
use linenhill_settings::operator::Operator;
use prost::Message as _;
use std::net::SocketAddr;

/// Opens the store of the keeper `name`, or creates it if there is none. With `begins_log`, creates it for a new log
/// whose only voter is this keeper.
///
/// # Errors
/// The operators' file has no store directory or no keeper `name`, the store belongs to another keeper or fleet, or it
/// cannot be opened or created. With `begins_log`, an existing store is an error.
pub fn open_store(operator: &Operator, name: &str, begins_log: bool) -> Result<KeeperStore, KeeperError> {
    let directory = operator.store.as_deref().ok_or(KeeperError::MissingSetting("instance.store"))?;
    let keeper = operator.keepers.iter().find(|keeper| keeper.name == name);
    let address = keeper.ok_or_else(|| KeeperError::UnknownKeeper(name.to_string()))?.address;
    if KeeperStore::exists(directory) && !begins_log {
        let store = KeeperStore::open(directory)?;
        let owner = store.identity();
        if owner.name != name || owner.cluster != operator.cluster {
            let (keeper, cluster) = (owner.name.clone(), owner.cluster.clone());
            return Err(KeeperError::ForeignStore { keeper, cluster });
        }
        return Ok(store);
    }
    let mut rng = fastrand::Rng::new();
    let id = rng.u64(1..u64::MAX);
    let log_id = if begins_log { rng.u64(1..u64::MAX) } else { 0 };
    let identity = StoreIdentity { id, log_id, name: name.to_string(), cluster: operator.cluster.clone() };
    let state = begins_log.then(|| initial_state(id, name, address));
    Ok(KeeperStore::create(directory, identity, state)?)
}

/// Encodes the state of a new log whose only voter is the keeper `name`.
pub fn initial_state(id: u64, name: &str, address: SocketAddr) -> Vec<u8> {
    let mut state = ReplicatedState::default();
    state.keepers.insert(id, KeeperRecord { name: name.to_string(), address: address.to_string() });
    state.encode_to_vec()
}
