//! Creating, reopening and validating a keeper's store.

use linenhill_cluster::store::{KeeperStore, StoreError, StoreIdentity, WriteBatch};
use raft::eraftpb::{ConfState, Entry, HardState};
use raft::{Config, RawNode, Storage};
use std::path::PathBuf;

fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn identity() -> StoreIdentity {
    StoreIdentity { id: 7, log_id: 9, name: "k1".into(), cluster: "test".into() }
}

fn create(directory: &std::path::Path) -> KeeperStore {
    KeeperStore::create(directory, identity(), Some(b"state".to_vec())).expect("a store")
}

/// Guards against a keeper that can't restart after it was killed between a snapshot and the next write of its hard
/// state, when the stored commit index is lower than the snapshot's index.
#[test]
fn store_reopens_after_a_kill_behind_a_snapshot() {
    let directory = directory("snapshot");
    let mut store = create(&directory);
    let entries: Vec<Entry> = (2..9).map(|index| Entry { index, term: 2, ..Entry::default() }).collect();
    let hard_state = HardState { term: 2, vote: 7, commit: 1, ..HardState::default() };
    let batch = WriteBatch { snapshot: None, entries: &entries, hard_state: Some(&hard_state) };
    store.save(&batch).expect("saved");
    let conf = ConfState { voters: vec![7], ..ConfState::default() };
    store.compact(6, &conf, b"later".to_vec()).expect("compacted");
    drop(store);
    let store = KeeperStore::open(&directory).expect("the store reopens");
    assert_eq!(store.snapshot().get_metadata().index, 6);
    assert_eq!(store.last_index().expect("an index"), 8);
    assert_eq!(store.initial_state().expect("a state").hard_state.commit, 6);
    let config = Config { id: 7, applied: 6, ..Config::default() };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    assert!(RawNode::new(&config, store, &logger).is_ok());
    let _ = std::fs::remove_dir_all(directory);
}

/// Guards against creating a store over an existing one, and against opening a missing store as an empty one: the
/// keeper could vote twice in a term.
#[test]
fn store_is_created_once() {
    let directory = directory("once");
    assert!(matches!(KeeperStore::open(&directory), Err(StoreError::Missing(_))));
    drop(create(&directory));
    let second = KeeperStore::create(&directory, identity(), None);
    assert!(matches!(second, Err(StoreError::AlreadyExists(_))));
    assert_eq!(KeeperStore::open(&directory).expect("the store").identity(), &identity());
    let _ = std::fs::remove_dir_all(directory);
}

/// Guards against accepting a truncated store, which may lack the keeper's vote.
#[test]
fn truncated_store_is_rejected() {
    let directory = directory("truncated");
    drop(create(&directory));
    let file = directory.join("agreed.redb");
    let content = std::fs::read(&file).expect("the file");
    for length in [0, 7, 500, content.len() / 2] {
        std::fs::write(&file, &content[..length]).expect("written");
        let opened = KeeperStore::open(&directory);
        assert!(opened.is_err(), "{length} bytes of {}", content.len());
    }
    let _ = std::fs::remove_dir_all(directory);
}
