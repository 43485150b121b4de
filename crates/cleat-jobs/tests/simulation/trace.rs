//! A record of what happens in a schedule, to find the cause of a violation.

use std::time::Duration;

/// The lines of a schedule's trace, or nothing unless it is traced.
#[derive(Debug, Default)]
pub(super) struct Trace {
    lines: Option<Vec<Box<str>>>,
}

impl Trace {
    /// A trace that keeps its lines.
    pub(super) fn enabled() -> Trace {
        Trace {
            lines: Some(Vec::new()),
        }
    }

    /// Adds a line with the time in milliseconds.
    pub(super) fn record(&mut self, now: Duration, line: impl FnOnce() -> String) {
        if let Some(lines) = &mut self.lines {
            lines.push(format!("{:>6} {}", now.as_millis(), line()).into());
        }
    }

    pub(super) fn into_lines(self) -> Vec<Box<str>> {
        self.lines.unwrap_or_default()
    }
}
