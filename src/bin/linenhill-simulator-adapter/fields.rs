//! The tab-separated fields of one message. Fields are identified by position; the names passed by callers are used
//! in errors only.

use crate::error::MessageError;
use linenhill::api::{LoadReport, LogPosition, Micros, Outcome, RequestId, Role};
use std::str::{FromStr, Split};

/// Placeholder of a field without a value.
const ABSENT: &str = "-";
/// Minimum value of a numeric role that means primary.
pub const IS_PRIMARY: f64 = 0.5;
const MICROS_PER_SECOND: f64 = 1e6;
/// Text for an expected integer in errors.
const INTEGER: &str = "an integer in range";
/// Text for an expected finite number in errors.
const FINITE: &str = "a finite number";

/// The fields of a message that have not been read yet.
pub struct MessageFields<'a> {
    message: &'a str,
    rest: Split<'a, char>,
}

impl<'a> MessageFields<'a> {
    /// Splits the message on this line into its fields.
    pub fn new(line: &'a str) -> MessageFields<'a> {
        let mut rest = line.split('\t');
        let message = rest.next().unwrap_or_default();
        MessageFields { message, rest }
    }

    /// The name of the message.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// Reads the next field.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, MessageError> {
        let missing = || MessageError::MissingField { message: self.message.to_string(), field };
        self.rest.next().ok_or_else(missing)
    }

    /// Reads the next field; `None` if it has no value.
    pub fn optional_text(&mut self, field: &'static str) -> Result<Option<&'a str>, MessageError> {
        let text = self.text(field)?;
        Ok(Some(text).filter(|text| *text != ABSENT))
    }

    /// The error for a field of this message whose value is not what was expected.
    pub fn invalid_value(
        &self, field: &'static str, expected: &'static str, value: impl ToString,
    ) -> MessageError {
        MessageError::InvalidValue {
            message: self.message.to_string(),
            field,
            expected,
            value: value.to_string(),
        }
    }

    /// Reads the next field as an integer.
    pub fn integer<T: FromStr>(&mut self, field: &'static str) -> Result<T, MessageError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.invalid_value(field, INTEGER, text))
    }

    /// Reads the next field as an integer; `absent` if it has no value.
    pub fn integer_or<T: FromStr>(&mut self, field: &'static str, absent: T) -> Result<T, MessageError> {
        self.parse_or(field, INTEGER, absent)
    }

    /// Reads the next field as a finite number; `absent` if it has no value.
    pub fn finite_or(&mut self, field: &'static str, absent: f64) -> Result<f64, MessageError> {
        let number: f64 = self.parse_or(field, FINITE, absent)?;
        if number.is_finite() { Ok(number) } else { Err(self.invalid_value(field, FINITE, number)) }
    }

    fn parse_or<T: FromStr>(
        &mut self, field: &'static str, expected: &'static str, absent: T,
    ) -> Result<T, MessageError> {
        match self.optional_text(field)? {
            None => Ok(absent),
            Some(text) => text.parse().map_err(|_| self.invalid_value(field, expected, text)),
        }
    }

    /// Reads the next field as a flag, 0 or 1.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, MessageError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            text => Err(self.invalid_value(field, "0 or 1", text)),
        }
    }

    /// Reads the next field as a request's id.
    pub fn request_id(&mut self) -> Result<RequestId, MessageError> {
        let text = self.text("ref")?;
        text.as_bytes()
            .try_into()
            .map(RequestId)
            .map_err(|_| self.invalid_value("ref", "an id of 36 bytes", text))
    }

    /// Reads the next field as a duration in microseconds; 0 if it is negative or has no value.
    pub fn duration(&mut self, field: &'static str) -> Result<Micros, MessageError> {
        let micros = self.integer_or::<i64>(field, 0)?;
        Ok(Micros(u64::try_from(micros).unwrap_or(0)))
    }

    /// Reads the next field as the outcome of an attempt or a health check.
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
            text => Err(self.invalid_value("code", "the name of an outcome", text)),
        }
    }

    /// Reads the next field as a member's load report: pairs of a name and a finite number. Positions in it are in
    /// seconds since `position_origin`, a Unix time in microseconds. Unknown names are ignored.
    pub fn load_report(&mut self, position_origin: u64) -> Result<LoadReport, MessageError> {
        let mut report = LoadReport::default();
        let Some(text) = self.optional_text("pressure")? else { return Ok(report) };
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let (name, value) = parse_pair(pair)
                .ok_or_else(|| self.invalid_value("pressure", "a name, a colon and a finite number", pair))?;
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

/// Splits a pair of a name and a finite number, separated by a colon.
fn parse_pair(pair: &str) -> Option<(&str, f64)> {
    let (name, value) = pair.split_once(':')?;
    let value: f64 = value.parse().ok()?;
    value.is_finite().then_some((name, value))
}
