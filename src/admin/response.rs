//! Responses to operators' calls in HTTP/1.1. Operators' scripts parse the status codes and texts.

use super::call::CallError;
use crate::fleet::disruption::DisruptionError;

const PLAIN_TEXT: &str = "text/plain; charset=utf-8";
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A response; the connection closes after it.
#[derive(Debug)]
pub(super) struct Response {
    status: u16,
    content_type: &'static str,
    /// The only allowed method, if the call used another one.
    allowed_method: Option<&'static str>,
    body: String,
}

impl Response {
    /// A plain-text response of one line.
    pub(super) fn text(status: u16, line: impl Into<String>) -> Response {
        Response { status, content_type: PLAIN_TEXT, allowed_method: None, body: line.into() + "\n" }
    }

    /// A response with the encoded metrics.
    pub(super) fn metrics(body: String) -> Response {
        Response { status: 200, content_type: OPEN_METRICS, allowed_method: None, body }
    }

    /// Encodes status line, headers and body.
    pub(super) fn encode(&self) -> String {
        let Response { status, content_type, allowed_method, body } = self;
        let reason = reason_phrase(*status);
        let length = body.len();
        let allow = allowed_method.map(|method| format!("Allow: {method}\r\n")).unwrap_or_default();
        format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n{allow}\
             Connection: close\r\n\r\n{body}"
        )
    }
}

impl From<CallError> for Response {
    fn from(error: CallError) -> Response {
        let allowed_method = match error {
            CallError::Method(allowed) => Some(allowed),
            _ => None,
        };
        Response { allowed_method, ..Response::text(error.status(), error.to_string()) }
    }
}

impl From<DisruptionError> for Response {
    /// The body says when to retry, since a permit that exhausts a limit ends once its subject is back in service.
    fn from(error: DisruptionError) -> Response {
        let status = match error {
            DisruptionError::Denied(_) => 409,
            DisruptionError::Unconfirmed(_) | DisruptionError::NoLeader(_) => 503,
        };
        Response::text(status, format!("{error}; ask again in 1 s"))
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

#[cfg(test)]
mod tests;
