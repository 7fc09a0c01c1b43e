//! Identifiers of requests, members, groups, classes, tenants, zones, kinds and sessions.

use std::fmt;

/// Id of a request: 36 bytes, chosen by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

impl fmt::Display for RequestId {
    /// Writes the printable bytes, without padding.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let printable = self.0.iter().filter(|byte| byte.is_ascii_graphic());
        printable.into_iter().try_for_each(|byte| write!(f, "{}", char::from(*byte)))
    }
}

/// A member: a primary or replica process. Its id is kept across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// A group: a primary and its replicas, which hold the same data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GroupId(pub u32);

/// Index of a class in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`](super::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone (data centre room), numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// A kind of machine, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// Key of a client session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);
