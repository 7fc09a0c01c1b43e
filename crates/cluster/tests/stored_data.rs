//! A keeper's store as earlier versions have written it. Each fixture is a store whose bytes never change: a version that
//! can't read one would stop the keepers of a fleet that is brought up to it.
//!
//! `keeper-log` was written by the keeper itself and killed in its work; its log begins with that of the fleet.
//! `keeper-snapshot` was made of it: a snapshot of the state, and the last six entries behind it. Both by commit 4f22f0b.

use linenhill_cluster::replicated_state::ReplicatedState;
use linenhill_cluster::store::KeeperStore;
use prost::Message;
use raft::eraftpb::EntryType;
use raft::{GetEntriesContext, Storage};
use std::path::{Path, PathBuf};

/// The keeper's number, and what the keepers of its log have in common.
const KEEPER: u64 = 340_989_887_356_953_028;
const LOG_ID: u64 = 17_784_931_650_254_883_521;
/// The last entry in both stores and its term.
const LAST: u64 = 37;
const TERM: u64 = 2;
/// The entry up to which the second one's snapshot stands for the log.
const SNAPSHOT: u64 = 31;

/// A copy of a fixture for one test, since opening a store writes to it and locks it.
fn opened(fixture: &str, test: &str) -> (KeeperStore, PathBuf) {
    let name = format!("{}-{test}-{fixture}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(fixture);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::copy(from.join("agreed.redb"), folder.join("agreed.redb")).expect("a copy");
    (KeeperStore::open(&folder).expect("the store opens"), folder)
}

/// The agreed state after the entry `last`, from what the store holds.
fn state_after(disk: &KeeperStore, last: u64) -> ReplicatedState {
    let mut state = ReplicatedState::decode(disk.snapshot().get_data()).expect("a state");
    let first = disk.first_index().expect("a first entry");
    let entries = disk.entries(first, last + 1, None, GetEntriesContext::empty(false)).expect("entries");
    for entry in entries {
        assert_eq!(entry.get_entry_type(), EntryType::EntryNormal);
        state.apply(&entry.data);
    }
    state
}

// Guards against a store that a later version takes for nobody's, or whose vote, log or snapshot it reads otherwise.
#[test]
fn stores_of_earlier_versions_open_with_their_vote_and_log() {
    for (fixture, snapshot) in [("keeper-log", 1), ("keeper-snapshot", SNAPSHOT)] {
        let (disk, folder) = opened(fixture, "opens");
        let whose = disk.identity();
        assert_eq!((whose.id, whose.log_id), (KEEPER, LOG_ID));
        assert_eq!((whose.name.as_str(), whose.cluster.as_str()), ("k1", "fixture"));
        let found = disk.initial_state().expect("a state");
        assert_eq!((found.hard_state.term, found.hard_state.vote), (TERM, KEEPER));
        assert_eq!(found.conf_state.voters, [KEEPER]);
        assert_eq!(disk.snapshot().get_metadata().index, snapshot);
        assert_eq!(
            (disk.first_index().expect("an index"), disk.last_index().expect("an index")),
            (snapshot + 1, LAST)
        );
        assert_eq!(disk.term(LAST).expect("a term"), TERM);
        let _ = std::fs::remove_dir_all(folder);
    }
}

// Guards against an entry or a state that a later version reads or writes otherwise: keepers of both versions, of which one
// has the log and the other the snapshot, would agree on different things. Compared as bytes, so that no name counts.
#[test]
fn the_log_of_an_earlier_version_leads_to_its_snapshot() {
    let ((log, one), (snapshot, other)) = (opened("keeper-log", "leads"), opened("keeper-snapshot", "leads"));
    let written = snapshot.snapshot().get_data();
    assert!(written.len() > 500, "{} bytes", written.len());
    assert_eq!(state_after(&log, SNAPSHOT).encode_to_vec(), written);
    assert_eq!(ReplicatedState::decode(written).expect("a state").encode_to_vec(), written);
    assert_eq!(state_after(&log, LAST).encode_to_vec(), state_after(&snapshot, LAST).encode_to_vec());
    [one, other].iter().for_each(|folder| _ = std::fs::remove_dir_all(folder));
}
