//! Decoding and encoding of the wire, and the table of instances.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use linenhill::api::*;
use linenhill::policy::Router;
use linenhill::settings::{self, Names, Profile, WORD_BYTES};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

struct Slot {
    router: Router,
    classes: BTreeMap<String, ClassId>,
    tenants: BTreeMap<String, TenantId>,
    zero: u64,
}

/// The instances of this process and the state of the batch being read.
#[derive(Default)]
pub struct Host {
    slots: BTreeMap<u64, Slot>,
    lists: BTreeMap<u64, Arc<Vec<ListEntry>>>,
    zones: Names,
    kinds: Names,
    batch: Option<(u64, u64)>,
    current: Option<u64>,
    filling: Option<(u64, usize, Vec<ListEntry>)>,
    actions: Vec<Action>,
    reply: String,
    speaker: Option<u64>,
}

/// The parts of one message, read in order.
struct Parts<'a> {
    name: &'a str,
    rest: std::str::Split<'a, char>,
}

impl<'a> Parts<'a> {
    fn raw(&mut self, field: &str) -> Result<&'a str, String> {
        self.rest.next().ok_or_else(|| format!("{}: field '{field}' is missing", self.name))
    }

    fn opt(&mut self, field: &str) -> Result<Option<&'a str>, String> {
        self.raw(field).map(|v| (v != "-").then_some(v))
    }

    fn bad(&self, field: &str, value: &str) -> String {
        format!("{}: field '{field}' has a wrong value '{value}'", self.name)
    }

    fn number<T: std::str::FromStr>(&mut self, field: &str) -> Result<T, String> {
        let v = self.raw(field)?;
        v.parse().map_err(|_| self.bad(field, v))
    }

    fn number_or<T: std::str::FromStr>(&mut self, field: &str, absent: T) -> Result<T, String> {
        match self.opt(field)? {
            None => Ok(absent),
            Some(v) => v.parse().map_err(|_| self.bad(field, v)),
        }
    }

    fn real(&mut self, field: &str, absent: f64) -> Result<f64, String> {
        let v: f64 = self.number_or(field, absent)?;
        if v.is_finite() { Ok(v) } else { Err(self.bad(field, &v.to_string())) }
    }

    fn flag(&mut self, field: &str) -> Result<bool, String> {
        match self.raw(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            v => Err(self.bad(field, v)),
        }
    }

    fn request(&mut self) -> Result<RequestId, String> {
        let v = self.raw("ref")?;
        v.as_bytes().try_into().map(RequestId).map_err(|_| self.bad("ref", v))
    }

    fn span(&mut self, field: &str) -> Result<Micros, String> {
        Ok(Micros(self.number_or::<i64>(field, 0)?.max(0) as u64))
    }

    fn outcome(&mut self) -> Result<Outcome, String> {
        let v = self.raw("code")?;
        Ok(match v {
            "Ok" => Outcome::Ok,
            "Failed" => Outcome::Failed,
            "QueueFull" => Outcome::QueueFull,
            "TimedOut" => Outcome::TimedOut,
            "ConnectError" => Outcome::ConnectError,
            "ResetByPeer" => Outcome::Reset,
            "Canceled" => Outcome::Cancelled,
            "Ignored" => Outcome::NotSent,
            "Miss" => Outcome::NotApplicable,
            _ => return Err(self.bad("code", v)),
        })
    }

    fn report(&mut self, zero: u64) -> Result<LoadReport, String> {
        let mut report = LoadReport::default();
        let Some(text) = self.opt("pressure")? else { return Ok(report) };
        for pair in text.split(',').filter(|p| !p.is_empty()) {
            let wrong = || format!("{}: field 'pressure' has a wrong value '{pair}'", self.name);
            let (name, value) = pair.split_once(':').ok_or_else(wrong)?;
            let value: f64 = value.parse().ok().filter(|v: &f64| v.is_finite()).ok_or_else(wrong)?;
            match name {
                "x0" => {
                    report.position =
                        Some(LogPosition(zero.saturating_add_signed((value * 1e6).floor() as i64)))
                }
                "x1" => report.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica }),
                "busy_reqs" | "pending" => report.load = Some(value),
                "cpu_share" => report.utilisation = Some(value.clamp(0.0, 1.0)),
                _ => {}
            }
        }
        Ok(report)
    }
}

impl Host {
    /// Takes one line; true when a batch is complete and its reply ready.
    pub fn line(&mut self, line: &str) -> Result<bool, String> {
        let mut split = line.split('\t');
        let name = split.next().unwrap_or("");
        let mut p = Parts { name, rest: split };
        if self.filling.is_some() && name != "MEMBER" {
            return Err(format!("'{name}' where a MEMBER line is due"));
        }
        if name != "TURN" && self.batch.is_none() {
            return Err(format!("'{name}' outside a batch"));
        }
        match name {
            "TURN" => {
                if self.batch.is_some() {
                    return Err("TURN inside a batch".into());
                }
                self.batch = Some((p.number("time")?, p.number("batch")?));
            }
            "GO" => {
                let (_, batch) = self.batch.take().unwrap_or_default();
                let _ = writeln!(self.reply, "DONE\t{batch}");
                self.current = None;
                self.speaker = None;
                return Ok(true);
            }
            "INSTANCE" => self.current = Some(p.number("driverId")?),
            "CENSUS" => {
                let (sheet, lines): (u64, usize) = (p.number("sheet")?, p.number("lines")?);
                if lines == 0 {
                    self.lists.insert(sheet, Arc::default());
                } else {
                    self.filling = Some((sheet, lines, Vec::with_capacity(lines.min(4096))));
                }
            }
            "MEMBER" => self.member(&mut p)?,
            "ATTACH" => self.attach(line)?,
            "CRASH_NOW" => {
                let id = self.current.ok_or("CRASH_NOW before any INSTANCE")?;
                self.slots.remove(&id);
            }
            _ => self.event(&mut p)?,
        }
        Ok(false)
    }

    /// Input has ended: fine between batches.
    pub fn at_end(&self) -> Result<(), String> {
        if self.batch.is_some() { Err("input ended inside a batch".into()) } else { Ok(()) }
    }

    /// The reply so far.
    pub fn reply(&self) -> &str {
        &self.reply
    }

    /// Makes room for the next reply.
    pub fn clear_reply(&mut self) {
        self.reply.clear();
    }

    fn member(&mut self, p: &mut Parts) -> Result<(), String> {
        let Some((sheet, lines, mut entries)) = self.filling.take() else {
            return Err("MEMBER outside a CENSUS".into());
        };
        let member = MemberId(p.number("member")?);
        let zone = ZoneId(self.zones.number(p.raw("site")?));
        let kind = KindId(self.kinds.number(p.raw("shape")?));
        let group = GroupId(p.real("group", 0.0)? as u32);
        let state = match p.raw("stageState")? {
            "in_service" => MemberState::InService,
            "terminating" => MemberState::Draining,
            "terminated" => MemberState::Gone,
            v => return Err(p.bad("stageState", v)),
        };
        let weight = p.real("heft", 1.0)?;
        let born: i64 = p.number_or("born", 0)?;
        let started = (born > 0).then_some(Time(born.max(0) as u64));
        let primary_hint = p.real("writer", 0.0)? >= 0.5;
        entries.push(ListEntry { member, zone, kind, group, state, weight, started, primary_hint });
        if entries.len() == lines {
            self.lists.insert(sheet, Arc::new(entries));
        } else {
            self.filling = Some((sheet, lines, entries));
        }
        Ok(())
    }

    fn attach(&mut self, line: &str) -> Result<(), String> {
        let id = self.current.ok_or("ATTACH before any INSTANCE")?;
        let mut parts = line.splitn(3, '\t').skip(1);
        let seed = parts.next().ok_or("ATTACH: field 'prng' is missing")?;
        let text = parts.next().ok_or("ATTACH: field 'profileData' is missing")?;
        let seed =
            seed.parse::<i128>().map_err(|_| format!("ATTACH: field 'prng' has a wrong value '{seed}'"))?
                as u64;
        let profile: Profile =
            settings::parse(text).map_err(|e| format!("ATTACH: field 'profileData': {e}"))?;
        let now = Time(self.batch.unwrap_or_default().0);
        let site = profile.site(&mut self.zones).map_err(|e| format!("ATTACH: profileData: {e}"))?;
        let router = Router::new(site.settings, seed, now);
        let slot = Slot { router, classes: site.classes, tenants: site.tenants, zero: site.zero };
        self.slots.insert(id, slot);
        Ok(())
    }

    fn event(&mut self, p: &mut Parts) -> Result<(), String> {
        let (now, _) = self.batch.unwrap_or_default();
        let id = self.current.ok_or_else(|| format!("{} before any INSTANCE", p.name))?;
        let slot =
            self.slots.get_mut(&id).ok_or_else(|| format!("{}: instance {id} is not attached", p.name))?;
        let event = match p.name {
            "DISCOVERY" => {
                let sheet = p.number_or("sheet", 0)?;
                let how = p.raw("how")?;
                let _epoch: i64 = p.number_or("epoch", 0)?;
                let list = || {
                    let found = self.lists.get(&sheet).cloned();
                    found.ok_or_else(|| format!("DISCOVERY: list {sheet} was never set up"))
                };
                Event::ListUpdated(match how {
                    "diff" => ListUpdate::Changes(list()?),
                    "snapshot" => ListUpdate::Full(list()?),
                    "disk" => ListUpdate::Cached(list()?),
                    "error" => ListUpdate::Failed { silent_for: None },
                    v => return Err(p.bad("how", v)),
                })
            }
            "QUERY" => {
                let id = p.request()?;
                let grade = p.raw("grade")?;
                let class = *slot.classes.get(grade).ok_or_else(|| p.bad("grade", grade))?;
                let time_left = p.span("left")?;
                let owner = p.opt("owner")?;
                let tenant = owner.and_then(|t| slot.tenants.get(t).copied());
                let _flags: u64 = p.number_or("flags", 0)?;
                let age = p.real("tokenAgeMs", -1.0)?;
                let last_write_age = (age >= 0.0).then_some(Micros((age * 1e3) as u64));
                let _predicted = p.real("predicted", 0.0)?;
                let group = GroupId(p.real("partitionNo", 0.0)? as u32);
                let key = p.opt("connKey")?;
                let session = key.map(|k| u64::from_str_radix(k, 16).map_err(|_| p.bad("connKey", k)));
                let session = session.transpose()?.map(SessionKey);
                Event::RequestArrived(Request {
                    id,
                    class,
                    time_left,
                    tenant,
                    last_write_age,
                    group,
                    session,
                })
            }
            "FIRST_BYTE" => Event::AttemptStarted { id: p.request()? },
            "RETURNED" => {
                let id = p.request()?;
                let attempt = p.number("hop")?;
                let member = MemberId(p.number("member")?);
                let outcome = p.outcome()?;
                let latency = p.span("latency")?;
                let is_request_over = p.flag("final")?;
                let mark: u64 = p.number_or("mark", 0)?;
                let position = (mark / 4 > 0).then(|| LogPosition(slot.zero.saturating_add(mark / 4 * 1000)));
                let role = match mark % 4 {
                    1 => Some(Role::Primary),
                    2 => Some(Role::Replica),
                    _ => None,
                };
                let report = p.report(slot.zero)?;
                Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt,
                    member,
                    outcome,
                    latency,
                    is_request_over,
                    position,
                    role,
                    report,
                })
            }
            "LAPSED" => Event::ClientGone { id: p.request()? },
            "DEADLINE_HIT" => Event::TimerDue { token: p.number("nonce")? },
            "CHECK_RESULT" => {
                let outcome = p.outcome()?;
                let _latency = p.span("latency")?;
                let member = MemberId(p.number("member")?);
                Event::HealthCheckEnded { member, outcome, report: p.report(slot.zero)? }
            }
            "PEER_DATA" => {
                let _who: i64 = p.number("who")?;
                let octets = p.opt("octets")?.unwrap_or("");
                let bytes = STANDARD.decode(octets).map_err(|_| p.bad("octets", octets))?;
                let Ok(bytes) = <[u8; WORD_BYTES]>::try_from(bytes) else { return Ok(()) };
                let word = bytes[4..].iter().fold(0u64, |w, b| w << 8 | u64::from(*b));
                let member = MemberId(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]));
                Event::PositionGossiped {
                    member,
                    position: LogPosition(word / 2 * 1000),
                    is_primary: word % 2 == 1,
                }
            }
            other => return Err(format!("unknown message '{other}'")),
        };
        self.actions.clear();
        slot.router.handle(Time(now), event, &mut self.actions);
        if !self.actions.is_empty() && self.speaker != Some(id) {
            let _ = writeln!(self.reply, "BY\t{id}");
            self.speaker = Some(id);
        }
        for action in &self.actions {
            encode(action, &mut self.reply);
        }
        Ok(())
    }
}

fn encode(action: &Action, reply: &mut String) {
    fn text(id: &RequestId) -> &str {
        std::str::from_utf8(&id.0).unwrap_or_default()
    }
    let _ = match action {
        Action::Send { id, member, timeout } => {
            writeln!(reply, "HAND_OFF\t{}\t{}\t{}", text(id), member.0, timeout.map_or(0, |t| t.0))
        }
        Action::Reject { id, retry_after } => {
            writeln!(reply, "TURN_AWAY\t{}\t{}", text(id), retry_after.map_or(0, |t| t.0))
        }
        Action::Fail { id } => writeln!(reply, "END_FAILED\t{}", text(id)),
        Action::Cancel { id, attempt } => writeln!(reply, "RECALL\t{}\t{attempt}", text(id)),
        Action::SetTimer { token, at } => writeln!(reply, "TIMER\t{token}\t{}", at.0),
        Action::CheckHealth { member } => writeln!(reply, "POLL\t{}", member.0),
        Action::Subscribe => writeln!(reply, "WATCH\t1"),
        Action::GossipPosition { member, position, is_primary } => {
            let word = position.0 / 1000 * 2 + u64::from(*is_primary);
            let bytes = [&member.0.to_be_bytes()[..], &word.to_be_bytes()[2..]].concat();
            writeln!(reply, "POST\t*\t{}", STANDARD.encode(bytes))
        }
        Action::CloseIdleConnections { member } => writeln!(reply, "CLOSE\t{}", member.0),
    };
}
