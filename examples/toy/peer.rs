//! A member and a discovery service that follow a script, for the toy server and the proxy's tests.

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
    /// Breaks the connection.
    Disconnect,
    /// Breaks it in the middle of a row of this value.
    TruncatedRow(String),
    /// Says nothing until the proxy hangs up, then calls this.
    NoReply(Box<dyn FnOnce()>),
}

fn message(kind: u8, body: &[u8]) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u8(kind);
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
        .map(|(kind, body)| Reply::Raw(message(kind, &body)))
}

/// Plays one member: every statement is handed to `act`.
pub async fn member<F, R>(listener: TcpListener, primary: bool, act: F)
where
    F: Fn(String) -> R + Clone + 'static,
    R: Future<Output = MemberAction>,
{
    while let Ok((stream, _)) = listener.accept().await {
        let act = act.clone();
        tokio::task::spawn_local(async move { serve(stream, primary, act).await });
    }
}

async fn serve<F, R>(stream: TcpStream, primary: bool, act: F) -> Option<()>
where
    F: Fn(String) -> R,
    R: Future<Output = MemberAction>,
{
    serve_until_idle(stream, primary, act, Duration::from_secs(86_400)).await
}

/// Writes the first part of a row's description and of the row itself.
async fn write_torn_row(stream: &mut TcpStream, value: &str) -> Option<()> {
    for part in row(value).into_iter().take(2) {
        let Reply::Raw(raw) = part else { return None };
        let length = raw.len().div_ceil(2).max(64).min(raw.len());
        stream.write_all(&raw[..length]).await.ok()?;
    }
    Some(())
}

/// Plays one connection, until nothing was received on it for `idle`.
pub async fn serve_until_idle<F, R>(stream: TcpStream, primary: bool, act: F, idle: Duration) -> Option<()>
where
    F: Fn(String) -> R,
    R: Future<Output = MemberAction>,
{
    let mut framed = Framed::new(stream, FrontendCodec::default());
    while let Ok(Some(Ok(got))) = timeout(idle, framed.next()).await {
        let mut answers = Vec::new();
        match got {
            FrontendMessage::Startup => answers.push(Reply::SessionOpened),
            FrontendMessage::Query(text) => {
                let text = String::from_utf8_lossy(&text).into_owned();
                let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis() as u64;
                let health = format!("x0={}.{:03},x1={}", now / 1_000, now % 1_000, u8::from(primary));
                let done =
                    if text == "SHOW health" { MemberAction::Row(health.clone()) } else { act(text).await };
                match done {
                    MemberAction::Row(value) => answers.extend(row(&value)),
                    MemberAction::Error(code) => {
                        let (message, detail) = ("scripted".into(), None);
                        answers.push(Reply::Error { fatal: false, code, message, detail });
                    }
                    MemberAction::Disconnect => return None,
                    MemberAction::TruncatedRow(value) => {
                        write_torn_row(framed.get_mut(), &value).await?;
                        return None;
                    }
                    MemberAction::NoReply(hung_up) => {
                        while framed.get_mut().read_u8().await.is_ok() {}
                        hung_up();
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

/// Plays discovery: every watch is given `line`, then empty lines.
pub async fn discovery(listener: TcpListener, line: String) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let line = line.clone();
        tokio::task::spawn_local(async move {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let first = format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1);
            let mut said = stream.write_all(first.as_bytes()).await;
            while said.is_ok() {
                tokio::time::sleep(std::time::Duration::from_secs(2)).await;
                said = stream.write_all(b"1\r\n\n\r\n").await;
            }
        });
    }
}
