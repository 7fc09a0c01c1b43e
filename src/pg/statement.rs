//! The comment that opens a client's statement, taken apart. What becomes of it is the front's work.

use bytes::Bytes;
use std::fmt;
use std::ops::Range;

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

/// A statement and what its comment says of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The client's id for the request.
    pub id: String,
    /// The class's name.
    pub class: String,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u64,
    /// The group.
    pub group: u32,
    /// The first quoted text of the statement, which names the session.
    pub key: Option<String>,
    /// The position that the read must see, in Unix milliseconds.
    pub after_ms: Option<u64>,
    /// All of it.
    pub whole: Bytes,
    /// Where in it the time that the client waits is written.
    pub wait_at: Range<usize>,
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Whether a statement holds nothing to run.
pub fn is_empty(statement: &[u8]) -> bool {
    statement.iter().all(|b| b.is_ascii_whitespace() || *b == b';')
}

/// Takes a statement apart.
pub fn parse(statement: &Bytes) -> Result<Statement, StatementError> {
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
    Ok(Statement {
        id,
        class: class.ok_or(StatementError::Missing("c"))?.to_string(),
        wait_ms,
        group: group.unwrap_or(0),
        key: quoted(&statement[to + 2..]),
        after_ms: after.filter(|a| *a > 0),
        whole: statement.clone(),
        wait_at: begin..end,
    })
}

/// The first quoted text of the statement itself.
fn quoted(sql: &[u8]) -> Option<String> {
    let open = sql.iter().position(|b| *b == b'\'')?;
    let length = sql[open + 1..].iter().position(|b| *b == b'\'')?;
    std::str::from_utf8(&sql[open + 1..open + 1 + length]).ok().map(str::to_string)
}
