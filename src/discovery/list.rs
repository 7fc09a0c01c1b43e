//! Endpoint lists: decoded from JSON, validated, and converted to the ids of the decision logic. A list is untrusted
//! input: it must never cause a panic, and an invalid entry in a watch must not affect the others.

use crate::api::{GroupId, KindId, ListEntry, MemberId, MemberState, Micros, Time, ZoneId};
use crate::settings::{self, JsonError, required};
use miniserde::Deserialize;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Stands in for the invalid address of a member that is not in service. Nothing is sent there.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// The weight of an entry without one.
const DEFAULT_WEIGHT: f64 = 1.0;
const MICROS_PER_MILLI: u64 = 1_000;

/// The JSON form of a list.
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

/// A full list, or changes to one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version; it increases until the service restarts its numbering.
    pub version: u64,
    /// Whether the list is complete, so that members absent from it are gone.
    pub is_full: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

/// One entry of a list: a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The member's name.
    pub id: String,
    /// The address at which the member listens; a placeholder if the address is invalid and the member is not in
    /// service.
    pub address: SocketAddr,
    /// The member's zone; empty if the entry has none.
    pub zone: String,
    /// The member's kind; empty if the entry has none.
    pub kind: String,
    /// The member's group; 0 if the entry has none.
    pub group: u32,
    /// The member's state.
    pub state: MemberState,
    /// The registered capacity, relative to that of other members; 1 if the entry has none.
    pub weight: f64,
    /// The last start of the member, in Unix milliseconds; `None` if the entry has none or 0.
    pub started_ms: Option<u64>,
    /// Whether the list names the member as its group's primary; `false` if the entry has no role. May be outdated.
    pub is_primary: bool,
}

/// The result of decoding a list.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedList {
    /// The list with its valid entries.
    pub list: EndpointList,
    /// The error of each invalid entry, in the order of the list.
    pub skipped: Vec<JsonError>,
}

/// An event of the endpoint list.
pub enum ListEvent {
    /// The configuration contains a list saved by an earlier run.
    Cached(EndpointList),
    /// Discovery sent a list.
    Received(EndpointList),
    /// A call succeeded, with no change to report.
    Unchanged,
    /// A call failed, or a watch ended.
    Failed {
        /// If no message arrived in time, the time since the last message of the watch, or since the start of the call
        /// if none arrived. `None` if the call or watch ended for another reason.
        silence: Option<Micros>,
    },
}

/// Decodes a list of a watch. Invalid entries are skipped, so that changes in the other entries still take effect.
///
/// # Errors
/// The line is not JSON, or a field of the list itself is missing or invalid.
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
            Err(error) => skipped.push(error),
        }
    }
    Ok(DecodedList { list: EndpointList { version, is_full, endpoints }, skipped })
}

impl ListDoc {
    /// Validates a list of the configuration, in which every entry must be valid.
    pub fn into_list(self) -> Result<EndpointList, JsonError> {
        let entries = required("servers", self.servers)?.into_iter().enumerate();
        let endpoints = entries.map(|(index, entry)| entry.into_endpoint(index)).collect::<Result<_, _>>()?;
        let version = required("version", self.version)?;
        let is_full = required("full", self.full)?;
        Ok(EndpointList { version, is_full, endpoints })
    }
}

impl EndpointDoc {
    /// Validates the entry at `index` of its list. Errors name fields by their JSON path.
    fn into_endpoint(self, index: usize) -> Result<Endpoint, JsonError> {
        let path = |field: &str| format!("servers[{index}].{field}");
        let invalid = |field: &str| JsonError::Invalid(path(field));
        let id = required(&path("id"), self.id)?;
        let state = parse_state(&required(&path("state"), self.state)?).ok_or_else(|| invalid("state"))?;
        let address = match required(&path("addr"), self.addr)?.parse() {
            Ok(address) => address,
            // The address of a member that leaves is not used, but its state must take effect.
            Err(_) if state != MemberState::InService => PLACEHOLDER_ADDRESS,
            Err(_) => return Err(invalid("addr")),
        };
        let group = parse_count(self.cell).and_then(|count| u32::try_from(count).ok());
        let group = group.ok_or_else(|| invalid("cell"))?;
        let started_ms = parse_count(self.started_ms).ok_or_else(|| invalid("started_ms"))?;
        let is_primary = match self.recovery.as_deref() {
            Some("off") => true,
            Some("on") | None => false,
            Some(_) => return Err(invalid("recovery")),
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

/// Converts a JSON number to a count, 0 if absent; `None` if it is negative or not finite. A fraction is cut off.
fn parse_count(value: Option<f64>) -> Option<u64> {
    let value = value.unwrap_or(0.0);
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

/// Maps the names of members, kinds and zones to the ids of the decision logic. A name keeps its id across lists until
/// it is removed.
#[derive(Default)]
pub struct IdentifierTable {
    members: settings::NameInterner,
    kinds: settings::NameInterner,
    /// The zones of the lists and of the settings.
    pub zones: settings::NameInterner,
}

impl IdentifierTable {
    /// Removes the members for which `keep` is false. The ids of removed members are not reused.
    pub fn retain(&mut self, keep: impl Fn(MemberId) -> bool) {
        self.members.retain(|number| keep(MemberId(number as u32)));
    }

    /// Converts an entry for the decision logic; returns it with the member's address.
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
