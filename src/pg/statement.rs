//! Decodes a client's statement as a request, by the fields of its leading comment. Missing required fields are never
//! inferred, and the timeout is the only part of a statement that is changed for members.

use crate::request::{IncomingRequest, Payload};
use bytes::Bytes;
use bytestring::ByteString;
use std::fmt;
use std::ops::Range;
use std::str::FromStr;

/// Why a statement is not a valid request. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementError {
    /// The statement does not begin with a complete comment in UTF-8.
    NoComment,
    /// The required field of this name is missing.
    Missing(&'static str),
    /// The value of the field of this name can't be parsed.
    Wrong(&'static str),
}

impl fmt::Display for StatementError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StatementError::NoComment => write!(f, "no comment with id, c and d opens the statement"),
            StatementError::Missing(field) => write!(f, "field {field} is missing"),
            StatementError::Wrong(field) => write!(f, "field {field} has a wrong value"),
        }
    }
}

impl std::error::Error for StatementError {}

const COMMENT_START: &[u8] = b"/*";
const COMMENT_END: &[u8] = b"*/";

/// Whether a statement has only white space and semicolons.
pub fn is_empty(statement: &[u8]) -> bool {
    statement.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';')
}

/// Decodes a statement as a request. The fields of its comment are `id`, `c` (class), `d` (timeout in milliseconds),
/// `cluster` (group; 0 if absent) and `after` (position that a read must see, in Unix milliseconds; none if 0 or
/// absent). Other fields are left to the members.
///
/// # Errors
/// The comment or one of the fields `id`, `c` and `d` is missing, or a number can't be parsed.
pub fn parse(statement: &Bytes) -> Result<IncomingRequest, StatementError> {
    let comment = find_comment(statement)?;
    let sql = statement.slice(comment.end + COMMENT_END.len()..);
    let text =
        ByteString::try_from(statement.slice(comment.clone())).map_err(|_| StatementError::NoComment)?;
    let fields = CommentFields::parse(&text, comment.start)?;
    let id = fields.id.ok_or(StatementError::Missing("id"))?;
    let timeout = fields.timeout.ok_or(StatementError::Missing("d"))?;
    let class = fields.class.ok_or(StatementError::Missing("c"))?;
    Ok(IncomingRequest {
        id: text.slice_ref(id),
        class: text.slice_ref(class),
        timeout_ms: timeout.ms,
        group: fields.group.unwrap_or(0),
        session_key: first_quoted(&sql),
        required_position_ms: fields.position_ms.filter(|ms| *ms > 0),
        payload: Payload::split_at_timeout(statement, timeout.range),
    })
}

/// The range of the leading comment's text in the statement.
fn find_comment(statement: &[u8]) -> Result<Range<usize>, StatementError> {
    let opening = find_subslice(statement, COMMENT_START).ok_or(StatementError::NoComment)?;
    if !is_empty(&statement[..opening]) {
        return Err(StatementError::NoComment);
    }
    let start = opening + COMMENT_START.len();
    let length = find_subslice(&statement[start..], COMMENT_END).ok_or(StatementError::NoComment)?;
    Ok(start..start + length)
}

fn find_subslice(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// The field `d`.
struct Timeout {
    ms: u64,
    /// The range of the number in the statement.
    range: Range<usize>,
}

/// The fields of a comment. If a field is repeated, the last value applies.
#[derive(Default)]
struct CommentFields<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    timeout: Option<Timeout>,
    group: Option<u32>,
    position_ms: Option<u64>,
}

impl<'a> CommentFields<'a> {
    /// Parses the text of a comment that starts at `offset` in its statement.
    fn parse(comment: &'a str, offset: usize) -> Result<CommentFields<'a>, StatementError> {
        let mut fields = CommentFields::default();
        let mut pair_start = offset;
        for pair in comment.split(',') {
            if let Some((name, value)) = pair.split_once('=') {
                let value_start = pair_start + name.len() + 1;
                fields.set(name.trim(), value, value_start)?;
            }
            pair_start += pair.len() + 1;
        }
        Ok(fields)
    }

    /// Sets a field; `value_start` is the offset of its untrimmed value in the statement.
    fn set(&mut self, name: &str, value: &'a str, value_start: usize) -> Result<(), StatementError> {
        let trimmed = value.trim();
        match name {
            "id" => self.id = Some(trimmed).filter(|id| !id.is_empty()),
            "c" => self.class = Some(trimmed).filter(|class| !class.is_empty()),
            "d" => {
                let start = value_start + (value.len() - value.trim_start().len());
                let range = start..start + trimmed.len();
                self.timeout = Some(Timeout { ms: parse_number("d", trimmed)?, range });
            }
            "cluster" => self.group = Some(parse_number("cluster", trimmed)?),
            "after" => self.position_ms = Some(parse_number("after", trimmed)?),
            _ => {}
        }
        Ok(())
    }
}

fn parse_number<T: FromStr>(field: &'static str, text: &str) -> Result<T, StatementError> {
    text.parse().map_err(|_| StatementError::Wrong(field))
}

/// The first text in single quotes in the SQL after the comment, used as the session key; `None` if there is none or it
/// is not UTF-8. Escaped quotes are not recognised.
fn first_quoted(sql: &Bytes) -> Option<ByteString> {
    let start = sql.iter().position(|byte| *byte == b'\'')? + 1;
    let length = sql[start..].iter().position(|byte| *byte == b'\'')?;
    ByteString::try_from(sql.slice(start..start + length)).ok()
}
