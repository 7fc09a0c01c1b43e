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
pub enum FormError {
    /// The text is no JSON.
    NotJson,
    /// A field that must be there is missing.
    Missing(String),
    /// A field holds a value of a wrong type or out of range.
    Wrong(String),
    /// A field holds a value that can't be served, and what was expected.
    Unserved(String, &'static str),
}

impl FormError {
    /// The same error of a document that is the field `parent` of another one.
    pub fn within(self, parent: &str) -> FormError {
        let path = |field: String| format!("{parent}.{field}");
        match self {
            FormError::NotJson => FormError::NotJson,
            FormError::Missing(field) => FormError::Missing(path(field)),
            FormError::Wrong(field) => FormError::Wrong(path(field)),
            FormError::Unserved(field, expected) => FormError::Unserved(path(field), expected),
        }
    }
}

impl fmt::Display for FormError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FormError::NotJson => write!(f, "the text is not JSON"),
            FormError::Missing(field) => write!(f, "field '{field}' is missing"),
            FormError::Wrong(field) => write!(f, "field '{field}' has a wrong value"),
            FormError::Unserved(field, expected) => {
                write!(f, "field '{field}' has a wrong value: expected {expected}")
            }
        }
    }
}

impl Error for FormError {}

/// Reads a JSON text into a document whose fields are all optional.
///
/// # Errors
///
/// [`FormError::NotJson`], or [`FormError::Wrong`] with the first field of a wrong type.
pub fn parse<T: Deserialize>(text: &str) -> Result<T, FormError> {
    json::from_str(text).map_err(|_| match json::from_str::<Value>(text) {
        Err(_) => FormError::NotJson,
        Ok(root) => FormError::Wrong(first_wrong_field::<T>(&root)),
    })
}

/// The value of a field that must be there.
///
/// # Errors
///
/// [`FormError::Missing`] with this field.
pub fn required<T>(field: &str, value: Option<T>) -> Result<T, FormError> {
    value.ok_or_else(|| FormError::Missing(field.to_string()))
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
