//! The file in which two versions of the program share maintenance orders.

use linenhill::api::{GroupId, MemberState};
use linenhill::clock::Clock;
use linenhill::hot_restart::{maintenance_log::MaintenanceLog, saved};
use linenhill::maintenance::{ListedMember, Maintenance};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use tokio::sync::mpsc;

/// How much of a file is left where its writing was cut off.
const TORN_LENGTH: usize = 30;

/// Guards against an order that is lost when two versions write at once, when the file is torn, or when its new text is
/// as long as the old; and against a foreign file that is written over.
#[tokio::test]
async fn maintenance_orders_survive_what_others_write_over_them() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-orders", std::process::id()));
    let _ = std::fs::remove_file(&file);
    let clock = Clock::start();
    let (inbox, _events) = mpsc::unbounded_channel();
    let start_version = || {
        let mut maintenance = Maintenance::default();
        for id in ["a", "b"] {
            let group = GroupId(1);
            let state = MemberState::InService;
            maintenance.record_listed(clock.now(), ListedMember { id, group, state, started: None });
        }
        let maintenance = Rc::new(RefCell::new(maintenance));
        MaintenanceLog::new(maintenance, Some(file.clone()), clock, inbox.clone())
    };
    let read_orders = || saved::read(&file).expect("a file").unwrap_or_default();
    let first = start_version();
    assert_eq!(first.order("a", true), Ok(true));
    let stale = std::fs::read(&file).expect("the file");
    assert_eq!(first.order("a", false), Ok(true));
    let newest = read_orders();
    let torn = saved::seal(&newest).into_bytes()[..TORN_LENGTH].to_vec();
    for other_content in [stale, torn] {
        std::fs::write(&file, other_content).expect("written over");
        first.sync();
        assert_eq!(read_orders(), newest, "its own newest order is there again");
    }
    let second = start_version();
    assert_eq!(second.order("b", true), Ok(true));
    first.sync();
    assert_eq!(first.order("b", true), Ok(false), "given to the other one");
    std::fs::write(&file, "something else\n").expect("written");
    first.sync();
    assert_eq!(std::fs::read(&file).expect("the file"), b"something else\n");
}
