//! The operators' commands: checks of an operators' file, the status of a fleet, and changes to it. The leader decides
//! on changes; this module only sends requests. The output is parsed by operators' scripts.

use super::status::InstanceStatus;
use crate::cli::FleetCommand;
use linenhill_cluster::log_entry::{Declaration, DisruptionAction, DisruptionRequest};
use linenhill_cluster::protocol::{Body, Empty, OperatorRequest};
use linenhill_cluster::transport::{self, InstanceIdentity, OperatorCallError, TransportError};
use linenhill_settings::operator::{self, Mistake, Operator};
use miniserde::Serialize;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why an operators' file can't be used. Prints as one line per problem, each of which starts with the file's path.
#[derive(Debug)]
pub enum OperatorFileError {
    /// The file can't be read.
    Unreadable(PathBuf, io::Error),
    /// The file has these mistakes.
    Mistakes(PathBuf, Vec<Mistake>),
}

impl fmt::Display for OperatorFileError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OperatorFileError::Unreadable(path, error) => write!(f, "{}: {error}", path.display()),
            OperatorFileError::Mistakes(path, mistakes) => {
                let line = |mistake: &Mistake| format!("{}: {mistake}", path.display());
                f.write_str(&mistakes.iter().map(line).collect::<Vec<_>>().join("\n"))
            }
        }
    }
}

impl Error for OperatorFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            OperatorFileError::Unreadable(_, error) => Some(error),
            OperatorFileError::Mistakes(..) => None,
        }
    }
}

/// Why a fleet command failed.
#[derive(Debug)]
pub enum FleetCommandError {
    /// The operators' file can't be used.
    File(OperatorFileError),
    /// The change was not decided by a leader.
    NoLeader(OperatorCallError),
    /// The leader rejected the change. Holds the text of the leader's reply.
    Rejected(String),
    /// No instance returned a status.
    NoStatus(Vec<StatusCallError>),
}

impl fmt::Display for FleetCommandError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FleetCommandError::File(error) => error.fmt(f),
            FleetCommandError::NoLeader(error) => error.fmt(f),
            FleetCommandError::Rejected(text) => f.write_str(text),
            FleetCommandError::NoStatus(errors) => {
                f.write_str(&errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
            }
        }
    }
}

impl Error for FleetCommandError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            FleetCommandError::File(error) => Some(error),
            FleetCommandError::NoLeader(error) => Some(error),
            FleetCommandError::NoStatus(errors) => errors.first().map(|error| error as _),
            FleetCommandError::Rejected(_) => None,
        }
    }
}

impl From<OperatorFileError> for FleetCommandError {
    fn from(error: OperatorFileError) -> FleetCommandError {
        FleetCommandError::File(error)
    }
}

impl From<OperatorCallError> for FleetCommandError {
    fn from(error: OperatorCallError) -> FleetCommandError {
        FleetCommandError::NoLeader(error)
    }
}

/// Why the status of the instance at an address could not be fetched.
#[derive(Debug)]
pub enum StatusCallError {
    /// The call failed.
    Transport(SocketAddr, TransportError),
    /// The instance answered with a message that is not a status.
    UnexpectedAnswer(SocketAddr),
}

impl fmt::Display for StatusCallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StatusCallError::Transport(address, error) => write!(f, "{address}: {error}"),
            StatusCallError::UnexpectedAnswer(address) => {
                write!(f, "{address}: expected a status, received another message")
            }
        }
    }
}

impl Error for StatusCallError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            StatusCallError::Transport(_, error) => Some(error),
            StatusCallError::UnexpectedAnswer(_) => None,
        }
    }
}

/// Reads an operators' file.
///
/// # Errors
/// The file can't be read, or has mistakes, all of which are returned.
pub fn read_operator_file(path: &Path) -> Result<Operator, OperatorFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| OperatorFileError::Unreadable(path.to_path_buf(), error))?;
    operator::read(&text).map_err(|mistakes| OperatorFileError::Mistakes(path.to_path_buf(), mistakes))
}

#[derive(Serialize)]
struct MistakeDocument {
    line: usize,
    field: String,
    problem: String,
}

#[derive(Serialize)]
struct CheckDocument {
    file: String,
    #[serde(rename = "ok")]
    is_valid: bool,
    mistakes: Vec<MistakeDocument>,
}

/// The result of a check of an operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileCheck {
    /// The text or JSON to print.
    pub report: String,
    /// Whether the file can be read and has no mistakes.
    pub is_valid: bool,
}

/// Checks an operators' file and reports the result as text or as JSON.
pub fn check_operator_file(path: &Path, as_json: bool) -> FileCheck {
    let file = path.display().to_string();
    let error = read_operator_file(path).err();
    let is_valid = error.is_none();
    let report = match error {
        error if as_json => {
            let mistakes = error.map(mistake_documents).unwrap_or_default();
            miniserde::json::to_string(&CheckDocument { file, is_valid, mistakes })
        }
        None => format!("{file}: fine"),
        Some(error) => error.to_string(),
    };
    FileCheck { report, is_valid }
}

/// Converts the error for the JSON report. An unreadable file yields a single entry, with line 0 and an empty field
/// name.
fn mistake_documents(error: OperatorFileError) -> Vec<MistakeDocument> {
    match error {
        OperatorFileError::Unreadable(_, error) => {
            vec![MistakeDocument { line: 0, field: String::new(), problem: error.to_string() }]
        }
        OperatorFileError::Mistakes(_, mistakes) => {
            let document =
                |Mistake { line, field, problem }: Mistake| MistakeDocument { line, field, problem };
            mistakes.into_iter().map(document).collect()
        }
    }
}

/// Runs a fleet command. Returns the text to print.
///
/// # Errors
/// The operators' file can't be used, no instance returned a status, or the change was rejected or not decided.
pub async fn run(command: FleetCommand) -> Result<String, FleetCommandError> {
    match command {
        FleetCommand::Status { operator, at, json } => {
            let status = fetch_status(&read_operator_file(&operator)?, at).await?;
            Ok(if json { status.json() } else { status.to_string() })
        }
        FleetCommand::Declare { operator } => {
            let operator = read_operator_file(&operator)?;
            let declare = Some(Declaration::from(&operator));
            send_to_leader(&operator, OperatorRequest { declare, ..OperatorRequest::default() }).await
        }
        FleetCommand::Remove { name, operator } => {
            let request = OperatorRequest { remove: name, ..OperatorRequest::default() };
            send_to_leader(&read_operator_file(&operator)?, request).await
        }
        FleetCommand::Replace { name, operator } => {
            let request = OperatorRequest { replace: name, ..OperatorRequest::default() };
            send_to_leader(&read_operator_file(&operator)?, request).await
        }
        FleetCommand::Permit { subject, operator, reason, force } => {
            let request =
                DisruptionRequest { reason, force, ..disruption(subject, DisruptionAction::Permit) };
            change_disruption(&operator, request).await
        }
        FleetCommand::Back { subject, operator } => {
            change_disruption(&operator, disruption(subject, DisruptionAction::Return)).await
        }
        FleetCommand::Forget { subject, operator } => {
            change_disruption(&operator, disruption(subject, DisruptionAction::Forget)).await
        }
    }
}

/// The identity with which operators send requests to instances.
fn operators_identity(operator: &Operator) -> InstanceIdentity {
    InstanceIdentity {
        cluster: operator.cluster.clone(),
        name: "operators".to_string(),
        incarnation: 0,
        keepers: Vec::new(),
    }
}

/// Fetches the status of the leader, or of the first keeper that answers if none of them leads. With `address`, fetches
/// only the status of that instance.
async fn fetch_status(
    operator: &Operator, address: Option<SocketAddr>,
) -> Result<InstanceStatus, FleetCommandError> {
    let addresses = match address {
        Some(address) => vec![address],
        None => operator.keepers.iter().map(|keeper| keeper.address).collect(),
    };
    let mut first_answer = None;
    let mut errors = Vec::new();
    for address in addresses {
        match fetch_status_of(operator, address).await {
            Ok(answer) if answer.status.role == "leader" => return Ok(answer),
            Ok(answer) => first_answer = first_answer.or(Some(answer)),
            Err(error) => errors.push(error),
        }
    }
    first_answer.ok_or(FleetCommandError::NoStatus(errors))
}

async fn fetch_status_of(
    operator: &Operator, address: SocketAddr,
) -> Result<InstanceStatus, StatusCallError> {
    let request = operators_identity(operator).envelope(0, Body::StatusRequest(Empty {}));
    let answer = transport::call(address, request)
        .await
        .map_err(|error| StatusCallError::Transport(address, error))?;
    let Some(Body::Status(status)) = answer.body else {
        return Err(StatusCallError::UnexpectedAnswer(address));
    };
    Ok(InstanceStatus { from: answer.from, status })
}

/// Sends a request to the leader. Returns the text of the leader's reply, followed by the proxies that have not
/// confirmed the change yet.
async fn send_to_leader(operator: &Operator, request: OperatorRequest) -> Result<String, FleetCommandError> {
    let identity = operators_identity(operator);
    let reply = transport::send_to_leader(&operator.keepers, &identity, request).await?;
    if !reply.ok {
        return Err(FleetCommandError::Rejected(reply.text));
    }
    if reply.unconfirmed.is_empty() {
        return Ok(reply.text);
    }
    Ok(format!("{}; not confirmed yet by {}", reply.text, reply.unconfirmed.join(", ")))
}

/// A disruption request of operators, without a reason and not forced.
fn disruption(subject: String, action: DisruptionAction) -> DisruptionRequest {
    DisruptionRequest {
        subject,
        action: action as i32,
        requested_by: "operators".to_string(),
        reason: String::new(),
        force: false,
    }
}

async fn change_disruption(
    operator_file: &Path, request: DisruptionRequest,
) -> Result<String, FleetCommandError> {
    let request = OperatorRequest { disruption: Some(request), ..OperatorRequest::default() };
    send_to_leader(&read_operator_file(operator_file)?, request).await
}

#[cfg(test)]
mod tests;
