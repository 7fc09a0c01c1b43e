//! Turns a request as a protocol hands it in into one that the decisions know: names become numbers, waits become deadlines,
//! positions become ages. It keeps the clients' ids that are open, so that no two requests run under the same one.

use crate::api::{ClassId, GroupId, Micros, ReadLevel, Request, RequestId, SessionKey};
use crate::clock::Clock;
use crate::request::IncomingRequest;
use crate::settings::Site;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

/// A client waits no longer than this, in milliseconds: a longer wait of a request is cut.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Digits of a session key that is a number of 64 bits already.
const HEX_KEY_DIGITS: usize = 16;

/// The prime of FNV-1a for 64 bits.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The first state of FNV-1a for 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeError {
    /// The settings name no such class.
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

/// Reads requests by the settings.
pub struct RequestIntake {
    classes: BTreeMap<String, ClassId>,
    /// By the classes' numbers.
    read_levels: Vec<ReadLevel>,
    clock: Clock,
    last_request_number: Cell<u64>,
    open_ids: Rc<RefCell<BTreeSet<String>>>,
}

/// A client's id while its request is open. Dropping it frees the id.
#[derive(Debug)]
pub struct OpenId {
    open_ids: Rc<RefCell<BTreeSet<String>>>,
    id: String,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}

/// The session's number: a key of [`HEX_KEY_DIGITS`] hexadecimal digits as it is, any other by its hash.
fn session_key(key: &str) -> SessionKey {
    let is_number = key.len() == HEX_KEY_DIGITS;
    let number = if is_number { u64::from_str_radix(key, 16).ok() } else { None };
    SessionKey(number.unwrap_or_else(|| fnv_1a(key.as_bytes())))
}

/// The hash FNV-1a.
fn fnv_1a(bytes: &[u8]) -> u64 {
    let add_byte = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(FNV_OFFSET_BASIS, add_byte)
}

impl RequestIntake {
    /// Reads classes by the settings.
    pub fn new(site: &Site, clock: Clock) -> RequestIntake {
        RequestIntake {
            classes: site.classes.clone(),
            read_levels: site.settings.classes.iter().map(|class| class.read_level).collect(),
            clock,
            last_request_number: Cell::new(0),
            open_ids: Rc::default(),
        }
    }

    /// The number of a request's class.
    ///
    /// # Errors
    /// The settings name no such class.
    pub fn class_of(&self, incoming: &IncomingRequest) -> Result<ClassId, IntakeError> {
        self.class_named(&incoming.class).ok_or(IntakeError::UnknownClass)
    }

    /// The number of the class with this name.
    pub fn class_named(&self, class: &str) -> Option<ClassId> {
        self.classes.get(class).copied()
    }

    /// How fresh a class's data must be, or that it writes.
    pub fn read_level(&self, class: ClassId) -> ReadLevel {
        self.read_levels.get(class.0).copied().unwrap_or(ReadLevel::Any)
    }

    /// Claims a request's id, from its last byte to its answer: a second request must not run under it.
    ///
    /// # Errors
    /// A request with this id is open.
    pub fn claim_id(&self, incoming: &IncomingRequest) -> Result<OpenId, IntakeError> {
        let id = incoming.id.clone();
        if !self.open_ids.borrow_mut().insert(id.clone()) {
            return Err(IntakeError::IdInUse);
        }
        Ok(OpenId { open_ids: self.open_ids.clone(), id })
    }

    /// A fresh id of our own, since clients may use one again: the number of the request, with zeros before it.
    fn next_id(&self) -> RequestId {
        let number = self.last_request_number.get() + 1;
        self.last_request_number.set(number);
        let mut id = [b'0'; 36];
        id[16..].copy_from_slice(format!("{number:020}").as_bytes());
        RequestId(id)
    }

    /// The request as the decisions know it.
    pub fn build_request(&self, incoming: &IncomingRequest, class: ClassId) -> Request {
        let level = self.read_level(class);
        let has_session = matches!(level, ReadLevel::Write | ReadLevel::Session);
        let now = self.clock.now().0;
        // An age of 0 would mean that there was no write at all.
        let age = |ms: u64| Micros(now.saturating_sub(ms.saturating_mul(1_000)).max(1));
        Request {
            id: self.next_id(),
            class,
            time_left: Micros(incoming.timeout_ms.min(MAX_TIMEOUT_MS) * 1_000),
            tenant: None,
            last_write_age: incoming.required_position_ms.filter(|_| level == ReadLevel::Session).map(age),
            group: GroupId(incoming.group),
            session: incoming.session_key.as_deref().filter(|_| has_session).map(session_key),
        }
    }
}
