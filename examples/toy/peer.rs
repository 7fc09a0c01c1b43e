//! A simulated member and discovery service with scripted behaviour, for the toy group and the proxy's tests.

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use linenhill::pg::frontend::{FrontendCodec, FrontendMessage, Reply};
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// What a member does with a statement.
pub enum MemberAction {
    /// Answers with a row of this value.
    Row(String),
    /// Answers with an error of this SQLSTATE.
    Error(&'static str),
    /// Closes the connection without an answer.
    Disconnect,
    /// Closes the connection in the middle of a row of this value.
    TruncatedRow(String),
    /// Sends no answer. Calls this once the proxy has closed the connection.
    NoReply(Box<dyn FnOnce()>),
}

fn message(message_type: u8, body: &[u8]) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u8(message_type);
    out.put_u32(4 + body.len() as u32);
    out.put_slice(body);
    out.freeze()
}

fn parameter(name: &str, value: &str) -> Reply {
    Reply::Raw(message(b'S', format!("{name}\0{value}\0").as_bytes()))
}

fn row(value: &str) -> [Reply; 3] {
    let column = [b"\0\x01val\0".as_slice(), &[0; 6], &17u32.to_be_bytes(), &[0xff; 6], &[0, 1]].concat();
    let length = (value.len() as u32).to_be_bytes();
    let data = [b"\0\x01".as_slice(), &length, value.as_bytes()].concat();
    [(b'T', column), (b'D', data), (b'C', b"SELECT 1\0".to_vec())]
        .map(|(message_type, body)| Reply::Raw(message(message_type, &body)))
}

/// Runs one member on `listener`: `respond` determines the answer to each statement.
pub async fn member<F, R>(listener: TcpListener, primary: bool, respond: F)
where
    F: Fn(String) -> R + Clone + 'static,
    R: Future<Output = MemberAction>,
{
    while let Ok((stream, _)) = listener.accept().await {
        let respond = respond.clone();
        tokio::task::spawn_local(async move { serve(stream, primary, respond).await });
    }
}

async fn serve<F, R>(stream: TcpStream, primary: bool, respond: F) -> Option<()>
where
    F: Fn(String) -> R,
    R: Future<Output = MemberAction>,
{
    serve_until_idle(stream, primary, respond, Duration::from_secs(86_400)).await
}

/// Writes the first half, at least 64 bytes, of a row's description and of the row itself.
async fn write_truncated_row(stream: &mut TcpStream, value: &str) -> Option<()> {
    for part in row(value).into_iter().take(2) {
        let Reply::Raw(raw) = part else { return None };
        let length = raw.len().div_ceil(2).max(64).min(raw.len());
        stream.write_all(&raw[..length]).await.ok()?;
    }
    Some(())
}

/// Serves one connection until no message arrives within `idle`.
pub async fn serve_until_idle<F, R>(
    stream: TcpStream, primary: bool, respond: F, idle: Duration,
) -> Option<()>
where
    F: Fn(String) -> R,
    R: Future<Output = MemberAction>,
{
    let mut framed = Framed::new(stream, FrontendCodec::default());
    while let Ok(Some(Ok(received))) = timeout(idle, framed.next()).await {
        let mut answers = Vec::new();
        match received {
            FrontendMessage::Startup => answers.push(Reply::SessionOpened),
            FrontendMessage::Query(sql) if sql.is_empty() => answers.push(Reply::EmptyQueryResponse),
            FrontendMessage::Query(sql) => {
                let sql = String::from_utf8_lossy(&sql).into_owned();
                let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis() as u64;
                let health = format!("x0={}.{:03},x1={}", now / 1_000, now % 1_000, u8::from(primary));
                let action =
                    if sql == "SHOW health" { MemberAction::Row(health.clone()) } else { respond(sql).await };
                match action {
                    MemberAction::Row(value) => answers.extend(row(&value)),
                    MemberAction::Error(code) => {
                        let (message, detail) = ("scripted".into(), None);
                        answers.push(Reply::Error { fatal: false, code, message, detail });
                    }
                    MemberAction::Disconnect => return None,
                    MemberAction::TruncatedRow(value) => {
                        write_truncated_row(framed.get_mut(), &value).await?;
                        return None;
                    }
                    MemberAction::NoReply(on_close) => {
                        while framed.get_mut().read_u8().await.is_ok() {}
                        on_close();
                        return None;
                    }
                }
                answers.push(parameter("recovery", if primary { "off" } else { "on" }));
                answers.push(parameter("lsn_ms", &now.to_string()));
                answers.push(parameter("health", &health));
            }
            FrontendMessage::LongQueryAnnounced(length) => {
                let memory = Arc::new(Semaphore::new(length));
                framed.codec_mut().grant_long_message(memory.acquire_many_owned(length as u32).await.ok()?);
                continue;
            }
            _ => return None,
        }
        answers.push(Reply::ReadyForQuery);
        for answer in answers {
            framed.feed(answer).await.ok()?;
        }
        framed.flush().await.ok()?;
    }
    None
}

/// Runs discovery: each watch receives `line`, then an empty line every 2 s.
pub async fn discovery(listener: TcpListener, line: String) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let line = line.clone();
        tokio::task::spawn_local(async move {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let first = format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1);
            let mut written = stream.write_all(first.as_bytes()).await;
            while written.is_ok() {
                tokio::time::sleep(std::time::Duration::from_secs(2)).await;
                written = stream.write_all(b"1\r\n\n\r\n").await;
            }
        });
    }
}
