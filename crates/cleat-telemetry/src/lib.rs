//! Logs, metrics and traces.
