//! A member: answers startup messages at once and passes each statement to the case's own function.

use crate::wire;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// What a member does with the statement of a connection. An error ends the connection.
pub type Respond = dyn Fn(&str, &mut TcpStream) -> std::io::Result<()> + Send + Sync;

/// A running member. Its threads end with the process.
pub struct Member {
    pub address: SocketAddr,
}

impl Member {
    /// Starts a member on a free loopback port.
    pub fn start(respond: Arc<Respond>) -> std::io::Result<Member> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let respond = respond.clone();
                thread::spawn(move || serve(stream, &*respond));
            }
        });
        Ok(Member { address })
    }
}

fn serve(mut stream: TcpStream, respond: &Respond) -> Option<()> {
    wire::read_startup(&mut stream).ok()?;
    wire::open_session(&mut stream).ok()?;
    loop {
        let message = wire::read_message(&mut stream).ok()?;
        if message.kind != b'Q' {
            return None;
        }
        let statement = String::from_utf8_lossy(&message.body);
        respond(statement.trim_end_matches('\0'), &mut stream).ok()?;
    }
}

/// The `ParameterStatus` messages of an answer: role, position and load report. The position is a Unix time in
/// milliseconds.
pub fn notes(is_primary: bool, position_ms: u64, utilisation: f64) -> Vec<u8> {
    let health = health(is_primary, position_ms, utilisation);
    [
        wire::parameter("recovery", if is_primary { "off" } else { "on" }),
        wire::parameter("lsn_ms", &position_ms.to_string()),
        wire::parameter("health", &health),
    ]
    .concat()
}

/// The load report.
pub fn health(is_primary: bool, position_ms: u64, utilisation: f64) -> String {
    let (seconds, millis) = (position_ms / 1_000, position_ms % 1_000);
    format!("x0={seconds}.{millis:03},x1={},util={utilisation:.2}", u8::from(is_primary))
}

/// A whole answer: a row, the notes, and `ReadyForQuery`.
pub fn answer(value: &[u8], notes: &[u8]) -> Vec<u8> {
    [&wire::row(value), notes, &wire::ready()].concat()
}
