//! Connections between instances: who may come, what they say, and one connection to each other keeper.

use crate::protocol::{
    Body, Empty, Envelope, EnvelopeCodec, OperatorReply, OperatorRequest, PROTOCOL_VERSION,
};
use futures_util::{SinkExt, StreamExt};
use ipnet::IpNet;
use linenhill_settings::operator::Keeper;
use log::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_util::codec::Framed;

/// Connections of other instances at a time.
const PLACES: usize = 4_096;
/// Messages that wait for a connection; beyond that they are lost, as a network may lose them.
const QUEUE: usize = 1_024;
/// A connection is up by then, and a message written.
const WITHIN: Duration = Duration::from_secs(1);
/// A connection on which nothing was said for so long is ended.
const IDLE: Duration = Duration::from_secs(30);
/// The other side is asked for a sign of life, and has given one by then; a cut gives no other sign.
const PING_EVERY: Duration = Duration::from_millis(500);
const SILENT: Duration = Duration::from_millis(2_000);
/// Pauses before a peer that is away is tried again.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Who may come, and what is said to whom.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The fleet.
    pub cluster: String,
    /// This instance's name.
    pub name: String,
    /// Its incarnation, or its number as a keeper.
    pub incarnation: u64,
    /// The keepers' names: only they send long frames.
    pub keepers: Vec<String>,
}

impl Identity {
    /// A message from this instance.
    pub fn say(&self, log_id: u64, body: Body) -> Envelope {
        Envelope {
            cluster: self.cluster.clone(),
            version: PROTOCOL_VERSION,
            from: self.name.clone(),
            incarnation: self.incarnation,
            log_id,
            body: Some(body),
        }
    }
}

/// A message that came, and where its answer goes.
pub struct Incoming {
    /// The message.
    pub envelope: Envelope,
    /// Answers; what finds no room is lost.
    pub reply: mpsc::Sender<Envelope>,
}

/// Takes connections from allowed prefixes and passes on what they say, for as long as the program runs.
pub async fn serve(
    listener: TcpListener, allow: Vec<IpNet>, identity: Rc<Identity>, inbox: mpsc::Sender<Incoming>,
) {
    let places = Arc::new(Semaphore::new(PLACES));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(problem) => {
                warn!("fleet: accept: {problem}");
                sleep(PAUSE.0).await;
                continue;
            }
        };
        if !allow.iter().any(|net| net.contains(&peer.ip())) {
            warn!("fleet: {peer} is outside the allowed prefixes");
            continue;
        }
        let Ok(place) = places.clone().try_acquire_owned() else {
            warn!("fleet: {peer} finds no place");
            continue;
        };
        let (identity, inbox) = (identity.clone(), inbox.clone());
        spawn_local(async move {
            if let Err(problem) = converse(stream, &identity, inbox).await {
                warn!("fleet: {peer}: {problem}");
            }
            drop(place);
        });
    }
}

async fn converse(
    stream: TcpStream, identity: &Identity, inbox: mpsc::Sender<Incoming>,
) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let mut link = Framed::new(stream, EnvelopeCodec::for_untrusted());
    let (reply, mut answers) = mpsc::channel::<Envelope>(QUEUE);
    loop {
        let say = tokio::select! {
            envelope = timeout(IDLE, link.next()) => {
                let envelope = match envelope {
                    Err(_) | Ok(None) => return Ok(()),
                    Ok(Some(envelope)) => envelope.map_err(|e| e.to_string())?,
                };
                if envelope.cluster != identity.cluster {
                    return Err(format!("it is of the fleet '{}'", envelope.cluster));
                }
                if envelope.version != PROTOCOL_VERSION {
                    return Err(format!("it speaks version {}, and this is {PROTOCOL_VERSION}", envelope.version));
                }
                if identity.keepers.contains(&envelope.from) {
                    link.codec_mut().allow_keeper_frames();
                }
                if !matches!(envelope.body, Some(Body::Ping(_))) {
                    let reply = reply.clone();
                    if inbox.send(Incoming { envelope, reply }).await.is_err() {
                        return Ok(());
                    }
                    continue;
                }
                identity.say(0, Body::Pong(Empty {}))
            }
            Some(answer) = answers.recv() => answer,
        };
        timeout(WITHIN, link.send(say)).await.map_err(|e| e.to_string())?.map_err(|e| e.to_string())?;
    }
}

/// Opens a connection.
pub async fn connect(address: SocketAddr) -> Result<Framed<TcpStream, EnvelopeCodec>, String> {
    let stream = timeout(WITHIN, TcpStream::connect(address)).await.map_err(|e| e.to_string())?;
    let stream = stream.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    Ok(Framed::new(stream, EnvelopeCodec::default()))
}

/// Says one thing and waits for the answer.
pub async fn call(address: SocketAddr, envelope: Envelope) -> Result<Envelope, String> {
    let mut link = connect(address).await?;
    timeout(WITHIN, link.send(envelope)).await.map_err(|e| e.to_string())?.map_err(|e| e.to_string())?;
    match timeout(2 * WITHIN, link.next()).await {
        Ok(Some(answer)) => answer.map_err(|e| e.to_string()),
        Ok(None) => Err("it ended the connection".into()),
        Err(_) => Err("no answer came in time".into()),
    }
}

/// Tells the keepers something, in turn until one that leads has done it: what it says, or what the last one said.
pub async fn tell(
    keepers: &[Keeper], identity: &Identity, operate: OperatorRequest,
) -> Result<OperatorReply, String> {
    let mut last = Err("there is no keeper".to_string());
    for keeper in keepers {
        match call(keeper.address, identity.say(0, Body::OperatorRequest(operate.clone()))).await {
            Ok(Envelope { body: Some(Body::OperatorReply(done)), .. }) if done.ok => return Ok(done),
            Ok(Envelope { body: Some(Body::OperatorReply(done)), .. }) if done.not_leader => {
                last = last.or(Err(format!("{}: {}", keeper.name, done.text)));
            }
            Ok(Envelope { body: Some(Body::OperatorReply(done)), .. }) => last = Ok(done),
            Ok(_) => last = last.or(Err(format!("{}: an answer that is none", keeper.name))),
            Err(problem) => last = last.or(Err(format!("{}: {problem}", keeper.name))),
        }
    }
    last
}

/// Where to send to another keeper.
#[derive(Clone)]
pub struct Peer {
    queue: mpsc::Sender<Envelope>,
    /// Where it is.
    pub address: SocketAddr,
}

impl Peer {
    /// Keeps a connection to it, for as long as this is kept.
    pub fn start(address: SocketAddr, identity: Rc<Identity>) -> Peer {
        let (queue, waiting) = mpsc::channel(QUEUE);
        spawn_local(keep(address, identity, waiting));
        Peer { queue, address }
    }

    /// Sends, or loses it.
    pub fn send(&self, envelope: Envelope) -> bool {
        self.queue.try_send(envelope).is_ok()
    }
}

async fn keep(address: SocketAddr, identity: Rc<Identity>, mut waiting: mpsc::Receiver<Envelope>) {
    let mut pause = PAUSE.0;
    loop {
        match connect(address).await {
            Ok(link) => {
                info!("fleet: connected to {address}");
                pause = PAUSE.0;
                match pump(link, &identity, &mut waiting).await {
                    Some(problem) => info!("fleet: connection to {address} ended: {problem}"),
                    None => return,
                }
            }
            Err(_) => {
                // What waited is old by the time it is back.
                while waiting.try_recv().is_ok() {}
                if waiting.is_closed() {
                    return;
                }
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(PAUSE.1);
    }
}

/// Sends until the connection fails; none once nobody sends any more.
async fn pump(
    mut link: Framed<TcpStream, EnvelopeCodec>, identity: &Identity, waiting: &mut mpsc::Receiver<Envelope>,
) -> Option<String> {
    let (mut ping, mut heard) = (interval(PING_EVERY), Instant::now());
    loop {
        let next = tokio::select! {
            // The first ping is due at once, and goes first: by it the other side knows a keeper.
            biased;
            _ = ping.tick() => {
                if heard.elapsed() > SILENT {
                    return Some("it is silent".into());
                }
                identity.say(0, Body::Ping(Empty {}))
            }
            next = waiting.recv() => match next {
                Some(next) => next,
                None => return None,
            },
            answer = link.next() => match answer {
                Some(Ok(_)) => {
                    heard = Instant::now();
                    continue;
                }
                Some(Err(problem)) => return Some(problem.to_string()),
                None => return Some("it was closed".into()),
            },
        };
        match timeout(WITHIN, link.send(next)).await {
            Ok(Ok(())) => {}
            Ok(Err(problem)) => return Some(problem.to_string()),
            Err(_) => return Some("nothing can be written".into()),
        }
    }
}
