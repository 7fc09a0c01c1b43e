//! Checks of single values, each with the error that names its field.

use crate::json::{JsonError, required};
use linenhill_decisions::api::Micros;

/// The error of a field whose value can't be served.
pub fn unserved(field: &str, expected: &'static str) -> JsonError {
    JsonError::Unexpected(field.to_string(), expected)
}

/// A duration that may be missing: it is zero then.
pub fn micros_or_zero(field: &str, value: Option<f64>) -> Result<Micros, JsonError> {
    micros_or(Micros(0), field, value)
}

/// A duration that may be missing.
pub fn micros_or(default: Micros, field: &str, value: Option<f64>) -> Result<Micros, JsonError> {
    value.map_or(Ok(default), |value| micros(field, value))
}

/// A duration that must be there.
pub fn required_micros(field: &str, value: Option<f64>) -> Result<Micros, JsonError> {
    micros(field, required(field, value)?)
}

/// A duration: any number from zero on, of which whole microseconds count.
pub fn micros(field: &str, value: f64) -> Result<Micros, JsonError> {
    let is_duration = value.is_finite() && value >= 0.0;
    if is_duration { Ok(Micros(value as u64)) } else { Err(JsonError::Invalid(field.to_string())) }
}

/// A weight from 0 to 1, which may be missing: it is 0 then.
pub fn weight_or_zero(field: &str, value: Option<f64>) -> Result<f64, JsonError> {
    let weight = value.unwrap_or(0.0);
    if (0.0..=1.0).contains(&weight) { Ok(weight) } else { Err(JsonError::Invalid(field.to_string())) }
}

/// A number that must be there and is not 0.
pub fn required_positive(field: &str, value: Option<u32>) -> Result<u32, JsonError> {
    match required(field, value)? {
        0 => Err(unserved(field, "1 or more")),
        number => Ok(number),
    }
}
