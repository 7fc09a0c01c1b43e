//! Decodes list entries and events. The simulator's names of messages, fields and values are not used beyond this
//! module and `fields`. The type of a field that is read but not used is still checked.

use crate::MICROS_PER_MILLI;
use crate::error::MessageError;
use crate::fields::{IS_PRIMARY, MessageFields};
use crate::gossip::PositionGossip;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use linenhill::api::{
    AttemptEnd, ClassId, Event, GroupId, KindId, ListEntry, ListUpdate, LogPosition, MemberId, MemberState,
    Micros, Request, Role, SessionKey, TenantId, Time, ZoneId,
};
use linenhill::settings::NameInterner;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A list of members, shared by the events that refer to it.
pub type MemberList = Arc<Vec<ListEntry>>;

/// Assigns the numbers of zones and kinds; shared by all instances.
#[derive(Default)]
pub struct NameInterners {
    /// Zones, including those in the instances' profiles.
    pub zones: NameInterner,
    kinds: NameInterner,
}

/// Values of an instance's profile that are needed to decode its messages.
pub struct InstanceContext {
    /// Ids of the classes by name.
    pub classes: BTreeMap<String, ClassId>,
    /// Ids of the tenants by name.
    pub tenants: BTreeMap<String, TenantId>,
    /// Unix time from which the simulator counts positions, in microseconds.
    pub position_origin: u64,
}

/// Decodes MEMBER, an entry of a list.
pub fn decode_member(
    fields: &mut MessageFields, interners: &mut NameInterners,
) -> Result<ListEntry, MessageError> {
    let member = MemberId(fields.integer("member")?);
    let zone = ZoneId(interners.zones.intern(fields.text("site")?));
    let kind = KindId(interners.kinds.intern(fields.text("shape")?));
    let group = decode_group(fields, "group")?;
    let state = match fields.text("stageState")? {
        "in_service" => MemberState::InService,
        "terminating" => MemberState::Draining,
        "terminated" => MemberState::Gone,
        text => {
            return Err(fields.invalid_value("stageState", "in_service, terminating or terminated", text));
        }
    };
    let weight = fields.finite_or("heft", 1.0)?;
    let started_at = fields.integer_or::<i64>("born", 0)?;
    let started = u64::try_from(started_at).ok().filter(|micros| *micros > 0).map(Time);
    let primary_hint = fields.finite_or("writer", 0.0)? >= IS_PRIMARY;
    Ok(ListEntry { member, zone, kind, group, state, weight, started, primary_hint })
}

/// Decodes an event for an instance; `None` if it holds gossip that can't be decoded.
pub fn decode_event(
    fields: &mut MessageFields, lists: &BTreeMap<u64, MemberList>, context: &InstanceContext,
) -> Result<Option<Event>, MessageError> {
    match fields.message() {
        "DISCOVERY" => decode_list_update(fields, lists).map(|update| Some(Event::ListUpdated(update))),
        "QUERY" => decode_request(fields, context).map(|request| Some(Event::RequestArrived(request))),
        "FIRST_BYTE" => Ok(Some(Event::AttemptStarted { id: fields.request_id()? })),
        "RETURNED" => decode_attempt_end(fields, context).map(|end| Some(Event::AttemptEnded(end))),
        "LAPSED" => Ok(Some(Event::ClientGone { id: fields.request_id()? })),
        "DEADLINE_HIT" => Ok(Some(Event::TimerDue { token: fields.integer("nonce")? })),
        "CHECK_RESULT" => decode_health_check(fields, context).map(Some),
        "PEER_DATA" => decode_gossip(fields),
        message => Err(MessageError::UnknownMessage(message.to_string())),
    }
}

/// Decodes DISCOVERY: an update of the list, or a failure of discovery.
fn decode_list_update(
    fields: &mut MessageFields, lists: &BTreeMap<u64, MemberList>,
) -> Result<ListUpdate, MessageError> {
    let number = fields.integer_or("sheet", 0)?;
    let kind = fields.text("how")?;
    let _epoch: i64 = fields.integer_or("epoch", 0)?;
    let list = || lists.get(&number).cloned().ok_or(MessageError::UnknownList(number));
    match kind {
        "diff" => Ok(ListUpdate::Changes(list()?)),
        "snapshot" => Ok(ListUpdate::Full(list()?)),
        "disk" => Ok(ListUpdate::Cached(list()?)),
        "error" => Ok(ListUpdate::Failed { silent_for: None }),
        text => Err(fields.invalid_value("how", "diff, snapshot, disk or error", text)),
    }
}

/// Decodes QUERY: a client's request. A tenant that the profile does not name is ignored.
fn decode_request(fields: &mut MessageFields, context: &InstanceContext) -> Result<Request, MessageError> {
    let id = fields.request_id()?;
    let class_name = fields.text("grade")?;
    let class = context.classes.get(class_name).copied();
    let class = class.ok_or_else(|| fields.invalid_value("grade", "a class of the profile", class_name))?;
    let time_left = fields.duration("left")?;
    let tenant_name = fields.optional_text("owner")?;
    let tenant = tenant_name.and_then(|name| context.tenants.get(name).copied());
    let _flags: u64 = fields.integer_or("flags", 0)?;
    let last_write_age = decode_last_write_age(fields)?;
    let _predicted = fields.finite_or("predicted", 0.0)?;
    let group = decode_group(fields, "partitionNo")?;
    let session = decode_session(fields)?;
    let is_statement_long = false;
    Ok(Request { id, class, time_left, tenant, last_write_age, group, session, is_statement_long })
}

/// Decodes the number of a group, which may be any finite number and is truncated to 32 bits, saturating; 0 if
/// absent.
fn decode_group(fields: &mut MessageFields, field: &'static str) -> Result<GroupId, MessageError> {
    Ok(GroupId(fields.finite_or(field, 0.0)? as u32))
}

/// Decodes the age of the session's last write; `None` if it is absent or negative, which both mean that there was
/// none.
fn decode_last_write_age(fields: &mut MessageFields) -> Result<Option<Micros>, MessageError> {
    let age_ms = fields.finite_or("tokenAgeMs", -1.0)?;
    Ok((age_ms >= 0.0).then_some(Micros((age_ms * MICROS_PER_MILLI as f64) as u64)))
}

/// Decodes the key of a session, given in hexadecimal.
fn decode_session(fields: &mut MessageFields) -> Result<Option<SessionKey>, MessageError> {
    let Some(text) = fields.optional_text("connKey")? else { return Ok(None) };
    let key = u64::from_str_radix(text, 16)
        .map_err(|_| fields.invalid_value("connKey", "a hexadecimal number of 64 bits", text))?;
    Ok(Some(SessionKey(key)))
}

/// Decodes RETURNED: the end of an attempt.
fn decode_attempt_end(
    fields: &mut MessageFields, context: &InstanceContext,
) -> Result<AttemptEnd, MessageError> {
    let id = fields.request_id()?;
    let attempt = fields.integer("hop")?;
    let member = MemberId(fields.integer("member")?);
    let outcome = fields.outcome()?;
    let latency = fields.duration("latency")?;
    let is_request_over = fields.flag("final")?;
    let mark = fields.integer_or("mark", 0)?;
    let (position, role) = split_mark(mark, context.position_origin);
    let report = fields.load_report(context.position_origin)?;
    Ok(AttemptEnd { id, attempt, member, outcome, latency, is_request_over, position, role, report })
}

/// Splits a mark into a position and a role. The position is `mark / 4`, in milliseconds since `position_origin`, and
/// absent if 0; the role is `mark % 4`.
fn split_mark(mark: u64, position_origin: u64) -> (Option<LogPosition>, Option<Role>) {
    let position_ms = mark / 4;
    let position = (position_ms > 0)
        .then(|| LogPosition(position_origin.saturating_add(position_ms * MICROS_PER_MILLI)));
    let role = match mark % 4 {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    };
    (position, role)
}

/// Decodes CHECK_RESULT: the end of a health check.
fn decode_health_check(fields: &mut MessageFields, context: &InstanceContext) -> Result<Event, MessageError> {
    let outcome = fields.outcome()?;
    let _latency = fields.duration("latency")?;
    let member = MemberId(fields.integer("member")?);
    let report = fields.load_report(context.position_origin)?;
    Ok(Event::HealthCheckEnded { member, outcome, report })
}

/// Decodes PEER_DATA: gossip from another instance.
fn decode_gossip(fields: &mut MessageFields) -> Result<Option<Event>, MessageError> {
    let _sender: i64 = fields.integer("who")?;
    let text = fields.optional_text("octets")?.unwrap_or_default();
    let bytes = STANDARD.decode(text).map_err(|_| fields.invalid_value("octets", "base64", text))?;
    let gossip = PositionGossip::decode(&bytes);
    Ok(gossip.map(|PositionGossip { member, position, is_primary }| Event::PositionGossiped {
        member,
        position,
        is_primary,
    }))
}
