//! Takes a request in: names become numbers, waits become deadlines, positions become ages.

use crate::api::{ClassId, GroupId, Micros, ReadLevel, Request, RequestId, SessionKey};
use crate::clock::Clock;
use crate::request::IncomingRequest;
use crate::settings::Site;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

/// No client waits longer than this, whatever it says.
const LONGEST_WAIT_MS: u64 = 600_000;

/// Why a request can't be taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeError {
    /// The class is none of the settings'.
    UnknownClass,
    /// A request with this id is open.
    IdInUse,
}

impl fmt::Display for IntakeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            IntakeError::UnknownClass => write!(f, "field c names no class of the settings"),
            IntakeError::IdInUse => write!(f, "field id names a request that is open"),
        }
    }
}

impl std::error::Error for IntakeError {}

/// The stage.
pub struct Intake {
    classes: BTreeMap<String, ClassId>,
    levels: Vec<ReadLevel>,
    clock: Clock,
    next: Cell<u64>,
    open: Rc<RefCell<BTreeSet<String>>>,
}

/// A client's id while its request is open; free again when dropped.
#[derive(Debug)]
pub struct OpenId {
    open: Rc<RefCell<BTreeSet<String>>>,
    id: String,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.id);
    }
}

/// The session's number: hexadecimal keys as they are, others by a hash (FNV-1a).
fn session(key: &str) -> SessionKey {
    let hash = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3);
    let hashed = || key.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, hash);
    let hex = Some(key).filter(|k| k.len() == 16).and_then(|k| u64::from_str_radix(k, 16).ok());
    SessionKey(hex.unwrap_or_else(hashed))
}

impl Intake {
    /// Reads classes by the settings.
    pub fn new(site: &Site, clock: Clock) -> Intake {
        let levels = site.settings.classes.iter().map(|c| c.read_level).collect();
        Intake { classes: site.classes.clone(), levels, clock, next: Cell::new(0), open: Rc::default() }
    }

    /// The class's number.
    pub fn class(&self, incoming: &IncomingRequest) -> Result<ClassId, IntakeError> {
        self.named(&incoming.class).ok_or(IntakeError::UnknownClass)
    }

    /// The number of the class with this name.
    pub fn named(&self, class: &str) -> Option<ClassId> {
        self.classes.get(class).copied()
    }

    /// How fresh a class's data must be, or that it writes.
    pub fn level(&self, class: ClassId) -> ReadLevel {
        self.levels.get(class.0).copied().unwrap_or(ReadLevel::Any)
    }

    /// Opens a request's id, from its last byte to its answer: a second request must not run under it.
    pub fn open(&self, incoming: &IncomingRequest) -> Result<OpenId, IntakeError> {
        let id = incoming.id.clone();
        if !self.open.borrow_mut().insert(id.clone()) {
            return Err(IntakeError::IdInUse);
        }
        Ok(OpenId { open: self.open.clone(), id })
    }

    /// The request as the decisions know it, under an id of our own: clients' ids need not be fresh.
    pub fn take(&self, incoming: &IncomingRequest, class: ClassId) -> Request {
        let level = self.level(class);
        let sessions = matches!(level, ReadLevel::Write | ReadLevel::Session);
        let now = self.clock.now().0;
        // An age of 0 would mean that there was no write at all.
        let age = |ms: u64| Micros(now.saturating_sub(ms.saturating_mul(1_000)).max(1));
        let mut id = [b'0'; 36];
        self.next.set(self.next.get() + 1);
        id[16..].copy_from_slice(format!("{:020}", self.next.get()).as_bytes());
        Request {
            id: RequestId(id),
            class,
            time_left: Micros(incoming.timeout_ms.min(LONGEST_WAIT_MS) * 1_000),
            tenant: None,
            last_write_age: incoming.required_position_ms.filter(|_| level == ReadLevel::Session).map(age),
            group: GroupId(incoming.group),
            session: incoming.session_key.as_deref().filter(|_| sessions).map(session),
        }
    }
}
