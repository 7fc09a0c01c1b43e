//! JSON texts whose errors name the field that is wrong.
//!
//! A document is read into a struct whose fields are all optional; what must be there is then asked for by [`required`], so
//! that a missing field is named as well. Nothing here knows any document.

use miniserde::Deserialize;
use miniserde::json::{self, Array, Object, Value};
use std::error::Error;
use std::fmt;

/// Why a JSON text can't be used. Prints as one line; fields are paths, as in `classes[2].slo`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonError {
    /// The text is no JSON.
    NotJson,
    /// A field that must be there is missing.
    Missing(String),
    /// A field holds a value of a wrong type or out of range.
    Invalid(String),
    /// A field holds a value that can't be served, and what was expected.
    Unexpected(String, &'static str),
}

impl JsonError {
    /// The same error of a document that is the field `parent` of another one.
    pub fn within(self, parent: &str) -> JsonError {
        let path = |field: String| format!("{parent}.{field}");
        match self {
            JsonError::NotJson => JsonError::NotJson,
            JsonError::Missing(field) => JsonError::Missing(path(field)),
            JsonError::Invalid(field) => JsonError::Invalid(path(field)),
            JsonError::Unexpected(field, expected) => JsonError::Unexpected(path(field), expected),
        }
    }
}

impl fmt::Display for JsonError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            JsonError::NotJson => write!(f, "the text is not JSON"),
            JsonError::Missing(field) => write!(f, "field '{field}' is missing"),
            JsonError::Invalid(field) => write!(f, "field '{field}' has a wrong value"),
            JsonError::Unexpected(field, expected) => {
                write!(f, "field '{field}' has a wrong value: expected {expected}")
            }
        }
    }
}

impl Error for JsonError {}

/// Reads a JSON text into a document whose fields are all optional.
///
/// # Errors
///
/// [`JsonError::NotJson`], or [`JsonError::Invalid`] with the first field of a wrong type.
pub fn parse<T: Deserialize>(text: &str) -> Result<T, JsonError> {
    json::from_str(text).map_err(|_| match json::from_str::<Value>(text) {
        Err(_) => JsonError::NotJson,
        Ok(root) => JsonError::Invalid(first_wrong_field::<T>(&root)),
    })
}

/// The value of a field that must be there.
///
/// # Errors
///
/// [`JsonError::Missing`] with this field.
pub fn required<T>(field: &str, value: Option<T>) -> Result<T, JsonError> {
    value.ok_or_else(|| JsonError::Missing(field.to_string()))
}

/// A step from a value of a document to one inside it.
enum PathStep<'a> {
    Key(&'a str),
    Index(usize),
}

/// The path of the innermost value that `T` does not accept, empty for the document itself. miniserde does not report where it
/// stopped, so each value is tried with nothing beside it.
fn first_wrong_field<T: Deserialize>(root: &Value) -> String {
    let is_wrong = |path: &[PathStep], value: &Value| {
        let document = document_of_one_value(path, value);
        json::from_str::<T>(&json::to_string(&document)).is_err()
    };
    let mut path = Vec::new();
    let mut current = root;
    loop {
        let wrong_child = children(current).into_iter().find_map(|(step, child)| {
            path.push(step);
            let found = is_wrong(&path, child);
            let step = path.pop();
            step.filter(|_| found).map(|step| (step, child))
        });
        let Some((step, child)) = wrong_child else { return path_name(&path) };
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

/// A document that holds one value alone, at this path; arrays on the way have one element.
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

/// A path as errors name it, as in `classes[2].slo`.
fn path_name(path: &[PathStep]) -> String {
    path.iter().fold(String::new(), |name, step| match step {
        PathStep::Key(key) if name.is_empty() => (*key).to_string(),
        PathStep::Key(key) => format!("{name}.{key}"),
        PathStep::Index(index) => format!("{name}[{index}]"),
    })
}
