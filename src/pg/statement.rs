//! The comment that opens a client's statement: read for the decisions, and rendered anew for members.

use crate::stages::{Incoming, Payload};
use bytes::Bytes;
use std::fmt;

/// What is wrong with a statement, by the name of the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementError {
    /// No `/* ... */` in front.
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

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Whether a statement holds nothing to run.
pub fn is_empty(statement: &[u8]) -> bool {
    statement.iter().all(|b| b.is_ascii_whitespace() || *b == b';')
}

/// Takes a statement apart.
pub fn parse(statement: &Bytes) -> Result<Incoming, StatementError> {
    let open = find(statement, b"/*").ok_or(StatementError::NoComment)?;
    if !is_empty(&statement[..open]) {
        return Err(StatementError::NoComment);
    }
    let length = find(&statement[open + 2..], b"*/").ok_or(StatementError::NoComment)?;
    let (from, to) = (open + 2, open + 2 + length);
    let comment = std::str::from_utf8(&statement[from..to]).map_err(|_| StatementError::NoComment)?;
    let (mut id, mut class, mut wait, mut group, mut after, mut at) = (None, None, None, None, None, from);
    for pair in comment.split(',') {
        let start = at;
        at += pair.len() + 1;
        let Some((name, value)) = pair.split_once('=') else { continue };
        let trimmed = value.trim();
        match name.trim() {
            "id" => id = Some(trimmed).filter(|v| !v.is_empty()),
            "c" => class = Some(trimmed).filter(|v| !v.is_empty()),
            "d" => {
                let begin = start + name.len() + 1 + (value.len() - value.trim_start().len());
                let number = trimmed.parse::<u64>().map_err(|_| StatementError::Wrong("d"))?;
                wait = Some((number, begin, begin + trimmed.len()));
            }
            "cluster" => {
                group = Some(trimmed.parse::<u32>().map_err(|_| StatementError::Wrong("cluster"))?);
            }
            "after" => {
                after = Some(trimmed.parse::<u64>().map_err(|_| StatementError::Wrong("after"))?);
            }
            _ => {}
        }
    }
    let id = id.ok_or(StatementError::Missing("id"))?.to_string();
    let (wait_ms, begin, end) = wait.ok_or(StatementError::Missing("d"))?;
    Ok(Incoming {
        id,
        class: class.ok_or(StatementError::Missing("c"))?.to_string(),
        wait_ms,
        group: group.unwrap_or(0),
        key: quoted(&statement[to + 2..]),
        after_ms: after.filter(|a| *a > 0),
        payload: Payload::cut(statement, begin, end),
    })
}

/// The first quoted text of the statement itself.
fn quoted(sql: &[u8]) -> Option<String> {
    let open = sql.iter().position(|b| *b == b'\'')?;
    let length = sql[open + 1..].iter().position(|b| *b == b'\'')?;
    std::str::from_utf8(&sql[open + 1..open + 1 + length]).ok().map(str::to_string)
}
