//! A keeper's persistent store: the Raft log, the vote and the last snapshot, in an embedded database.
//!
//! Every write is synced before it returns, because messages that depend on it may be sent immediately afterwards. A
//! lost store must never be recreated under its old identity: each store has a random Raft identifier, so a keeper that
//! lost its store gets another identifier and cannot vote again under the old one.

mod error;
mod load;

pub use error::StoreError;

use error::{database_error, invalid};
use linenhill_decisions::membership::MAX_NAME_BYTES;
use load::{StoredMeta, read_entries};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use redb::{Builder, Database, ReadableDatabase, StorageBackend, TableDefinition};
use std::path::{Path, PathBuf};

/// Identity, snapshot and hard state, by key.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Encoded entries by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const IDENTITY_KEY: &str = "identity";
const SNAPSHOT_KEY: &str = "snapshot";
const HARD_STATE_KEY: &str = "hard";
/// Version of the store's format, which is the first line of the identity.
const FORMAT_VERSION: u64 = 1;
const FILE_NAME: &str = "agreed.redb";
/// Index and term of the initial snapshot of a new log.
const INITIAL_INDEX: u64 = 1;
const INITIAL_TERM: u64 = 1;

/// The keeper that owns a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreIdentity {
    /// Raft identifier of the keeper, drawn at random when the store is created.
    pub id: u64,
    /// Identifier of the replicated log, shared by its keepers; 0 until a keeper has accepted this one's join request.
    pub log_id: u64,
    /// Name of the keeper.
    pub name: String,
    /// Name of the fleet.
    pub cluster: String,
}

impl StoreIdentity {
    /// Encodes one value per line, starting with the format version.
    fn encode(&self) -> String {
        format!("{FORMAT_VERSION}\n{}\n{}\n{}\n{}", self.id, self.log_id, self.name, self.cluster)
    }

    fn decode(text: &str) -> Option<StoreIdentity> {
        let mut lines = text.split('\n');
        if lines.next()?.parse() != Ok(FORMAT_VERSION) {
            return None;
        }
        let id = lines.next()?.parse().ok()?;
        let log_id = lines.next()?.parse().ok()?;
        let name = lines.next()?.to_string();
        let cluster = lines.next()?.to_string();
        (name.len() <= MAX_NAME_BYTES).then_some(StoreIdentity { id, log_id, name, cluster })
    }
}

/// The store of one keeper. The log is also held in memory, since the engine reads it often.
pub struct KeeperStore {
    database: Database,
    path: PathBuf,
    memory: MemStorage,
    snapshot: Snapshot,
    identity: StoreIdentity,
}

/// Changes that are written and synced in one transaction.
#[derive(Default)]
pub struct WriteBatch<'a> {
    /// A snapshot that replaces the entire log.
    pub snapshot: Option<&'a Snapshot>,
    /// Consecutive entries, which replace all stored entries from the index of the first one on.
    pub entries: &'a [Entry],
    /// Term, vote and commit index.
    pub hard_state: Option<&'a HardState>,
}

impl KeeperStore {
    /// Whether the directory holds a store.
    pub fn exists(directory: &Path) -> bool {
        directory.join(FILE_NAME).exists()
    }

    /// Creates a store for `identity`. With `initial_state`, the store begins a new log with this encoded state, and
    /// its keeper is the only voter. Without, the log is empty until the keeper has joined.
    pub fn create(
        directory: &Path, identity: StoreIdentity, initial_state: Option<Vec<u8>>,
    ) -> Result<KeeperStore, StoreError> {
        let path = directory.join(FILE_NAME);
        if KeeperStore::exists(directory) {
            return Err(StoreError::AlreadyExists(path));
        }
        std::fs::create_dir_all(directory)
            .map_err(|error| StoreError::Directory(directory.to_path_buf(), error))?;
        let database = Database::create(&path).map_err(database_error(&path))?;
        KeeperStore::initialize(path, database, identity, initial_state)
    }

    /// Like [`KeeperStore::create`], on a storage backend, which is not checked for an existing store. Errors name the
    /// keeper instead of a path.
    pub fn create_with_backend(
        backend: impl StorageBackend, identity: StoreIdentity, initial_state: Option<Vec<u8>>,
    ) -> Result<KeeperStore, StoreError> {
        let path = PathBuf::from(&identity.name);
        let database = Builder::new().create_with_backend(backend).map_err(database_error(&path))?;
        KeeperStore::initialize(path, database, identity, initial_state)
    }

    fn initialize(
        path: PathBuf, database: Database, identity: StoreIdentity, initial_state: Option<Vec<u8>>,
    ) -> Result<KeeperStore, StoreError> {
        let (memory, snapshot) = (MemStorage::new(), Snapshot::default());
        let mut store = KeeperStore { database, path, memory, snapshot, identity };
        store.write_identity()?;
        if let Some(state) = initial_state {
            let voters = ConfState { voters: vec![store.identity.id], ..ConfState::default() };
            let snapshot = new_snapshot(INITIAL_INDEX, INITIAL_TERM, voters, state);
            let hard_state = HardState { term: INITIAL_TERM, commit: INITIAL_INDEX, ..HardState::default() };
            store.save(&WriteBatch {
                snapshot: Some(&snapshot),
                entries: &[],
                hard_state: Some(&hard_state),
            })?;
        }
        Ok(store)
    }

    /// Opens the store in a directory.
    pub fn open(directory: &Path) -> Result<KeeperStore, StoreError> {
        let path = directory.join(FILE_NAME);
        if !path.exists() {
            return Err(StoreError::Missing(path));
        }
        let database = Database::open(&path).map_err(database_error(&path))?;
        KeeperStore::load(path, database)
    }

    /// Like [`KeeperStore::open`], on a storage backend instead of a file. Errors contain `name` instead of a path.
    pub fn open_with_backend(backend: impl StorageBackend, name: &str) -> Result<KeeperStore, StoreError> {
        let path = PathBuf::from(name);
        let database = Builder::new().create_with_backend(backend).map_err(database_error(&path))?;
        KeeperStore::load(path, database)
    }

    fn load(path: PathBuf, database: Database) -> Result<KeeperStore, StoreError> {
        let transaction = database.begin_read().map_err(database_error(&path))?;
        let stored = StoredMeta::read(&path, &transaction)?;
        let memory = MemStorage::new();
        if let Some(snapshot) = &stored.snapshot {
            memory.wl().apply_snapshot(snapshot.clone()).map_err(invalid(&path, "snapshot"))?;
        }
        let snapshot = stored.snapshot.unwrap_or_default();
        let entries = read_entries(&path, &transaction, snapshot.get_metadata().index)?;
        memory.wl().append(&entries).map_err(invalid(&path, "log entries"))?;
        if let Some(mut hard_state) = stored.hard_state {
            // The stored commit index may be lower than the snapshot's, since it is not written with each commit. All
            // entries in a snapshot are committed.
            let metadata = snapshot.get_metadata();
            hard_state.commit = hard_state.commit.max(metadata.index);
            hard_state.term = hard_state.term.max(metadata.term);
            let last_index = memory.last_index().unwrap_or(0);
            if hard_state.commit > last_index {
                let commit = hard_state.commit;
                let source =
                    format!("commit index {commit} is beyond the last log index {last_index}").into();
                return Err(StoreError::Invalid { path, value: "hard state", source: Some(source) });
            }
            memory.wl().set_hardstate(hard_state);
        }
        drop(transaction);
        Ok(KeeperStore { database, path, memory, snapshot, identity: stored.identity })
    }

    /// The keeper that owns the store.
    pub fn identity(&self) -> &StoreIdentity {
        &self.identity
    }

    /// The last snapshot; an empty one with index 0 if there is none.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Writes the identifier of the log that this keeper joins.
    pub fn set_log_id(&mut self, log_id: u64) -> Result<(), StoreError> {
        self.identity.log_id = log_id;
        self.write_identity()
    }

    fn write_identity(&self) -> Result<(), StoreError> {
        self.write(|meta, _| {
            meta.insert(IDENTITY_KEY, self.identity.encode().as_bytes())?;
            Ok(())
        })
    }

    /// Runs `fill` on both tables in one synced transaction.
    fn write(
        &self,
        fill: impl FnOnce(&mut redb::Table<&str, &[u8]>, &mut redb::Table<u64, &[u8]>) -> Result<(), redb::Error>,
    ) -> Result<(), StoreError> {
        let transaction = self.database.begin_write().map_err(database_error(&self.path))?;
        {
            let mut meta = transaction.open_table(META).map_err(database_error(&self.path))?;
            let mut log = transaction.open_table(LOG).map_err(database_error(&self.path))?;
            fill(&mut meta, &mut log).map_err(database_error(&self.path))?;
        }
        transaction.commit().map_err(database_error(&self.path))
    }

    /// Writes and syncs a batch, unless it is empty. The store must not be used after an error, since memory and disk
    /// may differ.
    pub fn save(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        let snapshot = batch.snapshot.map(|snapshot| self.encode(snapshot)).transpose()?;
        let hard_state = batch.hard_state.map(|hard_state| self.encode(hard_state)).transpose()?;
        let mut entries = Vec::with_capacity(batch.entries.len());
        for entry in batch.entries {
            entries.push((entry.index, self.encode(entry)?));
        }
        if snapshot.is_none() && hard_state.is_none() && entries.is_empty() {
            return Ok(());
        }
        self.write(|meta, log| {
            if let Some(bytes) = &snapshot {
                meta.insert(SNAPSHOT_KEY, bytes.as_slice())?;
                log.retain(|_, _| false)?;
            }
            if let Some(bytes) = &hard_state {
                meta.insert(HARD_STATE_KEY, bytes.as_slice())?;
            }
            if let Some((first, _)) = entries.first() {
                log.retain_in(*first.., |_, _| false)?;
            }
            for (index, bytes) in &entries {
                log.insert(index, bytes.as_slice())?;
            }
            Ok(())
        })?;
        self.save_in_memory(batch)
    }

    fn save_in_memory(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        if let Some(snapshot) = batch.snapshot {
            let applied = self.memory.wl().apply_snapshot(snapshot.clone());
            applied.map_err(invalid(&self.path, "snapshot"))?;
            self.snapshot = snapshot.clone();
        }
        self.memory.wl().append(batch.entries).map_err(invalid(&self.path, "log entries"))?;
        if let Some(hard_state) = batch.hard_state {
            self.memory.wl().set_hardstate(hard_state.clone());
        }
        Ok(())
    }

    fn encode(&self, message: &dyn protobuf::Message) -> Result<Vec<u8>, StoreError> {
        message.write_to_bytes().map_err(invalid(&self.path, "message"))
    }

    /// Records the commit index in memory only. It need not be synced, since the engine determines the commit index
    /// again after a restart.
    pub fn set_commit_index(&mut self, index: u64) {
        self.memory.wl().mut_hard_state().commit = index;
    }

    /// Replaces the log up to the applied entry `index` with a snapshot of the encoded state after that entry, and
    /// writes the hard state with its current commit index.
    pub fn compact(&mut self, index: u64, conf: &ConfState, state: Vec<u8>) -> Result<(), StoreError> {
        let term = self.memory.term(index).map_err(invalid(&self.path, "log index"))?;
        let snapshot = new_snapshot(index, term, conf.clone(), state);
        let snapshot_bytes = snapshot.write_to_bytes().map_err(invalid(&self.path, "snapshot"))?;
        let hard_state = self.memory.rl().hard_state().write_to_bytes();
        let hard_state_bytes = hard_state.map_err(invalid(&self.path, "hard state"))?;
        self.write(|meta, log| {
            meta.insert(SNAPSHOT_KEY, snapshot_bytes.as_slice())?;
            meta.insert(HARD_STATE_KEY, hard_state_bytes.as_slice())?;
            log.retain_in(..=index, |_, _| false)?;
            Ok(())
        })?;
        self.memory.wl().compact(index).map_err(invalid(&self.path, "log index"))?;
        self.snapshot = snapshot;
        Ok(())
    }
}

fn new_snapshot(index: u64, term: u64, conf: ConfState, state: Vec<u8>) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let metadata = snapshot.mut_metadata();
    metadata.index = index;
    metadata.term = term;
    metadata.set_conf_state(conf);
    snapshot.set_data(state.into());
    snapshot
}

impl Storage for KeeperStore {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self, low: u64, high: u64, max: impl Into<Option<u64>>, context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.memory.entries(low, high, max, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, request: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request.max(1) {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
