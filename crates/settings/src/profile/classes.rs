//! Converts the classes of requests. `specifics.readLevel` and `specifics.classBound` have one entry per class, in the
//! order of the classes.

use super::document::{ClassDoc, SpecificsDoc};
use super::values::{micros, micros_or_zero, required_micros, unexpected};
use crate::json::{JsonError, required};
use linenhill_decisions::api::{Class, ClassId, DeduplicationScope, Idempotency, Micros, ReadLevel};
use std::collections::BTreeMap;

/// The classes of a site, indexed by [`ClassId`], and their ids by name.
#[derive(Default)]
pub struct Classes {
    pub list: Vec<Class>,
    pub ids: BTreeMap<String, ClassId>,
}

impl Classes {
    /// The longest client timeout of any class; 0 without classes.
    pub fn max_client_timeout(&self) -> Micros {
        self.list.iter().map(|class| class.client_timeout).max().unwrap_or_default()
    }
}

/// Converts all classes.
///
/// # Errors
///
/// The first field that is missing or invalid, or a class with the name of an earlier one.
pub fn convert_classes(
    documents: Option<Vec<ClassDoc>>, specifics: &SpecificsDoc,
) -> Result<Classes, JsonError> {
    let read_levels = required("specifics.readLevel", specifics.read_level.as_deref())?;
    let bounds = specifics.class_bound.as_deref().unwrap_or_default();
    let mut classes = Classes::default();
    for (index, document) in required("classes", documents)?.into_iter().enumerate() {
        let level = required("specifics.readLevel", read_levels.get(index))?;
        let read_level = read_level(level, bounds.get(index).copied())?;
        let path = |field: &str| format!("classes[{index}].{field}");
        let class = class(&document, read_level, path)?;
        let name = required(&path("name"), document.name)?;
        if classes.ids.insert(name.clone(), ClassId(index)).is_some() {
            return Err(unexpected(&path("name"), "a name that no earlier class has", name));
        }
        classes.list.push(class);
    }
    Ok(classes)
}

fn class(
    document: &ClassDoc, read_level: ReadLevel, path: impl Fn(&str) -> String,
) -> Result<Class, JsonError> {
    Ok(Class {
        idempotency: idempotency(document, &path)?,
        latency_objective: required_micros(&path("slo"), document.slo)?,
        priority_weight: required(&path("points"), document.points)?,
        client_timeout: micros_or_zero(&path("giveUp"), document.give_up)?,
        late_weight: document.late_worth.unwrap_or(0.0),
        read_level,
    })
}

fn read_level(level: &str, bound: Option<f64>) -> Result<ReadLevel, JsonError> {
    match level {
        "mutate" => Ok(ReadLevel::Write),
        "strong" => Ok(ReadLevel::Fresh),
        "causal" => Ok(ReadLevel::Session),
        "lag_bound" => {
            let field = "specifics.classBound";
            Ok(ReadLevel::Bounded(micros(field, required(field, bound)?)?))
        }
        "eventual" => Ok(ReadLevel::Any),
        _ => Err(unexpected("specifics.readLevel", "mutate, strong, causal, lag_bound or eventual", level)),
    }
}

fn idempotency(document: &ClassDoc, path: impl Fn(&str) -> String) -> Result<Idempotency, JsonError> {
    match required(&path("semantics"), document.semantics.as_deref())? {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => Ok(Idempotency::Keyed {
            scope: deduplication_scope(document.group.as_deref()),
            window: micros_or_zero(&path("window"), document.window)?,
        }),
        "non_idempotent" => Ok(Idempotency::NotIdempotent),
        semantics => {
            let expected = "read_like, idempotency_key or non_idempotent";
            Err(unexpected(&path("semantics"), expected, semantics))
        }
    }
}

/// `Group` unless the settings have `all`: `Group` is safe in either case, since it keeps retries among members that
/// discard repeats.
fn deduplication_scope(group: Option<&str>) -> DeduplicationScope {
    match group {
        Some("all") => DeduplicationScope::All,
        _ => DeduplicationScope::Group,
    }
}
