//! A stand-in for a member. It answers as its handler says; probes, empty queries and startup as the protocol page does.

use crate::{Record, unix_ms, wire};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a member does with one statement.
pub struct Reply {
    /// Time before the answer.
    pub after: Duration,
    /// The answer up to ReadyForQuery, without parameters.
    pub answer: Vec<u8>,
    /// Parts of the answer, with a pause before each further one; 0 for one part.
    pub pause: Duration,
    pub part_bytes: usize,
    /// The value of `lsn_ms`.
    pub lsn_ms: Option<u64>,
    /// Breaks the connection after so many bytes of the answer.
    pub break_after: Option<usize>,
}

impl Reply {
    pub fn row(value: &[u8], after: Duration) -> Reply {
        Reply {
            after,
            answer: wire::row(value),
            pause: Duration::ZERO,
            part_bytes: 0,
            lsn_ms: Some(unix_ms()),
            break_after: None,
        }
    }

    pub fn error(code: &str) -> Reply {
        Reply { answer: wire::error(code), ..Reply::row(b"", Duration::ZERO) }
    }
}

/// A statement that arrived complete.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub member: String,
    pub id: String,
    pub statement: String,
}

/// The statements that all members got, probes and empty queries left out.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().unwrap().clone()
    }
}

/// Long statements that a member reads slowly.
pub struct SlowReads {
    /// How many are still to be read slowly; the first ones to come.
    pub left: AtomicUsize,
    /// A shorter statement is read at once.
    pub longer_than: usize,
    pub piece_bytes: usize,
    pub pause: Duration,
}

impl SlowReads {
    fn takes(&self, length: usize) -> bool {
        let take = |left: usize| left.checked_sub(1);
        length > self.longer_than && self.left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    }
}

pub struct Member {
    pub name: String,
    pub address: SocketAddr,
}

type Handler = dyn Fn(&str) -> Reply + Send + Sync;

struct Served {
    name: String,
    is_primary: bool,
    position_ms: Box<dyn Fn() -> u64 + Send + Sync>,
    handler: Box<Handler>,
    arrivals: Arrivals,
    record: Record,
    slow_reads: Option<Arc<SlowReads>>,
}

impl Member {
    /// Starts a member. `position_ms` is its position for reports.
    pub fn start(
        name: &str, is_primary: bool, arrivals: &Arrivals, record: &Record,
        position_ms: impl Fn() -> u64 + Send + Sync + 'static,
        handler: impl Fn(&str) -> Reply + Send + Sync + 'static,
    ) -> Member {
        Member::start_with(name, is_primary, arrivals, record, None, position_ms, handler)
    }

    /// Starts a member that reads some long statements slowly.
    pub fn start_with(
        name: &str, is_primary: bool, arrivals: &Arrivals, record: &Record,
        slow_reads: Option<Arc<SlowReads>>, position_ms: impl Fn() -> u64 + Send + Sync + 'static,
        handler: impl Fn(&str) -> Reply + Send + Sync + 'static,
    ) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a member can listen");
        let address = listener.local_addr().unwrap();
        let served = Arc::new(Served {
            name: name.to_string(),
            is_primary,
            position_ms: Box::new(position_ms),
            handler: Box::new(handler),
            arrivals: arrivals.clone(),
            record: record.clone(),
            slow_reads,
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        Member { name: name.to_string(), address }
    }
}

impl Served {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        wire::read_startup(&mut stream)?;
        stream.write_all(&[&wire::message(b'R', &[0; 4]), wire::READY].concat())?;
        loop {
            let (kind, body) = self.read_statement(&mut stream)?;
            if kind != b'Q' {
                return Ok(());
            }
            let statement = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
            if statement.trim().is_empty() {
                stream.write_all(&[&wire::message(b'I', b""), wire::READY].concat())?;
                continue;
            }
            let Some(id) = wire::field(&statement, "id").map(str::to_string) else {
                let value = if statement == "SHOW health" { self.health() } else { "1".to_string() };
                stream.write_all(
                    &[&wire::row(value.as_bytes()), &self.parameters((self.position_ms)())[..], wire::READY]
                        .concat(),
                )?;
                continue;
            };
            self.record.line(format!(
                "member {} got id={id} d={}",
                self.name,
                wire::field(&statement, "d").unwrap_or("-")
            ));
            let arrival = Arrival {
                at: Instant::now(),
                member: self.name.clone(),
                id: id.clone(),
                statement: statement.clone(),
            };
            self.arrivals.0.lock().unwrap().push(arrival);
            let reply = (self.handler)(&statement);
            thread::sleep(reply.after);
            self.write_reply(&mut stream, &reply)?;
            self.record.line(format!("member {} answered id={id}", self.name));
        }
    }

    /// The next message, read slowly if it is one of those.
    fn read_statement(&self, stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = (u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize).saturating_sub(4);
        let mut body = vec![0; length];
        match self.slow_reads.as_ref().filter(|slow| slow.takes(length)) {
            None => stream.read_exact(&mut body)?,
            Some(slow) => {
                self.record.line(format!("member {} begins to read {length} bytes slowly", self.name));
                for piece in body.chunks_mut(slow.piece_bytes) {
                    stream.read_exact(piece)?;
                    thread::sleep(slow.pause);
                }
            }
        }
        Ok((head[0], body))
    }

    fn write_reply(&self, stream: &mut TcpStream, reply: &Reply) -> io::Result<()> {
        if let Some(bytes) = reply.break_after {
            stream.write_all(&reply.answer[..bytes.min(reply.answer.len())])?;
            thread::sleep(reply.pause);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let parameters = self.parameters(reply.lsn_ms.unwrap_or_else(|| (self.position_ms)()));
        let all = [&reply.answer, &parameters[..], wire::READY].concat();
        if reply.part_bytes == 0 {
            return stream.write_all(&all);
        }
        for part in all.chunks(reply.part_bytes) {
            stream.write_all(part)?;
            thread::sleep(reply.pause);
        }
        Ok(())
    }

    /// In the order of PostgreSQL: after CommandComplete, before ReadyForQuery.
    fn parameters(&self, lsn_ms: u64) -> Vec<u8> {
        let recovery = if self.is_primary { "off" } else { "on" };
        [wire::parameter("recovery", recovery), wire::parameter("lsn_ms", &lsn_ms.to_string())].concat()
    }

    fn health(&self) -> String {
        let position = (self.position_ms)();
        format!("x0={}.{:03},x1={},queue=0", position / 1_000, position % 1_000, u8::from(self.is_primary))
    }
}
