//! The result of a command, for people and for programs.

use serde_json::Value;

/// The result of a command.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// What `--json` prints.
    pub json: Value,
    /// What people read.
    pub text: Box<str>,
}

impl Report {
    /// A report with both forms.
    pub(crate) fn new(json: Value, text: impl Into<Box<str>>) -> Report {
        let text = text.into();
        Report { json, text }
    }

    /// The text to print.
    pub fn render(&self, as_json: bool) -> Box<str> {
        if as_json {
            return pretty(&self.json);
        }
        self.text.clone()
    }
}

/// `value` over several lines.
pub(crate) fn pretty(value: &Value) -> Box<str> {
    format!("{value:#}").into()
}
