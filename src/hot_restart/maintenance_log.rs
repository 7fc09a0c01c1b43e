//! Orders of operators on members, in this process and in a file that both versions of an upgrade share: an
//! order given to either process binds both, and those that come after them.
//!
//! [`Maintenance`] decides which order counts. This module must never drop an order that it could not write:
//! it stays in force here, and is written with the next change.

use super::saved::{self, SavedError};
use crate::api::Time;
use crate::clock::Clock;
use crate::maintenance::{Maintenance, MaintenanceOrder, OrderRejected};
use crate::settings::{self, JsonError};
use crate::stages::DriverInput;
use log::{info, warn};
use miniserde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The file's name in the directory that versions share. Earlier versions wrote it under this name, so it must stay.
pub const FILE_NAME: &str = "words";

/// How often the file is checked: an order given to the other process binds this one well within any grace.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// An order as the file has it.
#[derive(Serialize, Deserialize)]
struct OrderRecord {
    /// The member.
    id: String,
    /// It is out of service.
    out: bool,
    /// When the order was given, in Unix microseconds.
    at_us: u64,
}

impl OrderRecord {
    fn new(id: &str, order: MaintenanceOrder) -> OrderRecord {
        OrderRecord { id: id.to_string(), out: order.out_of_service, at_us: order.at.0 }
    }

    fn order(&self) -> MaintenanceOrder {
        MaintenanceOrder { at: Time(self.at_us), out_of_service: self.out }
    }
}

/// Why the file's orders are not used.
#[derive(Debug)]
enum ReadError {
    Saved(SavedError),
    Form(JsonError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReadError::Saved(problem) => problem.fmt(f),
            ReadError::Form(problem) => problem.fmt(f),
        }
    }
}

impl std::error::Error for ReadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ReadError::Saved(problem) => Some(problem),
            ReadError::Form(problem) => Some(problem),
        }
    }
}

/// What distinguishes one state of the file from another; each write makes a new file.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    modified: SystemTime,
    length: u64,
}

impl FileStamp {
    fn of(file: &Path) -> Option<FileStamp> {
        let metadata = std::fs::metadata(file).ok()?;
        let modified = metadata.modified().ok()?;
        Some(FileStamp { inode: metadata.ino(), modified, length: metadata.len() })
    }
}

/// The orders of operators with the file that keeps them.
pub struct MaintenanceLog {
    maintenance: Rc<RefCell<Maintenance>>,
    file: Option<PathBuf>,
    /// The file as it was last read.
    last_read: Cell<Option<FileStamp>>,
    clock: Clock,
    inbox: mpsc::UnboundedSender<DriverInput>,
}

impl MaintenanceLog {
    /// Orders that are also kept in `file`, if there is one. What changes the state of a member is sent to
    /// `inbox`.
    pub fn new(
        maintenance: Rc<RefCell<Maintenance>>, file: Option<PathBuf>, clock: Clock,
        inbox: mpsc::UnboundedSender<DriverInput>,
    ) -> Rc<MaintenanceLog> {
        let log = MaintenanceLog { maintenance, file, last_read: Cell::new(None), clock, inbox };
        log.sync();
        Rc::new(log)
    }

    /// Records the order that a member is out of service, or back in it. Returns whether that changes anything.
    ///
    /// # Errors
    /// No list has named the member recently, or there are too many orders.
    pub fn order(&self, id: &str, out_of_service: bool) -> Result<bool, OrderRejected> {
        self.sync();
        let changed = self.maintenance.borrow_mut().order(self.clock.now(), id, out_of_service)?;
        if changed {
            self.save();
            let _ = self.inbox.send(DriverInput::MaintenanceChanged(id.to_string()));
        }
        Ok(changed)
    }

    /// Reads the file whenever it changes, for as long as the program runs.
    pub async fn follow_file(self: Rc<MaintenanceLog>) {
        while self.file.is_some() {
            sleep(CHECK_EVERY).await;
            self.sync();
        }
    }

    /// Merges what another process has written since the last call, and writes again what it did not know.
    pub fn sync(&self) {
        let Some(file) = &self.file else { return };
        let stamp = FileStamp::of(file);
        if stamp == self.last_read.get() {
            return;
        }
        self.last_read.set(stamp);
        let records = match read_records(file) {
            Ok(records) => records,
            Err(problem) => return warn!("{}: not taken: {problem}", file.display()),
        };
        let mut written = BTreeMap::new();
        for record in records {
            written.insert(record.id.clone(), record.order());
            self.merge(record);
        }
        // Two processes that write at once overwrite each other's orders: the one whose order is missing writes it again.
        let is_missing =
            |(id, order): (&str, MaintenanceOrder)| written.get(id).is_none_or(|written| *written < order);
        let any_missing = self.maintenance.borrow().orders().any(is_missing);
        if any_missing {
            self.save();
        }
    }

    fn merge(&self, record: OrderRecord) {
        let is_new = self.maintenance.borrow_mut().merge(&record.id, record.order());
        if is_new {
            info!("maintenance: {} is {}", record.id, if record.out { "out" } else { "back" });
            let _ = self.inbox.send(DriverInput::MaintenanceChanged(record.id));
        }
    }

    fn save(&self) {
        let Some(file) = &self.file else { return };
        let maintenance = self.maintenance.borrow();
        let records: Vec<OrderRecord> =
            maintenance.orders().map(|(id, order)| OrderRecord::new(id, order)).collect();
        if let Err(problem) = saved::write(file, &miniserde::json::to_string(&records)) {
            warn!("{}: not written: {problem}", file.display());
        }
    }
}

/// The file's records; none if it does not exist. A torn file counts as empty, so that what is known here
/// replaces it.
fn read_records(file: &Path) -> Result<Vec<OrderRecord>, ReadError> {
    match saved::read(file) {
        Ok(Some(text)) => settings::parse(&text).map_err(ReadError::Form),
        Ok(None) => Ok(Vec::new()),
        Err(problem @ SavedError::Torn) => {
            warn!("{}: not taken: {problem}", file.display());
            Ok(Vec::new())
        }
        Err(problem) => Err(ReadError::Saved(problem)),
    }
}
