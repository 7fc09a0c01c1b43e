//! Converts final answers and errors to replies of PostgreSQL's protocol.

use crate::close_reason::CloseReason;
use crate::pg::PgError;
use crate::pg::frontend::Reply;
use crate::stages::FinalResponse;

/// An error after which the connection stays open. `code` is its SQLSTATE.
pub(super) fn error(code: &'static str, message: impl ToString) -> Reply {
    Reply::Error { fatal: false, code, message: message.to_string(), detail: None }
}

/// An error after which the connection is closed. `code` is its SQLSTATE.
pub(super) fn fatal(code: &'static str, message: impl ToString) -> Reply {
    Reply::Error { fatal: true, code, message: message.to_string(), detail: None }
}

/// Converts a final answer. Only a rejection uses SQLSTATE 53300; its detail is the time after which to retry, in ms
/// rounded up. `fatal` applies only to a rejection.
pub(super) fn final_answer(answer: FinalResponse, fatal: bool) -> Reply {
    match answer {
        FinalResponse::Served(raw) => Reply::Raw(raw),
        // The session writes the rest as it arrives.
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

/// The reason with which a connection closes after `error`.
pub(super) fn close_reason(error: &PgError) -> CloseReason {
    match error {
        PgError::Io(_) => CloseReason::Io,
        _ => CloseReason::Protocol,
    }
}
