//! A keeper's disk over a restart at any moment.

use linenhill_cluster::store::{KeeperStore, StoreError, StoreIdentity, WriteBatch};
use raft::eraftpb::{ConfState, Entry, HardState};
use raft::{Config, RawNode, Storage};
use std::path::PathBuf;

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn identity() -> StoreIdentity {
    StoreIdentity { id: 7, log_id: 9, name: "k1".into(), cluster: "test".into() }
}

// Guards against a keeper that does not start any more: killed after a snapshot, before how far the log is agreed on was
// written anew, its vote lies before its snapshot.
#[test]
fn a_keeper_killed_right_after_a_snapshot_starts_again() {
    let folder = folder("snapshot");
    let mut disk = KeeperStore::create(&folder, identity(), Some(b"state".to_vec())).expect("a store");
    let entries: Vec<Entry> = (2..9).map(|index| Entry { index, term: 2, ..Entry::default() }).collect();
    let hard = HardState { term: 2, vote: 7, commit: 1, ..HardState::default() };
    disk.save(&WriteBatch { snapshot: None, entries: &entries, hard_state: Some(&hard) }).expect("saved");
    let conf = ConfState { voters: vec![7], ..ConfState::default() };
    disk.compact(6, &conf, b"later".to_vec()).expect("compacted");
    drop(disk);
    let disk = KeeperStore::open(&folder).expect("the store again");
    assert_eq!((disk.snapshot().get_metadata().index, disk.last_index().expect("it")), (6, 8));
    assert_eq!(disk.initial_state().expect("it").hard_state.commit, 6);
    let config = Config { id: 7, applied: 6, ..Config::default() };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    assert!(RawNode::new(&config, disk, &logger).is_ok());
    let _ = std::fs::remove_dir_all(folder);
}

// Guards against a second store over the first, a store made up where one was lost, and one that is cut and believed.
#[test]
fn a_store_is_made_once_and_a_cut_one_is_refused() {
    let folder = folder("cut");
    assert!(matches!(KeeperStore::open(&folder), Err(StoreError::Missing(_))));
    drop(KeeperStore::create(&folder, identity(), Some(b"state".to_vec())).expect("a store"));
    assert!(matches!(KeeperStore::create(&folder, identity(), None), Err(StoreError::AlreadyExists(_))));
    assert_eq!(KeeperStore::open(&folder).expect("the store").identity(), &identity());
    let file = folder.join("agreed.redb");
    let whole = std::fs::read(&file).expect("it");
    for part in [0, 7, 500, whole.len() / 2] {
        std::fs::write(&file, &whole[..part]).expect("written");
        let opened = KeeperStore::open(&folder);
        assert!(opened.is_err(), "{part} bytes of {}", whole.len());
    }
    let _ = std::fs::remove_dir_all(folder);
}
