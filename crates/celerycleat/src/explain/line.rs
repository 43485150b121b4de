//! One line of a log.

use serde_json::{Map, Value};

/// Fields that every line has.
const TIME: &str = "time_ms";
const EVENT: &str = "event";
/// The field that names a customer.
const CUSTOMER: &str = "customer";

/// A line that names what is asked for.
#[derive(Debug, Clone)]
pub(super) struct Line {
    /// Milliseconds since the Unix epoch.
    pub(super) time_ms: u64,
    /// The log that it stands in.
    pub(super) source: Box<str>,
    pub(super) event: Box<str>,
    /// All other fields, sorted by name.
    pub(super) fields: Map<String, Value>,
}

impl Line {
    /// Reads a line, if it is an event. What stands before the JSON names the
    /// process, as log collectors write it.
    pub(super) fn read(file: &str, text: &str) -> Option<Line> {
        let start = text.find('{')?;
        let (prefix, json) = text.split_at(start);
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let time_ms = fields.remove(TIME)?.as_u64()?;
        let event = fields.remove(EVENT)?.as_str()?.into();
        let process = prefix.split_whitespace().last();
        let source = process.unwrap_or(file).into();
        fields.sort_keys();
        Some(Line {
            time_ms,
            source,
            event,
            fields,
        })
    }

    /// Whether it names `id`, or a part of it such as a job's task.
    pub(super) fn is_of(&self, id: &str) -> bool {
        self.fields.values().any(|value| names(value, id))
    }

    /// The customer that it names.
    pub(super) fn customer(&self) -> Option<&str> {
        self.fields.get(CUSTOMER)?.as_str()
    }

    /// The fields as text, without what only repeats `id`.
    pub(super) fn describe(&self, id: &str) -> String {
        let field = |(name, value): (&String, &Value)| {
            let text = match value {
                Value::String(text) => text.clone(),
                Value::Null => return None,
                other => other.to_string(),
            };
            let rest = text.strip_prefix(id).unwrap_or(&text);
            (!rest.is_empty()).then(|| format!("{name}={rest}"))
        };
        let fields: Vec<String> = self.fields.iter().filter_map(field).collect();
        fields.join(" ")
    }
}

/// Whether a value is the name, or that of a part such as a job's task.
fn names(value: &Value, id: &str) -> bool {
    let Some(text) = value.as_str() else {
        return false;
    };
    let rest = text.strip_prefix(id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}
