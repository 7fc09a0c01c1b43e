//! Errors in the simulator's messages. Their texts use the simulator's names of messages and fields, so that the
//! cause can be found in the input.

use linenhill::settings::JsonError;
use std::fmt;

/// Why a message was rejected.
#[derive(Debug)]
pub enum MessageError {
    /// The line is not valid UTF-8.
    NotUtf8,
    /// The name of the message is unknown.
    UnknownMessage(String),
    /// The message has too few fields; `field` is the first that is missing.
    MissingField { message: String, field: &'static str },
    /// A field can't be parsed, or its value is out of range or unknown.
    InvalidValue { message: String, field: &'static str, expected: &'static str, value: String },
    /// The message requires an open batch.
    OutsideBatch(String),
    /// A batch begins before the batch `open` has ended.
    NestedBatch { open: u64 },
    /// Another message arrived before all `length` entries of a list.
    IncompleteList { message: String, received: usize, length: usize },
    /// A list entry arrived while no list was being read.
    MemberOutsideList,
    /// No list with this number was defined.
    UnknownList(u64),
    /// No instance was selected for the message in this batch.
    NoInstance(String),
    /// The selected instance has not been attached, or has crashed since.
    NotAttached { message: String, instance: u64 },
    /// An instance's profile can't be parsed.
    MalformedProfile(JsonError),
    /// An instance's profile is valid JSON but can't be used.
    UnusableProfile(JsonError),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            MessageError::NotUtf8 => write!(f, "not valid UTF-8"),
            MessageError::UnknownMessage(message) => write!(f, "unknown message '{message}'"),
            MessageError::MissingField { message, field } => {
                write!(f, "{message}: field '{field}' is missing")
            }
            MessageError::InvalidValue { message, field, expected, value } => {
                write!(f, "{message}: field '{field}': expected {expected}, got '{value}'")
            }
            MessageError::OutsideBatch(message) => {
                write!(f, "expected TURN to begin a batch, got '{message}'")
            }
            MessageError::NestedBatch { open } => {
                write!(f, "expected GO to end batch {open}, got another TURN")
            }
            MessageError::IncompleteList { message, received, length } => {
                write!(f, "expected MEMBER ({received} of {length} received), got '{message}'")
            }
            MessageError::MemberOutsideList => write!(f, "got MEMBER without a CENSUS that announces it"),
            MessageError::UnknownList(list) => {
                write!(f, "DISCOVERY: list {list} was not defined by a CENSUS")
            }
            MessageError::NoInstance(message) => write!(f, "{message}: no INSTANCE selected in this batch"),
            MessageError::NotAttached { message, instance } => {
                write!(f, "{message}: instance {instance} is not attached")
            }
            MessageError::MalformedProfile(e) => write!(f, "ATTACH: field 'profileData': {e}"),
            MessageError::UnusableProfile(e) => write!(f, "ATTACH: profileData: {e}"),
        }
    }
}

impl std::error::Error for MessageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            MessageError::MalformedProfile(e) | MessageError::UnusableProfile(e) => Some(e),
            _ => None,
        }
    }
}
