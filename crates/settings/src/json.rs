//! Parsing of JSON texts with errors that name the invalid field.
//!
//! A document is parsed into a struct whose fields are all optional; mandatory fields are then unwrapped by
//! [`required`], so that the error for a missing field names it as well. This module is independent of any particular
//! document.

use miniserde::Deserialize;
use miniserde::json::{self, Array, Object, Value};
use std::error::Error;
use std::fmt;

/// Why a JSON text can't be used. Displayed as one line; fields are paths, as in `classes[2].slo`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonError {
    /// The text is not JSON.
    NotJson,
    /// The mandatory field at this path is missing.
    Missing(String),
    /// The field at this path has a value of another type, or one that does not parse. The path is empty for
    /// the document itself.
    Invalid(String),
    /// A field has a value that is not one of those expected.
    Unexpected {
        /// The path of the field.
        field: String,
        /// The values that are accepted, to be read after "must be".
        expected: &'static str,
        /// The value in the document; strings are quoted and escaped.
        received: String,
    },
}

impl JsonError {
    /// The same error with its field's path prefixed by `parent`, the field that holds the document.
    pub fn within(self, parent: &str) -> JsonError {
        let path = |field: String| format!("{parent}.{field}");
        match self {
            JsonError::NotJson => JsonError::NotJson,
            JsonError::Missing(field) => JsonError::Missing(path(field)),
            JsonError::Invalid(field) => JsonError::Invalid(path(field)),
            JsonError::Unexpected { field, expected, received } => {
                JsonError::Unexpected { field: path(field), expected, received }
            }
        }
    }
}

impl fmt::Display for JsonError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            JsonError::NotJson => write!(f, "the text is not JSON"),
            JsonError::Missing(field) => write!(f, "field '{field}' is missing"),
            JsonError::Invalid(field) if field.is_empty() => {
                write!(f, "the document is not of the expected type")
            }
            JsonError::Invalid(field) => write!(f, "field '{field}' has an invalid value"),
            JsonError::Unexpected { field, expected, received } => {
                write!(f, "field '{field}' must be {expected}, got {received}")
            }
        }
    }
}

impl Error for JsonError {}

/// Parses a JSON text into a document whose fields are all optional.
///
/// # Errors
///
/// [`JsonError::NotJson`], or [`JsonError::Invalid`] with the first field whose type does not match.
pub fn parse<T: Deserialize>(text: &str) -> Result<T, JsonError> {
    json::from_str(text).map_err(|_| match json::from_str::<Value>(text) {
        Err(_) => JsonError::NotJson,
        Ok(root) => JsonError::Invalid(first_invalid_field::<T>(&root)),
    })
}

/// The value of a mandatory field.
///
/// # Errors
///
/// [`JsonError::Missing`] if `value` is `None`.
pub fn required<T>(field: &str, value: Option<T>) -> Result<T, JsonError> {
    value.ok_or_else(|| JsonError::Missing(field.to_string()))
}

/// One step of a path into a JSON value.
enum PathStep<'a> {
    Key(&'a str),
    Index(usize),
}

/// The path of the innermost value that `T` does not accept; empty for the document itself. miniserde does not report
/// where parsing failed, so each value is tried in a document that holds nothing else.
fn first_invalid_field<T: Deserialize>(root: &Value) -> String {
    let is_invalid = |path: &[PathStep], value: &Value| {
        let document = document_of_one_value(path, value);
        json::from_str::<T>(&json::to_string(&document)).is_err()
    };
    let mut path = Vec::new();
    let mut current = root;
    loop {
        let invalid_child = children(current).into_iter().find_map(|(step, child)| {
            path.push(step);
            let found = is_invalid(&path, child);
            let step = path.pop();
            step.filter(|_| found).map(|step| (step, child))
        });
        let Some((step, child)) = invalid_child else { return path_name(&path) };
        path.push(step);
        current = child;
    }
}

/// The values directly inside an object or array.
fn children(value: &Value) -> Vec<(PathStep<'_>, &Value)> {
    match value {
        Value::Object(object) => object.iter().map(|(key, child)| (PathStep::Key(key), child)).collect(),
        Value::Array(array) => {
            array.iter().enumerate().map(|(index, child)| (PathStep::Index(index), child)).collect()
        }
        _ => Vec::new(),
    }
}

/// A document that holds only `value`, at this path; arrays along the path have one element.
fn document_of_one_value(path: &[PathStep], value: &Value) -> Value {
    path.iter().rev().fold(value.clone(), |inner, step| match step {
        PathStep::Key(key) => {
            let mut object = Object::new();
            object.insert((*key).to_string(), inner);
            Value::Object(object)
        }
        PathStep::Index(_) => {
            let mut array = Array::new();
            array.push(inner);
            Value::Array(array)
        }
    })
}

/// A path in the form that error texts use, as in `classes[2].slo`.
fn path_name(path: &[PathStep]) -> String {
    path.iter().fold(String::new(), |name, step| match step {
        PathStep::Key(key) if name.is_empty() => (*key).to_string(),
        PathStep::Key(key) => format!("{name}.{key}"),
        PathStep::Index(index) => format!("{name}[{index}]"),
    })
}
