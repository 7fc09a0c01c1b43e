//! Operators' words on members, in this process and in a file that both versions of an upgrade share: a word told to
//! either binds both, and those that come after.

use super::saved::{self, SavedError};
use crate::api::Time;
use crate::clock::Clock;
use crate::maintenance::{Maintenance, MaintenanceOrder, OrderRejected};
use crate::settings;
use crate::stages::Input;
use log::{info, warn};
use miniserde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How often the file is looked at: a word told to the other process binds this one well within any grace.
const LOOK_EVERY: Duration = Duration::from_millis(100);

#[derive(Serialize, Deserialize)]
struct OrderRecord {
    id: String,
    out: bool,
    at_us: u64,
}

/// The words with their file.
pub struct MaintenanceLog {
    maintenance: Rc<RefCell<Maintenance>>,
    file: Option<PathBuf>,
    /// The file as it was last looked at: a new one each time it is written.
    seen: Cell<Option<(u64, SystemTime, u64)>>,
    clock: Clock,
    inbox: mpsc::UnboundedSender<Input>,
}

impl MaintenanceLog {
    /// Words that are also kept in `file`, if there is one; what changes a member's standing goes to `inbox`.
    pub fn new(
        maintenance: Rc<RefCell<Maintenance>>, file: Option<PathBuf>, clock: Clock,
        inbox: mpsc::UnboundedSender<Input>,
    ) -> Rc<MaintenanceLog> {
        let orders = MaintenanceLog { maintenance, file, seen: Cell::new(None), clock, inbox };
        orders.sync();
        Rc::new(orders)
    }

    /// Operators say that a member is out, or back; whether that changes anything.
    pub fn order(&self, id: &str, out: bool) -> Result<bool, OrderRejected> {
        self.sync();
        let changed = self.maintenance.borrow_mut().say(self.clock.now(), id, out)?;
        if changed {
            self.save();
            let _ = self.inbox.send(Input::MaintenanceChanged(id.to_string()));
        }
        Ok(changed)
    }

    /// Looks at the file for as long as the program runs.
    pub async fn follow_file(self: Rc<MaintenanceLog>) {
        while self.file.is_some() {
            sleep(LOOK_EVERY).await;
            self.sync();
        }
    }

    /// Takes in what another process has written since, and writes again what it did not know.
    pub fn sync(&self) {
        let Some(file) = &self.file else { return };
        let stamp = std::fs::metadata(file).ok().and_then(|m| Some((m.ino(), m.modified().ok()?, m.len())));
        if stamp == self.seen.get() {
            return;
        }
        self.seen.set(stamp);
        let text = match saved::read(file) {
            Ok(text) => text,
            // Half of a file is nobody's: what is known here takes its place.
            Err(problem @ SavedError::Torn) => {
                warn!("{}: not taken: {problem}", file.display());
                None
            }
            Err(problem) => return warn!("{}: not taken: {problem}", file.display()),
        };
        let told = text.map(|text| settings::parse::<Vec<OrderRecord>>(&text));
        let told = match told.unwrap_or(Ok(Vec::new())) {
            Ok(told) => told,
            Err(problem) => return warn!("{}: not taken: {problem}", file.display()),
        };
        let mut written = BTreeMap::new();
        for doc in told {
            let order = MaintenanceOrder { at: Time(doc.at_us), out: doc.out };
            written.insert(doc.id.clone(), order);
            if self.maintenance.borrow_mut().hear(&doc.id, order) {
                info!("maintenance: {} is {}", doc.id, if doc.out { "out" } else { "back" });
                let _ = self.inbox.send(Input::MaintenanceChanged(doc.id));
            }
        }
        // Two that write at once overwrite each other's words: whoever misses one of its own writes again.
        let newer =
            |(id, order): (&str, MaintenanceOrder)| written.get(id).is_none_or(|written| *written < order);
        let missing = self.maintenance.borrow().orders().any(newer);
        if missing {
            self.save();
        }
    }

    fn save(&self) {
        let Some(file) = &self.file else { return };
        let doc = |(id, order): (&str, MaintenanceOrder)| OrderRecord {
            id: id.to_string(),
            out: order.out,
            at_us: order.at.0,
        };
        let docs: Vec<OrderRecord> = self.maintenance.borrow().orders().map(doc).collect();
        if let Err(problem) = saved::write(file, &miniserde::json::to_string(&docs)) {
            warn!("{}: not written: {problem}", file.display());
        }
    }
}
