//! What operators ask of a fleet from the command line: checks of their file, its state, and changes.

use crate::cli::FleetCommand;
use linenhill_cluster::log_entry::{Declaration, DisruptionAction, DisruptionRequest};
use linenhill_cluster::protocol::{Body, Empty, OperatorReply, OperatorRequest, Status, UnavailableStatus};
use linenhill_cluster::transport::{self, InstanceIdentity};
use linenhill_settings::operator::{self, Mistake, Operator};
use miniserde::Serialize;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

/// Reads an operators' file; else each mistake as a line that names the file.
pub fn read(path: &Path) -> Result<Operator, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    operator::read(&text).map_err(|mistakes| lines(path, &mistakes))
}

fn lines(path: &Path, mistakes: &[Mistake]) -> String {
    let line = |m: &Mistake| format!("{}: {m}", path.display());
    mistakes.iter().map(line).collect::<Vec<_>>().join("\n")
}

#[derive(Serialize)]
struct MistakeDoc {
    line: usize,
    field: String,
    problem: String,
}

#[derive(Serialize)]
struct CheckDoc {
    file: String,
    ok: bool,
    mistakes: Vec<MistakeDoc>,
}

/// Checks an operators' file: what is to be printed, and whether it is fine.
pub fn check(path: &Path, json: bool) -> (String, bool) {
    let file = path.display().to_string();
    let mistakes = match std::fs::read_to_string(path) {
        Err(e) => vec![Mistake { line: 0, field: String::new(), problem: e.to_string() }],
        Ok(text) => operator::read(&text).err().unwrap_or_default(),
    };
    let ok = mistakes.is_empty();
    if !json {
        return (if ok { format!("{file}: fine") } else { lines(path, &mistakes) }, ok);
    }
    let doc = |Mistake { line, field, problem }: Mistake| MistakeDoc { line, field, problem };
    let mistakes = mistakes.into_iter().map(doc).collect();
    (miniserde::json::to_string(&CheckDoc { file, ok, mistakes }), ok)
}

#[derive(Serialize)]
struct StatusDoc {
    from: String,
    role: String,
    leader: String,
    term: u64,
    applied: u64,
    news_ms: u64,
    keepers: std::collections::BTreeMap<String, String>,
    instances: Vec<SeatDoc>,
    budgets: Vec<BudgetDoc>,
    out: Vec<OutDoc>,
}

#[derive(Serialize)]
struct OutDoc {
    thing: String,
    cause: String,
    permit: u64,
    by: String,
    reason: String,
    forced: bool,
}

#[derive(Serialize)]
struct SeatDoc {
    name: String,
    incarnation: String,
    version: String,
    zone: String,
    heard_ms: u64,
    holds: bool,
}

#[derive(Serialize)]
struct BudgetDoc {
    name: String,
    whole: u64,
    counted: u64,
    in_use: u64,
}

/// Asks a fleet, or tells it something: what is to be printed, or what went wrong.
pub async fn ask(command: FleetCommand) -> Result<String, String> {
    match command {
        FleetCommand::Status { operator, at, json } => {
            let operator = read(&operator)?;
            let (from, status) = status(&operator, at).await?;
            Ok(if json { miniserde::json::to_string(&doc(from, status)) } else { text(&from, &status) })
        }
        FleetCommand::Remove { name, operator } => {
            tell(&read(&operator)?, OperatorRequest { remove: name, ..OperatorRequest::default() }).await
        }
        FleetCommand::Declare { operator } => {
            let operator = read(&operator)?;
            let declare = Some(Declaration::from(&operator));
            tell(&operator, OperatorRequest { declare, ..OperatorRequest::default() }).await
        }
        FleetCommand::Permit { subject: thing, operator, reason, force } => {
            wish(&operator, thing, DisruptionAction::Permit, reason, force).await
        }
        FleetCommand::Back { subject: thing, operator } => {
            wish(&operator, thing, DisruptionAction::Return, String::new(), false).await
        }
        FleetCommand::Forget { subject: thing, operator } => {
            wish(&operator, thing, DisruptionAction::Forget, String::new(), false).await
        }
        FleetCommand::Replace { name, operator } => {
            tell(&read(&operator)?, OperatorRequest { replace: name, ..OperatorRequest::default() }).await
        }
    }
}

fn identity(operator: &Operator) -> InstanceIdentity {
    InstanceIdentity {
        cluster: operator.cluster.clone(),
        name: "operators".to_string(),
        incarnation: 0,
        keepers: Vec::new(),
    }
}

/// The state as the leader has it; else as any keeper has it; else as the instance that was named.
async fn status(operator: &Operator, at: Option<SocketAddr>) -> Result<(String, Status), String> {
    let (identity, mut other, mut problems) = (identity(operator), None, Vec::new());
    let keepers = operator.keepers.iter().map(|k| k.address);
    let all: Vec<SocketAddr> = at.map_or_else(|| keepers.collect(), |at| vec![at]);
    for address in all {
        match transport::call(address, identity.envelope(0, Body::StatusRequest(Empty {}))).await {
            Ok(envelope) => match envelope.body {
                Some(Body::Status(status)) if status.role == "leader" => return Ok((envelope.from, status)),
                Some(Body::Status(status)) => other = other.or(Some((envelope.from, status))),
                _ => problems.push(format!("{address}: an answer that is none")),
            },
            Err(problem) => problems.push(format!("{address}: {problem}")),
        }
    }
    other.ok_or_else(|| problems.join("\n"))
}

async fn tell(operator: &Operator, operate: OperatorRequest) -> Result<String, String> {
    let reply = transport::send_to_leader(&operator.keepers, &identity(operator), operate).await;
    let OperatorReply { ok, text, unconfirmed, .. } = reply.map_err(|error| error.to_string())?;
    let waits = if unconfirmed.is_empty() {
        String::new()
    } else {
        format!("; not confirmed yet by {}", unconfirmed.join(", "))
    };
    if ok { Ok(text + &waits) } else { Err(text) }
}

/// A wish on something that may be out.
async fn wish(
    file: &Path, thing: String, action: DisruptionAction, reason: String, force: bool,
) -> Result<String, String> {
    let outage = DisruptionRequest {
        subject: thing,
        action: action as i32,
        requested_by: "operators".into(),
        reason,
        force,
    };
    tell(&read(file)?, OperatorRequest { disruption: Some(outage), ..OperatorRequest::default() }).await
}

fn doc(from: String, status: Status) -> StatusDoc {
    let Status { role, leader, term, applied, keepers, sessions, budgets, log_age_ms, unavailable } = status;
    let seat = |s: linenhill_cluster::protocol::SessionStatus| SeatDoc {
        name: s.name,
        incarnation: format!("{:016x}", s.incarnation),
        version: s.version,
        zone: s.zone,
        heard_ms: s.last_request_age_ms,
        holds: s.has_lease,
    };
    let budget = |b: linenhill_cluster::protocol::BudgetStatus| BudgetDoc {
        name: b.name,
        whole: b.total,
        counted: b.committed,
        in_use: b.in_use,
    };
    let instances = sessions.into_iter().map(seat).collect();
    let budgets = budgets.into_iter().map(budget).collect();
    let one = |o: UnavailableStatus| {
        let UnavailableStatus { subject, cause, permit, requested_by, reason, forced } = o;
        OutDoc { thing: subject, cause, permit, by: requested_by, reason, forced }
    };
    let out = unavailable.into_iter().map(one).collect();
    StatusDoc { from, role, leader, term, applied, news_ms: log_age_ms, keepers, instances, budgets, out }
}

fn text(from: &str, status: &Status) -> String {
    let mut text = format!(
        "{from} ({}), leader {}, term {}, entry {}, news {} ms old\n",
        status.role,
        if status.leader.is_empty() { "unknown" } else { &status.leader },
        status.term,
        status.applied,
        status.log_age_ms
    );
    for (name, address) in &status.keepers {
        let _ = writeln!(text, "keeper  {name:<16} {address}");
    }
    for seat in &status.sessions {
        let lease = if seat.has_lease { "holds" } else { "no lease" };
        let _ = writeln!(
            text,
            "proxy   {:<16} {:016x} {} {} heard {} ms ago, {lease}",
            seat.name, seat.incarnation, seat.version, seat.zone, seat.last_request_age_ms
        );
    }
    for budget in &status.budgets {
        let (counted, whole, used) = (budget.committed, budget.total, budget.in_use);
        let _ = writeln!(text, "budget  {:<24} whole {whole}, counted {counted}, in use {used}", budget.name);
    }
    for o in &status.unavailable {
        let forced = if o.forced { ", against the limits" } else { "" };
        let permit = match o.permit {
            0 => "no permit".to_string(),
            number => format!("permit {number} of {}: {}{forced}", o.requested_by, o.reason),
        };
        let _ = writeln!(text, "out     {:<24} {}, {permit}", o.subject, o.cause);
    }
    text
}
