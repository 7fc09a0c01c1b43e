//! Lists of members: decoded from JSON, checked, and numbered for the decisions.

use crate::api::{GroupId, KindId, ListEntry, MemberId, MemberState, Span, Time, ZoneId};
use crate::settings::{self, FormError, need};
use miniserde::Deserialize;
use std::net::SocketAddr;

/// The address of a member that leaves, where the list's can't be read.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// A list as it is written.
#[derive(Deserialize)]
pub struct ListDoc {
    version: Option<u64>,
    full: Option<bool>,
    servers: Option<Vec<EndpointDoc>>,
}

#[derive(Deserialize)]
struct EndpointDoc {
    id: Option<String>,
    addr: Option<String>,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<f64>,
    state: Option<String>,
    weight: Option<f64>,
    started_ms: Option<f64>,
    recovery: Option<String>,
}

/// A list, or the changes to one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// Members that are absent from it are gone.
    pub is_full: bool,
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
}

/// One entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The member's name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its group.
    pub group: u32,
    /// Its state.
    pub state: MemberState,
    /// Its registered size.
    pub weight: f64,
    /// When it last started, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// The list holds it for its group's primary (`recovery` is `off`); lists may say so late, or not at all.
    pub is_primary: bool,
}

/// News of the list.
pub enum ListEvent {
    /// The list as it was last known, from the configuration.
    Cached(EndpointList),
    /// What discovery told.
    Received(EndpointList),
    /// A call was answered, with nothing new.
    Unchanged,
    /// A call failed, or a watch ended.
    Failed {
        /// The watch fell silent: for how long it may have been.
        silence: Option<Span>,
    },
}

/// Reads one list of a watch: what can be read of it, and what is wrong with the entries that can't. One entry with an
/// address that can't be must not keep the news of all others from being heard.
pub fn decode(line: &[u8]) -> Result<(EndpointList, Vec<FormError>), FormError> {
    let text = std::str::from_utf8(line).map_err(|_| FormError::NotJson)?;
    let doc = settings::parse::<ListDoc>(text)?;
    let (version, full) = (need("version", doc.version)?, need("full", doc.full)?);
    let (mut servers, mut skipped) = (Vec::new(), Vec::new());
    for (i, entry) in need("servers", doc.servers)?.into_iter().enumerate() {
        match entry.into_endpoint(i) {
            Ok(server) => servers.push(server),
            Err(problem) => skipped.push(problem),
        }
    }
    Ok((EndpointList { version, is_full: full, endpoints: servers }, skipped))
}

impl ListDoc {
    /// Checks every field.
    pub fn into_list(self) -> Result<EndpointList, FormError> {
        let entries = need("servers", self.servers)?.into_iter().enumerate();
        let servers = entries.map(|(i, entry)| entry.into_endpoint(i)).collect::<Result<_, _>>()?;
        Ok(EndpointList {
            version: need("version", self.version)?,
            is_full: need("full", self.full)?,
            endpoints: servers,
        })
    }
}

impl EndpointDoc {
    fn into_endpoint(self, i: usize) -> Result<Endpoint, FormError> {
        let at = |field: &str| format!("servers[{i}].{field}");
        let wrong = |field: &str| FormError::Wrong(at(field));
        let count = |field: &str, value: Option<f64>| match value.unwrap_or(0.0) {
            v if v.is_finite() && v >= 0.0 => Ok(v as u64),
            _ => Err(wrong(field)),
        };
        let id = need(&at("id"), self.id)?;
        let state = match need(&at("state"), self.state)?.as_str() {
            "in_service" => MemberState::InService,
            "terminating" => MemberState::Draining,
            "terminated" => MemberState::Gone,
            _ => return Err(wrong("state")),
        };
        let address = match need(&at("addr"), self.addr)?.parse() {
            Ok(addr) => addr,
            // Nothing is sent there any more, wherever it is; that it leaves counts all the same.
            Err(_) if state != MemberState::InService => NOWHERE,
            Err(_) => return Err(wrong("addr")),
        };
        let group = u32::try_from(count("cell", self.cell)?).map_err(|_| wrong("cell"))?;
        let weight = self.weight.unwrap_or(1.0);
        let started_ms = Some(count("started_ms", self.started_ms)?).filter(|ms| *ms > 0);
        let (zone, kind) = (self.zone.unwrap_or_default(), self.kind.unwrap_or_default());
        let is_primary = match self.recovery.as_deref() {
            Some("off") => true,
            Some("on") | None => false,
            Some(_) => return Err(wrong("recovery")),
        };
        Ok(Endpoint { id, address, zone, kind, group, state, weight, started_ms, is_primary })
    }
}

/// The numbers that names have for the decisions, the same over all lists.
#[derive(Default)]
pub struct IdentifierTable {
    members: settings::Names,
    kinds: settings::Names,
    /// The zones, also those of the settings.
    pub zones: settings::Names,
}

impl IdentifierTable {
    /// Drops the names of members that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(MemberId) -> bool) {
        self.members.retain(|n| keep(MemberId(n as u32)));
    }

    /// An entry for the decisions, and where the member listens.
    pub fn entry(&mut self, server: Endpoint) -> (ListEntry, SocketAddr) {
        let entry = ListEntry {
            member: MemberId(self.members.number(&server.id) as u32),
            zone: ZoneId(self.zones.number(&server.zone)),
            kind: KindId(self.kinds.number(&server.kind)),
            group: GroupId(server.group),
            state: server.state,
            weight: server.weight,
            started: server.started_ms.map(|ms| Time(ms.saturating_mul(1_000))),
            primary_hint: server.is_primary,
        };
        (entry, server.address)
    }
}
