//! Decodes a client's statement: the comment that opens it makes it a request. What is not written there is not guessed,
//! and nothing of the statement but its timeout is ever changed.

use crate::request::{IncomingRequest, Payload};
use bytes::Bytes;
use std::fmt;
use std::ops::Range;
use std::str::FromStr;

/// What is wrong with a statement, by the name of the comment's field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementError {
    /// The statement does not begin with a comment.
    NoComment,
    /// A field that must be there is not.
    Missing(&'static str),
    /// A field holds something else than it should.
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

/// Whether a statement has nothing to run.
pub fn is_empty(statement: &[u8]) -> bool {
    statement.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';')
}

/// Decodes a statement as a request. Its comment has the fields `id`, `c` (class), `d` (timeout in milliseconds),
/// `cluster` (group; 0 when absent) and `after` (position that a read must see); others are the members' own.
pub fn parse(statement: &Bytes) -> Result<IncomingRequest, StatementError> {
    let comment = find_comment(statement)?;
    let sql = &statement[comment.end + COMMENT_END.len()..];
    let fields = CommentFields::parse(&statement[comment.clone()], comment.start)?;
    let id = fields.id.ok_or(StatementError::Missing("id"))?;
    let timeout = fields.timeout.ok_or(StatementError::Missing("d"))?;
    let class = fields.class.ok_or(StatementError::Missing("c"))?;
    Ok(IncomingRequest {
        id: id.to_string(),
        class: class.to_string(),
        timeout_ms: timeout.ms,
        group: fields.group.unwrap_or(0),
        session_key: first_quoted(sql),
        required_position_ms: fields.position_ms.filter(|ms| *ms > 0),
        payload: Payload::split_at_timeout(statement, timeout.range),
    })
}

/// Where the text of the opening comment is.
fn find_comment(statement: &[u8]) -> Result<Range<usize>, StatementError> {
    let opening = find(statement, COMMENT_START).ok_or(StatementError::NoComment)?;
    if !is_empty(&statement[..opening]) {
        return Err(StatementError::NoComment);
    }
    let start = opening + COMMENT_START.len();
    let length = find(&statement[start..], COMMENT_END).ok_or(StatementError::NoComment)?;
    Ok(start..start + length)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// The field `d`.
struct Timeout {
    ms: u64,
    /// Where in the statement the number is.
    range: Range<usize>,
}

/// The fields of a comment. Of a field that is there several times the last one counts.
#[derive(Default)]
struct CommentFields<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    timeout: Option<Timeout>,
    group: Option<u32>,
    position_ms: Option<u64>,
}

impl<'a> CommentFields<'a> {
    /// Parses the text of a comment, which begins at `offset` of its statement.
    fn parse(comment: &'a [u8], offset: usize) -> Result<CommentFields<'a>, StatementError> {
        let comment = std::str::from_utf8(comment).map_err(|_| StatementError::NoComment)?;
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

    /// Sets a field; `value_start` is where in the statement its untrimmed value begins.
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

/// The first quoted text of the SQL behind the comment: it names the session.
fn first_quoted(sql: &[u8]) -> Option<String> {
    let start = sql.iter().position(|byte| *byte == b'\'')? + 1;
    let length = sql[start..].iter().position(|byte| *byte == b'\'')?;
    std::str::from_utf8(&sql[start..start + length]).ok().map(str::to_string)
}
