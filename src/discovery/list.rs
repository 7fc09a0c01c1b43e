//! Endpoint lists: decoded from JSON, checked, and numbered for the decisions. A list is data from outside: nothing
//! in it may cause a panic, and one bad entry of a watch must never hide the others.

use crate::api::{GroupId, KindId, ListEntry, MemberId, MemberState, Micros, Time, ZoneId};
use crate::settings::{self, JsonError, required};
use miniserde::Deserialize;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The address of a leaving member whose own can't be read. Nothing is sent there.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// The weight of an entry that gives none.
const DEFAULT_WEIGHT: f64 = 1.0;
const MICROS_PER_MILLI: u64 = 1_000;

/// A list as JSON has it.
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

/// A full list, or the changes to one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Its version; later lists have higher ones, until the service begins anew.
    pub version: u64,
    /// Whether members that are absent from it are gone.
    pub is_full: bool,
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
}

/// One entry of a list: a member and where it listens.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The member's name.
    pub id: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its group.
    pub group: u32,
    /// Its state.
    pub state: MemberState,
    /// Its registered capacity, relative to that of other members.
    pub weight: f64,
    /// When it last started, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// Whether the list has it as its group's primary. Lists may be late with this, or leave it out.
    pub is_primary: bool,
}

/// A list that was read, as far as it can be.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedList {
    /// The list with its readable entries.
    pub list: EndpointList,
    /// What is wrong with each of the others.
    pub skipped: Vec<JsonError>,
}

/// What happened to the list of members.
pub enum ListEvent {
    /// The configuration has a list of an earlier run.
    Cached(EndpointList),
    /// Discovery sent a list.
    Received(EndpointList),
    /// A call succeeded, with no change to report.
    Unchanged,
    /// A call failed, or a watch ended.
    Failed {
        /// For how long the watch may have been silent, if it ended for its silence.
        silence: Option<Micros>,
    },
}

/// Decodes a list of a watch and skips the entries that can't be read: they must not keep the changes of the others
/// from taking effect. An error means that the list as a whole can't be read.
pub fn decode(line: &[u8]) -> Result<DecodedList, JsonError> {
    let text = std::str::from_utf8(line).map_err(|_| JsonError::NotJson)?;
    let doc = settings::parse::<ListDoc>(text)?;
    let version = required("version", doc.version)?;
    let is_full = required("full", doc.full)?;
    let mut endpoints = Vec::new();
    let mut skipped = Vec::new();
    for (index, entry) in required("servers", doc.servers)?.into_iter().enumerate() {
        match entry.into_endpoint(index) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(problem) => skipped.push(problem),
        }
    }
    Ok(DecodedList { list: EndpointList { version, is_full, endpoints }, skipped })
}

impl ListDoc {
    /// Checks a list of the configuration, of which every entry must be readable.
    pub fn into_list(self) -> Result<EndpointList, JsonError> {
        let entries = required("servers", self.servers)?.into_iter().enumerate();
        let endpoints = entries.map(|(index, entry)| entry.into_endpoint(index)).collect::<Result<_, _>>()?;
        let version = required("version", self.version)?;
        let is_full = required("full", self.full)?;
        Ok(EndpointList { version, is_full, endpoints })
    }
}

impl EndpointDoc {
    /// Checks the entry at `index` of its list, whose fields errors name by their JSON keys.
    fn into_endpoint(self, index: usize) -> Result<Endpoint, JsonError> {
        let path = |field: &str| format!("servers[{index}].{field}");
        let wrong = |field: &str| JsonError::Invalid(path(field));
        let id = required(&path("id"), self.id)?;
        let state = parse_state(&required(&path("state"), self.state)?).ok_or_else(|| wrong("state"))?;
        let address = match required(&path("addr"), self.addr)?.parse() {
            Ok(address) => address,
            // Nothing is sent to a leaving member, so its address does not matter; that it leaves does.
            Err(_) if state != MemberState::InService => UNKNOWN_ADDRESS,
            Err(_) => return Err(wrong("addr")),
        };
        let group = parse_count(self.cell).and_then(|count| u32::try_from(count).ok());
        let group = group.ok_or_else(|| wrong("cell"))?;
        let started_ms = parse_count(self.started_ms).ok_or_else(|| wrong("started_ms"))?;
        let is_primary = match self.recovery.as_deref() {
            Some("off") => true,
            Some("on") | None => false,
            Some(_) => return Err(wrong("recovery")),
        };
        Ok(Endpoint {
            id,
            address,
            zone: self.zone.unwrap_or_default(),
            kind: self.kind.unwrap_or_default(),
            group,
            state,
            weight: self.weight.unwrap_or(DEFAULT_WEIGHT),
            started_ms: Some(started_ms).filter(|ms| *ms > 0),
            is_primary,
        })
    }
}

fn parse_state(state: &str) -> Option<MemberState> {
    match state {
        "in_service" => Some(MemberState::InService),
        "terminating" => Some(MemberState::Draining),
        "terminated" => Some(MemberState::Gone),
        _ => None,
    }
}

/// A count, which JSON may write as any number; 0 when absent.
fn parse_count(value: Option<f64>) -> Option<u64> {
    let value = value.unwrap_or(0.0);
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

/// The numbers by which the decisions know members, kinds and zones; the same over all lists.
#[derive(Default)]
pub struct IdentifierTable {
    members: settings::NameInterner,
    kinds: settings::NameInterner,
    /// The zones, also those of the settings.
    pub zones: settings::NameInterner,
}

impl IdentifierTable {
    /// Forgets the members for which `keep` is false. Their numbers are not used again.
    pub fn retain(&mut self, keep: impl Fn(MemberId) -> bool) {
        self.members.retain(|number| keep(MemberId(number as u32)));
    }

    /// The entry for the decisions, and the member's address.
    pub fn entry(&mut self, endpoint: Endpoint) -> (ListEntry, SocketAddr) {
        let entry = ListEntry {
            member: MemberId(self.members.intern(&endpoint.id) as u32),
            zone: ZoneId(self.zones.intern(&endpoint.zone)),
            kind: KindId(self.kinds.intern(&endpoint.kind)),
            group: GroupId(endpoint.group),
            state: endpoint.state,
            weight: endpoint.weight,
            started: endpoint.started_ms.map(|ms| Time(ms.saturating_mul(MICROS_PER_MILLI))),
            primary_hint: endpoint.is_primary,
        };
        (entry, endpoint.address)
    }
}
