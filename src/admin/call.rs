//! Decoding and validation of operators' calls in HTTP/1.1. Input beyond a limit must be an error, so that memory stays
//! bounded. Calls are carried out by [`super::operator_api`].

use bytes::{Buf, BytesMut};
use httparse::Status;
use std::error::Error;
use std::fmt;
use std::io;
use tokio_util::codec::Decoder;

/// Limit on the length of an incomplete head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest body, in bytes: no call needs a body, but some clients send one.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// The most header fields of a call.
const MAX_HEADERS: usize = 48;
/// The longest member id in a call, in bytes. Also the most characters of an unknown path in its error.
const MAX_MEMBER_ID_BYTES: usize = 256;
/// Prefix of the query field `force=1`, which requests a permit without a check of the fleet's limits.
const FORCE_PREFIX: &str = "force=";

/// A valid call of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Get whether this process serves clients.
    Status,
    /// Get the metrics.
    Metrics,
    /// Take a member out of service.
    EnterMaintenance {
        /// The member's id.
        member: String,
        /// Whether the fleet's limits on disruptions are overridden.
        is_forced: bool,
    },
    /// Put a member back in service.
    ExitMaintenance {
        /// The member's id.
        member: String,
    },
    /// Drain this process and leave it on standby.
    Standby {
        /// Whether the fleet's limits on disruptions are overridden.
        is_forced: bool,
    },
    /// Put this process back in service.
    Active,
}

/// Why a call is invalid.
#[derive(Debug)]
pub enum CallError {
    /// The head is malformed.
    Head(httparse::Error),
    /// The named part, head or body, exceeds this number of bytes.
    TooLong(&'static str, usize),
    /// `Transfer-Encoding` is present, or `Content-Length` is malformed or given with different values.
    Length,
    /// The API does not have this path, given without control characters and cut to `MAX_MEMBER_ID_BYTES` characters.
    Path(String),
    /// The path allows only this method.
    Method(&'static str),
    /// The query is invalid, for this reason.
    Query(&'static str),
    /// The connection failed.
    Io(io::Error),
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> CallError {
        CallError::Io(error)
    }
}

impl CallError {
    /// The HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            CallError::Head(_) | CallError::Query(_) | CallError::Io(_) => 400,
            CallError::Path(_) => 404,
            CallError::Method(_) => 405,
            CallError::Length => 411,
            CallError::TooLong(..) => 413,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallError::Head(error) => write!(f, "malformed call: {error}"),
            CallError::TooLong(part, limit) => write!(f, "the {part} is over {limit} bytes"),
            CallError::Length => write!(f, "the body's length must be told, once, by Content-Length"),
            CallError::Path(path) => write!(f, "nothing is found at {path}"),
            CallError::Method(allowed) => write!(f, "only {allowed} is allowed here"),
            CallError::Query(problem) => write!(f, "{problem}"),
            CallError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl Error for CallError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            CallError::Head(error) => Some(error),
            CallError::Io(error) => Some(error),
            _ => None,
        }
    }
}

/// Decodes complete calls; their bodies are discarded.
#[derive(Debug, Default)]
pub struct CallCodec;

impl Decoder for CallCodec {
    type Item = Call;
    type Error = CallError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Call>, CallError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let head_length = match head.parse(src).map_err(CallError::Head)? {
            Status::Partial if src.len() > MAX_HEAD_BYTES => {
                return Err(CallError::TooLong("head", MAX_HEAD_BYTES));
            }
            Status::Partial => return Ok(None),
            Status::Complete(length) => length,
        };
        let length = head_length + body_length(head.headers)?;
        if src.len() < length {
            return Ok(None);
        }
        let call = parse_call(head.method.unwrap_or_default(), head.path.unwrap_or_default());
        src.advance(length);
        call.map(Some)
    }

    /// Discards an incomplete call at the end of the input, which is not an error: the caller has left.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Call>, CallError> {
        let item = self.decode(src)?;
        if item.is_none() {
            src.clear();
        }
        Ok(item)
    }
}

/// The length of the body in bytes; 0 if the headers do not give one.
fn body_length(headers: &[httparse::Header]) -> Result<usize, CallError> {
    let mut stated = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(CallError::Length);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = content_length(header.value)?;
            if stated.replace(length).is_some_and(|before| before != length) {
                return Err(CallError::Length);
            }
        }
    }
    match stated.unwrap_or(0) {
        length if length > MAX_BODY_BYTES => Err(CallError::TooLong("body", MAX_BODY_BYTES)),
        length => Ok(length),
    }
}

/// Parses a `Content-Length` value of digits; it saturates at the largest number.
fn content_length(value: &[u8]) -> Result<usize, CallError> {
    let digits = std::str::from_utf8(value).map_err(|_| CallError::Length)?.trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(CallError::Length);
    }
    Ok(digits.parse().unwrap_or(usize::MAX))
}

/// Parses the method and target of a request line. The query of a path without parameters is ignored.
///
/// # Errors
/// In the order of the checks: the path does not exist, does not allow the method, or the query is invalid.
pub fn parse_call(method: &str, target: &str) -> Result<Call, CallError> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let require = |allowed| if method == allowed { Ok(()) } else { Err(CallError::Method(allowed)) };
    match path {
        "/status" => {
            require("GET")?;
            Ok(Call::Status)
        }
        "/status/metrics" => {
            require("GET")?;
            Ok(Call::Metrics)
        }
        "/standby" => {
            require("POST")?;
            // Query fields other than `force` are ignored, as in earlier versions.
            let (_, is_forced) = split_force(query)?;
            Ok(Call::Standby { is_forced })
        }
        "/active" => {
            require("POST")?;
            Ok(Call::Active)
        }
        "/maintenance/enter" => {
            require("POST")?;
            let (query, is_forced) = split_force(query)?;
            Ok(Call::EnterMaintenance { member: member(&query)?, is_forced })
        }
        "/maintenance/exit" => {
            require("POST")?;
            Ok(Call::ExitMaintenance { member: member(query)? })
        }
        _ => {
            let printable = |character: &char| !character.is_control();
            Err(CallError::Path(path.chars().take(MAX_MEMBER_ID_BYTES).filter(printable).collect()))
        }
    }
}

/// Returns the query without its `force` field, and whether the field was present. The field may be given once, as
/// `force=1`.
fn split_force(query: &str) -> Result<(String, bool), CallError> {
    let (force, rest): (Vec<&str>, Vec<&str>) =
        query.split('&').partition(|field| field.starts_with(FORCE_PREFIX));
    match force[..] {
        [] => Ok((rest.join("&"), false)),
        ["force=1"] => Ok((rest.join("&"), true)),
        _ => Err(CallError::Query("force=1 is all that may be said of force, once")),
    }
}

/// The member id in a query of the form `name=ID`, with exactly one field.
fn member(query: &str) -> Result<String, CallError> {
    let mut found = None;
    for field in query.split('&').filter(|field| !field.is_empty()) {
        let (key, value) = field.split_once('=').unwrap_or((field, ""));
        if percent_decoded(key)? != "name" {
            return Err(CallError::Query("the query holds more than name=ID"));
        }
        if found.replace(percent_decoded(value)?).is_some() {
            return Err(CallError::Query("the query names more than one member"));
        }
    }
    let member =
        found.filter(|member| !member.is_empty()).ok_or(CallError::Query("the query lacks name=ID"))?;
    if member.len() > MAX_MEMBER_ID_BYTES || member.chars().any(char::is_control) {
        return Err(CallError::Query("the name is no member's id"));
    }
    Ok(member)
}

/// Decodes percent-encoding, with `+` for a space.
fn percent_decoded(text: &str) -> Result<String, CallError> {
    let malformed = || CallError::Query("the query's percent-encoding is broken");
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        match byte {
            b'%' => {
                let (digits, after) = rest.split_at_checked(2).ok_or_else(malformed)?;
                decoded.push(hex_byte(digits).ok_or_else(malformed)?);
                rest = after;
            }
            b'+' => decoded.push(b' '),
            byte => decoded.push(byte),
        }
    }
    String::from_utf8(decoded).map_err(|_| malformed())
}

/// Parses two hexadecimal digits; `None` if one of them is not a digit.
fn hex_byte(digits: &[u8]) -> Option<u8> {
    // `from_str_radix` would also accept a sign.
    let are_digits = digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| are_digits)?;
    u8::from_str_radix(text, 16).ok()
}
