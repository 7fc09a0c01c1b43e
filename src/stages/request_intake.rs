//! Converts a parsed request into the form that the router takes: class names become ids, and required positions become
//! ages. Tracks the open ids of clients, so that no two requests are open under the same id.

use crate::api::{ClassId, GroupId, Micros, ReadLevel, Request, RequestId, SessionKey};
use crate::clock::Clock;
use crate::request::IncomingRequest;
use crate::settings::Site;
use bytestring::ByteString;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

/// Upper limit of the timeout of a request; a longer timeout is reduced to it.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Number of digits of a session key that is a 64-bit hexadecimal number.
const HEX_KEY_DIGITS: usize = 16;

/// The prime of FNV-1a for 64 bits.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The offset basis of FNV-1a for 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Why a request was not accepted. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeError {
    /// The class is not in the settings.
    UnknownClass,
    /// Another request is open under the same id.
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

/// Converts requests according to the settings.
pub struct RequestIntake {
    classes: BTreeMap<String, ClassId>,
    /// Indexed by [`ClassId`].
    read_levels: Vec<ReadLevel>,
    clock: Clock,
    last_request_number: Cell<u64>,
    open_ids: Rc<RefCell<BTreeSet<ByteString>>>,
}

/// The id of an open request. Dropping it releases the id.
#[derive(Debug)]
pub struct OpenId {
    open_ids: Rc<RefCell<BTreeSet<ByteString>>>,
    id: ByteString,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}

/// Converts a session key into a number: a key of [`HEX_KEY_DIGITS`] hexadecimal digits by its value, any other by its
/// hash.
fn session_key(key: &str) -> SessionKey {
    let is_number = key.len() == HEX_KEY_DIGITS;
    let number = if is_number { u64::from_str_radix(key, 16).ok() } else { None };
    SessionKey(number.unwrap_or_else(|| fnv_1a(key.as_bytes())))
}

/// The 64-bit FNV-1a hash.
fn fnv_1a(bytes: &[u8]) -> u64 {
    let add_byte = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(FNV_OFFSET_BASIS, add_byte)
}

impl RequestIntake {
    /// Creates an intake for the classes of `site`.
    pub fn new(site: &Site, clock: Clock) -> RequestIntake {
        RequestIntake {
            classes: site.classes.clone(),
            read_levels: site.settings.classes.iter().map(|class| class.read_level).collect(),
            clock,
            last_request_number: Cell::new(0),
            open_ids: Rc::default(),
        }
    }

    /// The id of the request's class.
    ///
    /// # Errors
    /// The class is not in the settings.
    pub fn class_of(&self, incoming: &IncomingRequest) -> Result<ClassId, IntakeError> {
        self.class_named(&incoming.class).ok_or(IntakeError::UnknownClass)
    }

    /// The id of the class with this name; `None` if it is not in the settings.
    pub fn class_named(&self, class: &str) -> Option<ClassId> {
        self.classes.get(class).copied()
    }

    /// The required freshness of reads of a class, or [`ReadLevel::Write`]; [`ReadLevel::Any`] for an unknown class.
    pub fn read_level(&self, class: ClassId) -> ReadLevel {
        self.read_levels.get(class.0).copied().unwrap_or(ReadLevel::Any)
    }

    /// Reserves the id of a request until the returned [`OpenId`] is dropped, so that no second request runs under it.
    ///
    /// # Errors
    /// Another request is open under the same id.
    pub fn claim_id(&self, incoming: &IncomingRequest) -> Result<OpenId, IntakeError> {
        let id = incoming.id.clone();
        if !self.open_ids.borrow_mut().insert(id.clone()) {
            return Err(IntakeError::IdInUse);
        }
        Ok(OpenId { open_ids: self.open_ids.clone(), id })
    }

    /// Generates an internal id, unique in this process, since clients may reuse theirs: the sequence number of the
    /// request, padded with zeros.
    fn next_id(&self) -> RequestId {
        let number = self.last_request_number.get() + 1;
        self.last_request_number.set(number);
        let mut id = [b'0'; 36];
        id[16..].copy_from_slice(format!("{number:020}").as_bytes());
        RequestId(id)
    }

    /// Builds the request for the router, under a new internal id. The session key and the required position are
    /// included only if the class's read level uses them.
    pub fn build_request(&self, incoming: &IncomingRequest, class: ClassId) -> Request {
        let level = self.read_level(class);
        let has_session = matches!(level, ReadLevel::Write | ReadLevel::Session);
        let now = self.clock.now().0;
        // At least 1, since an age of 0 means that there was no write.
        let age = |ms: u64| Micros(now.saturating_sub(ms.saturating_mul(1_000)).max(1));
        Request {
            id: self.next_id(),
            class,
            time_left: Micros(incoming.timeout_ms.min(MAX_TIMEOUT_MS) * 1_000),
            tenant: None,
            last_write_age: incoming.required_position_ms.filter(|_| level == ReadLevel::Session).map(age),
            group: GroupId(incoming.group),
            session: incoming.session_key.as_deref().filter(|_| has_session).map(session_key),
            is_statement_long: incoming.payload.is_long(),
        }
    }
}
