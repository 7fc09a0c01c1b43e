//! The fields of one message, which tabs separate. They have no names on the wire: each is read by its place, and the
//! name that a reader gives it is for errors.

use crate::error::MessageError;
use linenhill::api::{LoadReport, LogPosition, Micros, Outcome, RequestId, Role};
use std::str::{FromStr, Split};

/// What stands for a field without a value.
const ABSENT: &str = "-";
/// From this value on a number says that a member is the primary.
pub const IS_PRIMARY: f64 = 0.5;
const MICROS_PER_SECOND: f64 = 1e6;

/// The fields of a message that are not read yet.
pub struct MessageFields<'a> {
    message: &'a str,
    rest: Split<'a, char>,
}

impl<'a> MessageFields<'a> {
    /// The fields of the message on this line.
    pub fn new(line: &'a str) -> MessageFields<'a> {
        let mut rest = line.split('\t');
        let message = rest.next().unwrap_or_default();
        MessageFields { message, rest }
    }

    /// The name of the message.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// The next field.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, MessageError> {
        let missing = || MessageError::MissingField { message: self.message.to_string(), field };
        self.rest.next().ok_or_else(missing)
    }

    /// The next field; `None` if it has no value.
    pub fn optional_text(&mut self, field: &'static str) -> Result<Option<&'a str>, MessageError> {
        let text = self.text(field)?;
        Ok(Some(text).filter(|text| *text != ABSENT))
    }

    /// The error for a field of this message that holds something else than it should.
    pub fn wrong_value(&self, field: &'static str, value: impl ToString) -> MessageError {
        MessageError::WrongValue { message: self.message.to_string(), field, value: value.to_string() }
    }

    /// The next field as a number.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, MessageError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.wrong_value(field, text))
    }

    /// The next field as a number; `absent` if it has no value.
    pub fn number_or<T: FromStr>(&mut self, field: &'static str, absent: T) -> Result<T, MessageError> {
        match self.optional_text(field)? {
            None => Ok(absent),
            Some(text) => text.parse().map_err(|_| self.wrong_value(field, text)),
        }
    }

    /// The next field as a finite number; `absent` if it has no value.
    pub fn finite_or(&mut self, field: &'static str, absent: f64) -> Result<f64, MessageError> {
        let number: f64 = self.number_or(field, absent)?;
        if number.is_finite() { Ok(number) } else { Err(self.wrong_value(field, number)) }
    }

    /// The next field as a flag, 0 or 1.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, MessageError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            text => Err(self.wrong_value(field, text)),
        }
    }

    /// The next field as a request's id.
    pub fn request_id(&mut self) -> Result<RequestId, MessageError> {
        let text = self.text("ref")?;
        text.as_bytes().try_into().map(RequestId).map_err(|_| self.wrong_value("ref", text))
    }

    /// The next field as a duration in microseconds; a negative one, or none, is 0.
    pub fn duration(&mut self, field: &'static str) -> Result<Micros, MessageError> {
        let micros = self.number_or::<i64>(field, 0)?;
        Ok(Micros(u64::try_from(micros).unwrap_or(0)))
    }

    /// The next field as the outcome of an attempt or of a health check.
    pub fn outcome(&mut self) -> Result<Outcome, MessageError> {
        match self.text("code")? {
            "Ok" => Ok(Outcome::Ok),
            "Failed" => Ok(Outcome::Failed),
            "QueueFull" => Ok(Outcome::QueueFull),
            "TimedOut" => Ok(Outcome::TimedOut),
            "ConnectError" => Ok(Outcome::ConnectError),
            "ResetByPeer" => Ok(Outcome::Reset),
            "Canceled" => Ok(Outcome::Cancelled),
            "Ignored" => Ok(Outcome::NotSent),
            "Miss" => Ok(Outcome::NotApplicable),
            text => Err(self.wrong_value("code", text)),
        }
    }

    /// The next field as a member's load report: pairs of a name and a finite number. `position_origin` is the Unix time
    /// in microseconds from which the simulator counts positions, in seconds. Names that are not known are ignored.
    pub fn load_report(&mut self, position_origin: u64) -> Result<LoadReport, MessageError> {
        let mut report = LoadReport::default();
        let Some(text) = self.optional_text("pressure")? else { return Ok(report) };
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let (name, value) = parse_pair(pair).ok_or_else(|| self.wrong_value("pressure", pair))?;
            match name {
                "x0" => {
                    let micros = (value * MICROS_PER_SECOND).floor() as i64;
                    report.position = Some(LogPosition(position_origin.saturating_add_signed(micros)));
                }
                "x1" => report.role = Some(if value >= IS_PRIMARY { Role::Primary } else { Role::Replica }),
                "busy_reqs" | "pending" => report.load = Some(value),
                "cpu_share" => report.utilisation = Some(value.clamp(0.0, 1.0)),
                _ => {}
            }
        }
        Ok(report)
    }
}

/// A name and a finite number, which a colon separates.
fn parse_pair(pair: &str) -> Option<(&str, f64)> {
    let (name, value) = pair.split_once(':')?;
    let value: f64 = value.parse().ok()?;
    value.is_finite().then_some((name, value))
}
