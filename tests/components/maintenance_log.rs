//! The file of maintenance orders that two versions of the program share.

use linenhill::api::{GroupId, MemberState};
use linenhill::clock::Clock;
use linenhill::hot_restart::{maintenance_log::MaintenanceLog, saved};
use linenhill::maintenance::{ListedMember, Maintenance};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Size in bytes of a file whose write was interrupted.
const TRUNCATED_BYTES: usize = 30;

/// Guards against an order that is lost when two versions write at once, when the file is truncated, or when its new
/// content is as long as the old. Also guards against overwriting a file that the program did not write.
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
    let read_orders = || saved::read(&file).expect("read file").unwrap_or_default();
    let first = start_version();
    assert_eq!(first.order("a", true), Ok(true));
    let stale = std::fs::read(&file).expect("read file");
    assert_eq!(first.order("a", false), Ok(true));
    let newest = read_orders();
    let truncated = saved::seal(&newest).into_bytes()[..TRUNCATED_BYTES].to_vec();
    for other_content in [stale, truncated] {
        std::fs::write(&file, other_content).expect("overwrite file");
        first.sync();
        assert_eq!(read_orders(), newest, "the newest order is written again");
    }
    let second = start_version();
    assert_eq!(second.order("b", true), Ok(true));
    first.sync();
    assert_eq!(first.order("b", true), Ok(false), "the order was given to the other version");
    std::fs::write(&file, "something else\n").expect("write file");
    first.sync();
    assert_eq!(std::fs::read(&file).expect("read file"), b"something else\n");
}
