//! Responses to operators' calls, byte for byte. Guards against a changed status, header or text, which operators'
//! scripts parse.

use super::*;
use linenhill_cluster::transport::OperatorCallError;

fn plain(status: &str, allow: &str, line: &str) -> String {
    let length = line.len() + 1;
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\n{allow}\
         Connection: close\r\n\r\n{line}\n"
    )
}

#[test]
fn responses_keep_their_bytes() {
    assert_eq!(Response::text(200, "serving").encode(), plain("200 OK", "", "serving"));
    let wrong_method = Response::from(CallError::Method("POST")).encode();
    assert_eq!(wrong_method, plain("405 Method Not Allowed", "Allow: POST\r\n", "only POST is allowed here"));
    let metrics = Response::metrics("# EOF\n".to_string()).encode();
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    assert_eq!(
        metrics,
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nContent-Length: 6\r\nConnection: close\r\n\r\n# EOF\n"
        )
    );
}

#[test]
fn responses_to_denied_disruptions_keep_their_bytes() {
    for (error, status, line) in [
        (DisruptionError::Denied("p0 is out".into()), "409 Conflict", "p0 is out; ask again in 1 s"),
        (
            DisruptionError::Unconfirmed(vec!["p1".into(), "p2".into()]),
            "503 Service Unavailable",
            "not confirmed yet by p1, p2; ask again in 1 s",
        ),
        (
            DisruptionError::NoLeader(OperatorCallError::NoKeepers),
            "503 Service Unavailable",
            "no keeper answers: there is no keeper; ask again in 1 s",
        ),
    ] {
        assert_eq!(Response::from(error).encode(), plain(status, "", line));
    }
}
