//! One operator's call, read from HTTP/1.1 and checked: what it asks for, or what is wrong with it.

use bytes::{Buf, BytesMut};
use httparse::Status;
use std::fmt;
use std::io;
use tokio_util::codec::Decoder;

/// The longest head of a call.
const HEAD_MOST: usize = 8 * 1024;
/// The longest body: no call needs one, but some clients send one.
const BODY_MOST: usize = 16 * 1024;
/// Headers of a call.
const HEADERS_MOST: usize = 48;
/// The longest id of a member that a call may name.
const NAME_MOST: usize = 256;

/// What operators may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Status,
    /// The figures.
    Metrics,
    /// Nothing more to this member; against the fleet's limits.
    Enter(String, bool),
    /// This member may serve again.
    Exit(String),
    /// Drain; against the fleet's limits.
    Standby(bool),
    /// End of the drain.
    Active,
}

/// What is wrong with a call.
#[derive(Debug)]
pub enum CallError {
    /// The head can't be read.
    Head(httparse::Error),
    /// The head or body is too long.
    TooLong(&'static str, usize),
    /// The body's length is not told, or in more than one way.
    Length,
    /// Nothing is found there.
    Path(String),
    /// It is asked for by another method.
    Method(&'static str),
    /// The query is not as it should be.
    Query(&'static str),
    /// The connection itself failed.
    Io(io::Error),
}

impl From<io::Error> for CallError {
    fn from(e: io::Error) -> CallError {
        CallError::Io(e)
    }
}

impl CallError {
    /// The status that says so.
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
            CallError::Head(e) => write!(f, "malformed call: {e}"),
            CallError::TooLong(part, most) => write!(f, "the {part} is over {most} bytes"),
            CallError::Length => write!(f, "the body's length must be told, once, by Content-Length"),
            CallError::Path(path) => write!(f, "nothing is found at {path}"),
            CallError::Method(allowed) => write!(f, "only {allowed} is allowed here"),
            CallError::Query(what) => write!(f, "{what}"),
            CallError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for CallError {}

/// The codec: one whole call, its body read away.
#[derive(Debug, Default)]
pub struct CallCodec;

impl Decoder for CallCodec {
    type Item = Call;
    type Error = CallError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Call>, CallError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(src).map_err(CallError::Head)? {
            Status::Partial if src.len() > HEAD_MOST => return Err(CallError::TooLong("head", HEAD_MOST)),
            Status::Partial => return Ok(None),
            Status::Complete(length) => length,
        };
        let body = body_length(head.headers)?;
        if src.len() < length + body {
            return Ok(None);
        }
        let call = call(head.method.unwrap_or_default(), head.path.unwrap_or_default());
        src.advance(length + body);
        call.map(Some)
    }

    /// A caller that ends amid a call has just left.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Call>, CallError> {
        let item = self.decode(src)?;
        if item.is_none() {
            src.clear();
        }
        Ok(item)
    }
}

fn body_length(headers: &[httparse::Header]) -> Result<usize, CallError> {
    let mut length = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(CallError::Length);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = std::str::from_utf8(header.value).ok().map(str::trim);
            let told = digits.filter(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()));
            let told = told.ok_or(CallError::Length)?.parse::<usize>().unwrap_or(usize::MAX);
            if length.replace(told).is_some_and(|before| before != told) {
                return Err(CallError::Length);
            }
        }
    }
    match length.unwrap_or(0) {
        length if length > BODY_MOST => Err(CallError::TooLong("body", BODY_MOST)),
        length => Ok(length),
    }
}

/// What a request line asks for.
pub fn call(method: &str, target: &str) -> Result<Call, CallError> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let by = |allowed: &'static str, call: Call| {
        if method == allowed { Ok(call) } else { Err(CallError::Method(allowed)) }
    };
    match path {
        "/status" => by("GET", Call::Status),
        "/status/metrics" => by("GET", Call::Metrics),
        "/standby" => by("POST", Call::Standby(false)).and_then(|_| Ok(Call::Standby(forced(query)?))),
        "/active" => by("POST", Call::Active),
        "/maintenance/enter" => {
            by("POST", Call::Enter(String::new(), false))?;
            let (query, force) = without_force(query)?;
            Ok(Call::Enter(name(&query)?, force))
        }
        "/maintenance/exit" => {
            by("POST", Call::Exit(String::new())).and_then(|_| Ok(Call::Exit(name(query)?)))
        }
        _ => Err(CallError::Path(path.chars().take(NAME_MOST).filter(|c| !c.is_control()).collect())),
    }
}

/// A query without `force=1`, and whether it holds it.
fn without_force(query: &str) -> Result<(String, bool), CallError> {
    let (force, rest): (Vec<&str>, Vec<&str>) = query.split('&').partition(|pair| pair.starts_with("force="));
    match force[..] {
        [] => Ok((rest.join("&"), false)),
        ["force=1"] => Ok((rest.join("&"), true)),
        _ => Err(CallError::Query("force=1 is all that may be said of force, once")),
    }
}

/// Whether a query says `force=1`. What else it says is nobody's here, as ever.
fn forced(query: &str) -> Result<bool, CallError> {
    without_force(query).map(|(_, force)| force)
}

/// The one member that a query names.
fn name(query: &str) -> Result<String, CallError> {
    let mut found = None;
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if decoded(key)? != "name" {
            return Err(CallError::Query("the query holds more than name=ID"));
        }
        if found.replace(decoded(value)?).is_some() {
            return Err(CallError::Query("the query names more than one member"));
        }
    }
    let name = found.filter(|name| !name.is_empty()).ok_or(CallError::Query("the query lacks name=ID"))?;
    if name.len() > NAME_MOST || name.chars().any(char::is_control) {
        return Err(CallError::Query("the name is no member's id"));
    }
    Ok(name)
}

/// Percent-encoding, and `+` for a blank, undone.
fn decoded(text: &str) -> Result<String, CallError> {
    let wrong = CallError::Query("the query's percent-encoding is broken");
    let (mut out, mut rest) = (Vec::with_capacity(text.len()), text.as_bytes());
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        match byte {
            b'%' => {
                let Some((digits, after)) = rest.split_at_checked(2) else { return Err(wrong) };
                let digits =
                    std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
                let Some(code) = digits.and_then(|d| u8::from_str_radix(d, 16).ok()) else {
                    return Err(wrong);
                };
                out.push(code);
                rest = after;
            }
            b'+' => out.push(b' '),
            byte => out.push(byte),
        }
    }
    String::from_utf8(out).map_err(|_| wrong)
}
