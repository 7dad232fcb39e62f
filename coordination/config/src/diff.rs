//! Differences between two configurations of a service.
use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use serde_json::Value;

use crate::Service;

/// A field that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Name of the field in JSON, with its unit.
    pub field: String,
    /// Earlier value as JSON; empty if there was none.
    pub before: String,
    /// Later value as JSON.
    pub after: String,
}

impl Display for Difference {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} -> {}", self.field, self.before, self.after)
    }
}

/// Returns the fields of `after` that differ from `before`, except the
/// operation id.
#[must_use]
pub fn diff(before: Option<&Service>, after: &Service) -> Vec<Difference> {
    let before = before.map_or(Value::Null, to_value);
    let Value::Object(fields) = to_value(after) else {
        return Vec::new();
    };
    fields
        .into_iter()
        .filter(|(field, value)| field != "operation" && before.get(field) != Some(value))
        .map(|(field, value)| Difference {
            before: before
                .get(&field)
                .map_or_else(String::new, Value::to_string),
            after: value.to_string(),
            field,
        })
        .collect()
}

fn to_value(service: &Service) -> Value {
    serde_json::to_value(service).unwrap_or_default()
}
