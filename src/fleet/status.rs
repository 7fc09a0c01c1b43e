//! Output of `linenhill fleet status`, as text or as JSON. Operators' scripts rely on the names of the JSON fields,
//! which must not change. Only this module maps those names to the names in the code.

use linenhill_cluster::protocol::{BudgetStatus, SessionStatus, Status, UnavailableStatus};
use miniserde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// The status of one instance.
pub struct InstanceStatus {
    /// Name of the instance that answered.
    pub from: String,
    /// Answer of the instance.
    pub status: Status,
}

impl InstanceStatus {
    /// The status as one line of JSON.
    pub fn json(self) -> String {
        miniserde::json::to_string(&StatusDocument::from(self))
    }
}

#[derive(Serialize)]
struct StatusDocument {
    from: String,
    role: String,
    leader: String,
    term: u64,
    applied: u64,
    #[serde(rename = "news_ms")]
    log_age_ms: u64,
    keepers: BTreeMap<String, String>,
    #[serde(rename = "instances")]
    sessions: Vec<SessionDocument>,
    budgets: Vec<BudgetDocument>,
    #[serde(rename = "out")]
    unavailable: Vec<UnavailableDocument>,
}

impl From<InstanceStatus> for StatusDocument {
    fn from(InstanceStatus { from, status }: InstanceStatus) -> StatusDocument {
        StatusDocument {
            from,
            role: status.role,
            leader: status.leader,
            term: status.term,
            applied: status.applied,
            log_age_ms: status.log_age_ms,
            keepers: status.keepers,
            sessions: status.sessions.into_iter().map(SessionDocument::from).collect(),
            budgets: status.budgets.into_iter().map(BudgetDocument::from).collect(),
            unavailable: status.unavailable.into_iter().map(UnavailableDocument::from).collect(),
        }
    }
}

#[derive(Serialize)]
struct SessionDocument {
    name: String,
    /// 16 hexadecimal digits.
    incarnation: String,
    version: String,
    zone: String,
    #[serde(rename = "heard_ms")]
    last_request_age_ms: u64,
    #[serde(rename = "holds")]
    has_lease: bool,
}

impl From<SessionStatus> for SessionDocument {
    fn from(session: SessionStatus) -> SessionDocument {
        SessionDocument {
            name: session.name,
            incarnation: format!("{:016x}", session.incarnation),
            version: session.version,
            zone: session.zone,
            last_request_age_ms: session.last_request_age_ms,
            has_lease: session.has_lease,
        }
    }
}

#[derive(Serialize)]
struct BudgetDocument {
    name: String,
    #[serde(rename = "whole")]
    total: u64,
    #[serde(rename = "counted")]
    committed: u64,
    in_use: u64,
}

impl From<BudgetStatus> for BudgetDocument {
    fn from(budget: BudgetStatus) -> BudgetDocument {
        let BudgetStatus { name, total, committed, in_use } = budget;
        BudgetDocument { name, total, committed, in_use }
    }
}

#[derive(Serialize)]
struct UnavailableDocument {
    #[serde(rename = "thing")]
    subject: String,
    cause: String,
    permit: u64,
    #[serde(rename = "by")]
    requested_by: String,
    reason: String,
    forced: bool,
}

impl From<UnavailableStatus> for UnavailableDocument {
    fn from(unavailable: UnavailableStatus) -> UnavailableDocument {
        let UnavailableStatus { subject, cause, permit, requested_by, reason, forced } = unavailable;
        UnavailableDocument { subject, cause, permit, requested_by, reason, forced }
    }
}

/// Formats the status as text: one line for the instance, and one for each keeper, session, budget and unavailable
/// subject.
impl fmt::Display for InstanceStatus {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let status = &self.status;
        let leader = if status.leader.is_empty() { "unknown" } else { &status.leader };
        writeln!(
            f,
            "{} ({}), leader {leader}, term {}, applied entry {}, log age {} ms",
            self.from, status.role, status.term, status.applied, status.log_age_ms
        )?;
        for (name, address) in &status.keepers {
            writeln!(f, "keeper  {name:<16} {address}")?;
        }
        status.sessions.iter().try_for_each(|session| write_session(f, session))?;
        status.budgets.iter().try_for_each(|budget| write_budget(f, budget))?;
        status.unavailable.iter().try_for_each(|unavailable| write_unavailable(f, unavailable))
    }
}

fn write_session(f: &mut fmt::Formatter, session: &SessionStatus) -> fmt::Result {
    let lease = if session.has_lease { "has lease" } else { "no lease" };
    writeln!(
        f,
        "proxy   {:<16} {:016x} {} {} last request {} ms ago, {lease}",
        session.name, session.incarnation, session.version, session.zone, session.last_request_age_ms
    )
}

fn write_budget(f: &mut fmt::Formatter, budget: &BudgetStatus) -> fmt::Result {
    let BudgetStatus { name, total, committed, in_use } = budget;
    writeln!(f, "budget  {name:<24} whole {total}, counted {committed}, in use {in_use}")
}

fn write_unavailable(f: &mut fmt::Formatter, unavailable: &UnavailableStatus) -> fmt::Result {
    let UnavailableStatus { subject, cause, permit, requested_by, reason, forced } = unavailable;
    write!(f, "out     {subject:<24} {cause}, ")?;
    if *permit == 0 {
        return writeln!(f, "no permit");
    }
    let forced_suffix = if *forced { ", forced" } else { "" };
    writeln!(f, "permit {permit} of {requested_by}: {reason}{forced_suffix}")
}

#[cfg(test)]
mod tests;
