//! What members, groups, requests and the rest are named by.

use std::fmt;

/// A request's id, 36 bytes that the caller chooses and never uses again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

impl fmt::Display for RequestId {
    /// The printable bytes, without what fills the id up.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let printable = self.0.iter().filter(|byte| byte.is_ascii_graphic());
        printable.into_iter().try_for_each(|byte| write!(f, "{}", char::from(*byte)))
    }
}

/// A member: a primary or replica process. Keeps its id across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// A group: one primary and its replicas, all holding the same data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GroupId(pub u32);

/// The place of a class in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassId(pub usize);

/// The place of a tenant in [`Settings::tenants`](super::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone (machine room), numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// A kind of machine, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// A client session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);
