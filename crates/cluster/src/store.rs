//! A keeper's disk: the engine's log, its votes and the last snapshot, in an embedded store whose every write is synced
//! before anything that rests on it is said.
//!
//! A store has a number of its own, drawn when it is made. Whoever lost its disk has another number, so it can never vote
//! again under the one it had.

use linenhill_decisions::membership::MAX_NAME_BYTES;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::fmt;
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The form of what is written.
const FORMAT: u64 = 1;
const FILE: &str = "agreed.redb";

/// Why a store can't be used; printed as one line.
#[derive(Debug)]
pub enum DiskError {
    /// There is none yet, or it is lost.
    Missing(PathBuf),
    /// There is one already.
    Present(PathBuf),
    /// The folder can't be made.
    Folder(PathBuf, std::io::Error),
    /// The store itself failed: it is cut, full, or can't be synced.
    Store(PathBuf, Box<redb::Error>),
    /// What stands in it can't be read.
    Content(PathBuf, &'static str),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DiskError::Missing(path) => write!(f, "{}: there is no store", path.display()),
            DiskError::Present(path) => write!(f, "{}: there is a store already", path.display()),
            DiskError::Folder(path, e) => write!(f, "{}: {e}", path.display()),
            DiskError::Store(path, e) => write!(f, "{}: {e}", path.display()),
            DiskError::Content(path, what) => write!(f, "{}: {what} can't be read", path.display()),
        }
    }
}

impl std::error::Error for DiskError {}

/// Whose store it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The keeper's number, drawn with the store.
    pub id: u64,
    /// What the keepers of one log have in common; 0 until it is known.
    pub log_id: u64,
    /// The keeper's name.
    pub name: String,
    /// The fleet's name.
    pub cluster: String,
}

impl Identity {
    fn text(&self) -> String {
        format!("{FORMAT}\n{}\n{}\n{}\n{}", self.id, self.log_id, self.name, self.cluster)
    }

    fn parse(text: &str) -> Option<Identity> {
        let mut lines = text.split('\n');
        if lines.next()?.parse() != Ok(FORMAT) {
            return None;
        }
        let (id, log_id) = (lines.next()?.parse().ok()?, lines.next()?.parse().ok()?);
        let (name, cluster) = (lines.next()?.to_string(), lines.next()?.to_string());
        (name.len() <= MAX_NAME_BYTES).then_some(Identity { id, log_id, name, cluster })
    }
}

/// The disk, with what the engine reads often kept in memory.
pub struct Disk {
    db: Database,
    path: PathBuf,
    mem: MemStorage,
    snapshot: Snapshot,
    identity: Identity,
}

/// What is to be on the disk before anything is said of it.
#[derive(Default)]
pub struct Batch<'a> {
    /// A snapshot in the place of the whole log.
    pub snapshot: Option<&'a Snapshot>,
    /// Entries, in the place of all from the first one's index on.
    pub entries: &'a [Entry],
    /// Term, vote and what is agreed on.
    pub hard: Option<&'a HardState>,
}

impl Disk {
    /// Whether a folder has a store.
    pub fn exists(folder: &Path) -> bool {
        folder.join(FILE).exists()
    }

    /// Makes a store for `identity`; with `founded`, it begins a log whose only keeper this is, at that state.
    pub fn create(folder: &Path, identity: Identity, founded: Option<Vec<u8>>) -> Result<Disk, DiskError> {
        if Disk::exists(folder) {
            return Err(DiskError::Present(folder.join(FILE)));
        }
        std::fs::create_dir_all(folder).map_err(|e| DiskError::Folder(folder.to_path_buf(), e))?;
        let path = folder.join(FILE);
        let db = failed(&path, Database::create(&path))?;
        Disk::begin(path, db, identity, founded)
    }

    /// Makes a store on something else than a file, as [`Disk::create`] does.
    pub fn create_on(
        backend: impl StorageBackend, identity: Identity, founded: Option<Vec<u8>>,
    ) -> Result<Disk, DiskError> {
        let path = PathBuf::from(&identity.name);
        let db = failed(&path, Builder::new().create_with_backend(backend))?;
        Disk::begin(path, db, identity, founded)
    }

    fn begin(
        path: PathBuf, db: Database, identity: Identity, founded: Option<Vec<u8>>,
    ) -> Result<Disk, DiskError> {
        let mut disk = Disk { db, path, mem: MemStorage::new(), snapshot: Snapshot::default(), identity };
        disk.write(|meta, _| {
            meta.insert("identity", disk.identity.text().as_bytes())?;
            Ok(())
        })?;
        if let Some(state) = founded {
            let mut snapshot = Snapshot::default();
            let meta = snapshot.mut_metadata();
            (meta.index, meta.term) = (1, 1);
            meta.set_conf_state(ConfState { voters: vec![disk.identity.id], ..ConfState::default() });
            snapshot.set_data(state.into());
            let hard = HardState { term: 1, commit: 1, ..HardState::default() };
            disk.save(&Batch { snapshot: Some(&snapshot), entries: &[], hard: Some(&hard) })?;
        }
        Ok(disk)
    }

    /// Opens the store of a folder.
    pub fn open(folder: &Path) -> Result<Disk, DiskError> {
        let path = folder.join(FILE);
        if !path.exists() {
            return Err(DiskError::Missing(path));
        }
        let db = failed(&path, Database::open(&path))?;
        Disk::read(path, db)
    }

    /// Opens the store on something else than a file.
    pub fn open_on(backend: impl StorageBackend, name: &str) -> Result<Disk, DiskError> {
        let path = PathBuf::from(name);
        let db = failed(&path, Builder::new().create_with_backend(backend))?;
        Disk::read(path, db)
    }

    fn read(path: PathBuf, db: Database) -> Result<Disk, DiskError> {
        let content = |what| DiskError::Content(path.clone(), what);
        let read = failed(&path, db.begin_read())?;
        let meta = failed(&path, read.open_table(META))?;
        let get = |key: &str| -> Result<Option<Vec<u8>>, DiskError> {
            Ok(failed(&path, meta.get(key))?.map(|found| found.value().to_vec()))
        };
        let identity = get("identity")?.and_then(|b| Identity::parse(std::str::from_utf8(&b).ok()?));
        let identity = identity.ok_or_else(|| content("the identity"))?;
        let mem = MemStorage::new();
        let mut snapshot = Snapshot::default();
        if let Some(bytes) = get("snapshot")? {
            snapshot = Snapshot::parse_from_bytes(&bytes).map_err(|_| content("the snapshot"))?;
            mem.wl().apply_snapshot(snapshot.clone()).map_err(|_| content("the snapshot"))?;
        }
        let hard = get("hard")?.map(|b| HardState::parse_from_bytes(&b)).transpose();
        let hard = hard.map_err(|_| content("the vote"))?;
        let mut entries = Vec::new();
        if let Ok(log) = read.open_table(LOG) {
            for row in failed(&path, log.iter())? {
                let (index, bytes) = failed(&path, row)?;
                let entry = Entry::parse_from_bytes(bytes.value()).map_err(|_| content("an entry"))?;
                let next = snapshot.get_metadata().index + 1 + entries.len() as u64;
                if index.value() >= next {
                    if entry.index != next || index.value() != next {
                        return Err(content("the order of entries"));
                    }
                    entries.push(entry);
                }
            }
        }
        mem.wl().append(&entries).map_err(|_| content("the log"))?;
        if let Some(mut hard) = hard {
            // A snapshot is of what was agreed on, also where the vote was written before that was known.
            let meta = snapshot.get_metadata();
            (hard.commit, hard.term) = (hard.commit.max(meta.index), hard.term.max(meta.term));
            if hard.commit > mem.last_index().unwrap_or(0) {
                return Err(content("the end of the log"));
            }
            mem.wl().set_hardstate(hard);
        }
        drop((meta, read));
        Ok(Disk { db, path, mem, snapshot, identity })
    }

    /// Whose it is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// What the keepers have in common is known now.
    pub fn found(&mut self, log_id: u64) -> Result<(), DiskError> {
        self.identity.log_id = log_id;
        self.write(|meta, _| {
            meta.insert("identity", self.identity.text().as_bytes())?;
            Ok(())
        })
    }

    fn write(
        &self,
        fill: impl FnOnce(&mut redb::Table<&str, &[u8]>, &mut redb::Table<u64, &[u8]>) -> Result<(), redb::Error>,
    ) -> Result<(), DiskError> {
        let write = failed(&self.path, self.db.begin_write())?;
        {
            let mut meta = failed(&self.path, write.open_table(META))?;
            let mut log = failed(&self.path, write.open_table(LOG))?;
            failed(&self.path, fill(&mut meta, &mut log))?;
        }
        failed(&self.path, write.commit())
    }

    /// Writes a batch and syncs it; after an error nothing of this disk is to be trusted any more.
    pub fn save(&mut self, batch: &Batch) -> Result<(), DiskError> {
        let content = |what| DiskError::Content(self.path.clone(), what);
        let bytes =
            |message: &dyn protobuf::Message| message.write_to_bytes().map_err(|_| content("a message"));
        let snapshot = batch.snapshot.map(|s| bytes(s)).transpose()?;
        let hard = batch.hard.map(|h| bytes(h)).transpose()?;
        let entries: Result<Vec<(u64, Vec<u8>)>, DiskError> =
            batch.entries.iter().map(|e| Ok((e.index, bytes(e)?))).collect();
        let entries = entries?;
        if snapshot.is_none() && hard.is_none() && entries.is_empty() {
            return Ok(());
        }
        self.write(|meta, log| {
            if let Some(bytes) = &snapshot {
                meta.insert("snapshot", bytes.as_slice())?;
                log.retain(|_, _| false)?;
            }
            if let Some(bytes) = &hard {
                meta.insert("hard", bytes.as_slice())?;
            }
            if let Some((first, _)) = entries.first() {
                log.retain_in(*first.., |_, _| false)?;
            }
            for (index, bytes) in &entries {
                log.insert(index, bytes.as_slice())?;
            }
            Ok(())
        })?;
        if let Some(snapshot) = batch.snapshot {
            self.mem.wl().apply_snapshot(snapshot.clone()).map_err(|_| content("a snapshot"))?;
            self.snapshot = snapshot.clone();
        }
        self.mem.wl().append(batch.entries).map_err(|_| content("entries"))?;
        if let Some(hard) = batch.hard {
            self.mem.wl().set_hardstate(hard.clone());
        }
        Ok(())
    }

    /// Notes how far the log is agreed on; it need not be synced.
    pub fn commit(&mut self, index: u64) {
        self.mem.wl().mut_hard_state().commit = index;
    }

    /// The state up to an applied entry stands for the log before it.
    pub fn compact(&mut self, index: u64, conf: &ConfState, state: Vec<u8>) -> Result<(), DiskError> {
        let term =
            self.mem.term(index).map_err(|_| DiskError::Content(self.path.clone(), "an entry's term"))?;
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(conf.clone());
        snapshot.set_data(state.into());
        let bytes = snapshot.write_to_bytes();
        let bytes = bytes.map_err(|_| DiskError::Content(self.path.clone(), "a snapshot"))?;
        let hard = self.mem.rl().hard_state().write_to_bytes();
        let hard = hard.map_err(|_| DiskError::Content(self.path.clone(), "a vote"))?;
        self.write(|meta, log| {
            meta.insert("snapshot", bytes.as_slice())?;
            meta.insert("hard", hard.as_slice())?;
            log.retain_in(..=index, |_, _| false)?;
            Ok(())
        })?;
        self.mem.wl().compact(index).map_err(|_| DiskError::Content(self.path.clone(), "the log"))?;
        self.snapshot = snapshot;
        Ok(())
    }
}

fn failed<T, E: Into<redb::Error>>(path: &Path, done: Result<T, E>) -> Result<T, DiskError> {
    done.map_err(|e| DiskError::Store(path.to_path_buf(), Box::new(e.into())))
}

impl Storage for Disk {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.mem.initial_state()
    }

    fn entries(
        &self, low: u64, high: u64, max: impl Into<Option<u64>>, context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.mem.entries(low, high, max, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.mem.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.mem.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.mem.last_index()
    }

    fn snapshot(&self, request: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request.max(1) {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
