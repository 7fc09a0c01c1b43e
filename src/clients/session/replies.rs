//! Final answers and errors in the terms of PostgreSQL's protocol.

use crate::close_reason::CloseReason;
use crate::pg::PgError;
use crate::pg::frontend::Reply;
use crate::stages::FinalResponse;

/// An error after which the connection goes on. `code` is its SQLSTATE.
pub(super) fn error(code: &'static str, message: impl ToString) -> Reply {
    Reply::Error { fatal: false, code, message: message.to_string(), detail: None }
}

/// An error with which the connection ends. `code` is its SQLSTATE.
pub(super) fn fatal(code: &'static str, message: impl ToString) -> Reply {
    Reply::Error { fatal: true, code, message: message.to_string(), detail: None }
}

/// A final answer. Only a rejection uses SQLSTATE 53300; its detail is the time after which to retry, in milliseconds.
pub(super) fn final_answer(answer: FinalResponse, fatal: bool) -> Reply {
    match answer {
        FinalResponse::Served(raw) => Reply::Raw(raw),
        // The session streams the rest.
        FinalResponse::Streaming(response) => Reply::Raw(response.first),
        FinalResponse::Rejected { retry_after } => Reply::Error {
            fatal,
            code: "53300",
            message: "refused, try again".into(),
            detail: retry_after.map(|span| span.0.div_ceil(1_000).to_string()),
        },
        FinalResponse::Failed => error("08007", "failed, the outcome is not known"),
    }
}

/// Why a connection ends that failed with `problem`.
pub(super) fn close_reason(problem: &PgError) -> CloseReason {
    match problem {
        PgError::Io(_) => CloseReason::Io,
        _ => CloseReason::Protocol,
    }
}
