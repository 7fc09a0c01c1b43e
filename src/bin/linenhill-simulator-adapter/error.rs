//! Why a message of the simulator can't be used. The text names the message and the field in the simulator's words, so
//! that it can be found in its input.

use linenhill::settings::JsonError;
use std::fmt;

/// What is wrong with a message.
#[derive(Debug)]
pub enum MessageError {
    /// The line is not UTF-8.
    NotUtf8,
    /// No message has this name.
    UnknownMessage(String),
    /// The message has too few fields; this is the first that is missing.
    MissingField { message: String, field: &'static str },
    /// A field holds something else than it should.
    WrongValue { message: String, field: &'static str, value: String },
    /// The message stands outside a batch.
    OutsideBatch(String),
    /// A batch begins inside another one.
    NestedBatch,
    /// The message interrupts a list.
    IncompleteList(String),
    /// A member stands outside a list.
    MemberOutsideList,
    /// A list of this number was never sent.
    UnknownList(u64),
    /// The message is for an instance, and none was named.
    NoInstance(String),
    /// The message is for an instance of this number that was never attached, or has crashed.
    NotAttached { message: String, instance: u64 },
    /// An instance's settings can't be read.
    MalformedProfile(JsonError),
    /// An instance's settings can't be used.
    UnusableProfile(JsonError),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            MessageError::NotUtf8 => write!(f, "not UTF-8"),
            MessageError::UnknownMessage(message) => write!(f, "unknown message '{message}'"),
            MessageError::MissingField { message, field } => {
                write!(f, "{message}: field '{field}' is missing")
            }
            MessageError::WrongValue { message, field, value } => {
                write!(f, "{message}: field '{field}' has a wrong value '{value}'")
            }
            MessageError::OutsideBatch(message) => write!(f, "'{message}' outside a batch"),
            MessageError::NestedBatch => write!(f, "TURN inside a batch"),
            MessageError::IncompleteList(message) => write!(f, "'{message}' where a MEMBER line is due"),
            MessageError::MemberOutsideList => write!(f, "MEMBER outside a CENSUS"),
            MessageError::UnknownList(list) => write!(f, "DISCOVERY: list {list} was never set up"),
            MessageError::NoInstance(message) => write!(f, "{message} before any INSTANCE"),
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
