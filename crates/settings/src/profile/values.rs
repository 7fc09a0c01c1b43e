//! Validation of single values; each error names the field.

use crate::json::{JsonError, required};
use linenhill_decisions::api::Micros;
use std::fmt;

/// The error of a field whose value is not one of those expected.
pub fn unexpected(field: &str, expected: &'static str, received: impl fmt::Debug) -> JsonError {
    JsonError::Unexpected { field: field.to_string(), expected, received: format!("{received:?}") }
}

/// An optional duration; 0 if it is missing.
pub fn micros_or_zero(field: &str, value: Option<f64>) -> Result<Micros, JsonError> {
    micros_or(Micros(0), field, value)
}

/// An optional duration; `default` if it is missing.
pub fn micros_or(default: Micros, field: &str, value: Option<f64>) -> Result<Micros, JsonError> {
    value.map_or(Ok(default), |value| micros(field, value))
}

/// A mandatory duration.
pub fn required_micros(field: &str, value: Option<f64>) -> Result<Micros, JsonError> {
    micros(field, required(field, value)?)
}

/// A duration: any finite number from 0, truncated to whole microseconds.
pub fn micros(field: &str, value: f64) -> Result<Micros, JsonError> {
    let is_duration = value.is_finite() && value >= 0.0;
    if is_duration {
        Ok(Micros(value as u64))
    } else {
        Err(unexpected(field, "a number of microseconds from 0", value))
    }
}

/// An optional weight from 0 to 1; 0 if it is missing.
pub fn weight_or_zero(field: &str, value: Option<f64>) -> Result<f64, JsonError> {
    let weight = value.unwrap_or(0.0);
    if (0.0..=1.0).contains(&weight) {
        Ok(weight)
    } else {
        Err(unexpected(field, "a number from 0 to 1", weight))
    }
}

/// A mandatory number of at least 1.
pub fn required_positive(field: &str, value: Option<u32>) -> Result<u32, JsonError> {
    match required(field, value)? {
        0 => Err(unexpected(field, "at least 1", 0)),
        number => Ok(number),
    }
}
