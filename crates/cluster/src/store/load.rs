//! Reads a store. Every value is validated, since a keeper must not vote with a damaged store.

use super::error::{database_error, invalid};
use super::{
    FORMAT_VERSION, HARD_STATE_KEY, IDENTITY_KEY, LOG, META, SNAPSHOT_KEY, StoreError, StoreIdentity,
};
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{ReadTransaction, ReadableTable};
use std::path::Path;

/// Maximum number of characters of an invalid identity's first line in the error text.
const MAX_FOUND_CHARS: usize = 40;

/// The decoded values of the [`META`] table.
pub(super) struct StoredMeta {
    pub identity: StoreIdentity,
    pub snapshot: Option<Snapshot>,
    pub hard_state: Option<HardState>,
}

impl StoredMeta {
    pub fn read(path: &Path, transaction: &ReadTransaction) -> Result<StoredMeta, StoreError> {
        let table = transaction.open_table(META).map_err(database_error(path))?;
        let value = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
            let found = table.get(key).map_err(database_error(path))?;
            Ok(found.map(|found| found.value().to_vec()))
        };
        let identity_bytes = value(IDENTITY_KEY)?;
        let identity = identity_bytes
            .as_deref()
            .and_then(|bytes| StoreIdentity::decode(std::str::from_utf8(bytes).ok()?))
            .ok_or_else(|| invalid_identity(path, identity_bytes.as_deref()))?;
        let snapshot = value(SNAPSHOT_KEY)?.map(|bytes| Snapshot::parse_from_bytes(&bytes)).transpose();
        let snapshot = snapshot.map_err(invalid(path, "snapshot"))?;
        let hard_state = value(HARD_STATE_KEY)?.map(|bytes| HardState::parse_from_bytes(&bytes)).transpose();
        let hard_state = hard_state.map_err(invalid(path, "hard state"))?;
        Ok(StoredMeta { identity, snapshot, hard_state })
    }
}

/// The error for an identity that is absent or cannot be decoded.
fn invalid_identity(path: &Path, bytes: Option<&[u8]>) -> StoreError {
    let found = match bytes.map(std::str::from_utf8) {
        None => "none".to_string(),
        Some(Err(error)) => error.to_string(),
        Some(Ok(text)) => {
            let first_line: String = text.chars().take_while(|c| *c != '\n').take(MAX_FOUND_CHARS).collect();
            format!("{} lines, the first of which is {first_line:?}", text.split('\n').count())
        }
    };
    let source = format!("expected an identity of format version {FORMAT_VERSION}, found {found}").into();
    StoreError::Invalid { path: path.to_path_buf(), value: "identity", source: Some(source) }
}

/// Reads the entries after `snapshot_index`, whose indices must be consecutive. Earlier entries are skipped; a log
/// table that cannot be opened counts as empty.
pub(super) fn read_entries(
    path: &Path, transaction: &ReadTransaction, snapshot_index: u64,
) -> Result<Vec<Entry>, StoreError> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut next_index = snapshot_index + 1;
    let Ok(table) = transaction.open_table(LOG) else { return Ok(entries) };
    for row in table.iter().map_err(database_error(path))? {
        let (index, bytes) = row.map_err(database_error(path))?;
        let entry = Entry::parse_from_bytes(bytes.value()).map_err(invalid(path, "log entry"))?;
        if index.value() < next_index {
            continue;
        }
        if entry.index != next_index || index.value() != next_index {
            let (key, found) = (index.value(), entry.index);
            let source = format!("expected entry {next_index}, found entry {found} at key {key}").into();
            return Err(StoreError::Invalid { path: path.to_path_buf(), value: "log", source: Some(source) });
        }
        entries.push(entry);
        next_index += 1;
    }
    Ok(entries)
}
