//! Compatibility with keepers' stores of earlier versions. The bytes of the fixtures must never change: the keepers of
//! a fleet could not be upgraded to a version that can't read them.
//!
//! `keeper-log` is the store of a keeper that was killed while running; it holds the complete log since the start of
//! the fleet. `keeper-snapshot` was derived from it, and holds a snapshot and the six entries after it. Both were
//! written by commit 4f22f0b.

use linenhill_cluster::replicated_state::ReplicatedState;
use linenhill_cluster::store::KeeperStore;
use prost::Message;
use raft::eraftpb::EntryType;
use raft::{GetEntriesContext, Storage};
use std::path::{Path, PathBuf};

/// Raft identifier of the keeper, and identifier of its log.
const KEEPER_ID: u64 = 340_989_887_356_953_028;
const LOG_ID: u64 = 17_784_931_650_254_883_521;
/// Index and term of the last entry in both stores.
const LAST_INDEX: u64 = 37;
const LAST_TERM: u64 = 2;
/// Index of the snapshot in `keeper-snapshot`.
const SNAPSHOT_INDEX: u64 = 31;

/// Opens a copy of a fixture for one test, since opening a store writes to it and locks it. Returns its directory as
/// well.
fn open_fixture(fixture: &str, test: &str) -> (KeeperStore, PathBuf) {
    let name = format!("{}-{test}-{fixture}", std::process::id());
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(fixture);
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("a directory");
    std::fs::copy(source.join("agreed.redb"), directory.join("agreed.redb")).expect("a copy");
    (KeeperStore::open(&directory).expect("the store opens"), directory)
}

/// The state after the entry `last`, from the store's snapshot and log.
fn state_after(store: &KeeperStore, last: u64) -> ReplicatedState {
    let mut state = ReplicatedState::decode(store.snapshot().get_data()).expect("a state");
    let first = store.first_index().expect("a first entry");
    let entries = store.entries(first, last + 1, None, GetEntriesContext::empty(false)).expect("entries");
    for entry in entries {
        assert_eq!(entry.get_entry_type(), EntryType::EntryNormal);
        state.apply(&entry.data);
    }
    state
}

// Guards against a version that doesn't find the identity in an older store, or decodes its vote, log or snapshot
// differently.
#[test]
fn stores_of_earlier_versions_open_with_their_vote_and_log() {
    for (fixture, snapshot) in [("keeper-log", 1), ("keeper-snapshot", SNAPSHOT_INDEX)] {
        let (store, directory) = open_fixture(fixture, "opens");
        let identity = store.identity();
        assert_eq!((identity.id, identity.log_id), (KEEPER_ID, LOG_ID));
        assert_eq!((identity.name.as_str(), identity.cluster.as_str()), ("k1", "fixture"));
        let state = store.initial_state().expect("a state");
        assert_eq!((state.hard_state.term, state.hard_state.vote), (LAST_TERM, KEEPER_ID));
        assert_eq!(state.conf_state.voters, [KEEPER_ID]);
        assert_eq!(store.snapshot().get_metadata().index, snapshot);
        assert_eq!(
            (store.first_index().expect("an index"), store.last_index().expect("an index")),
            (snapshot + 1, LAST_INDEX)
        );
        assert_eq!(store.term(LAST_INDEX).expect("a term"), LAST_TERM);
        let _ = std::fs::remove_dir_all(directory);
    }
}

// Guards against a version that decodes or encodes entries or the state differently: the states of a keeper that
// applied the log and of one that received the snapshot would diverge. Compares bytes, so that renamed fields don't
// matter.
#[test]
fn the_log_of_an_earlier_version_leads_to_its_snapshot() {
    let ((log, log_directory), (snapshot, snapshot_directory)) =
        (open_fixture("keeper-log", "leads"), open_fixture("keeper-snapshot", "leads"));
    let expected = snapshot.snapshot().get_data();
    assert!(expected.len() > 500, "{} bytes", expected.len());
    assert_eq!(state_after(&log, SNAPSHOT_INDEX).encode_to_vec(), expected);
    assert_eq!(ReplicatedState::decode(expected).expect("a state").encode_to_vec(), expected);
    assert_eq!(
        state_after(&log, LAST_INDEX).encode_to_vec(),
        state_after(&snapshot, LAST_INDEX).encode_to_vec()
    );
    [log_directory, snapshot_directory].iter().for_each(|directory| _ = std::fs::remove_dir_all(directory));
}
