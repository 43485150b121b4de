//! The logger of control instances; a process installs it once, so this is one test.
#![allow(clippy::unwrap_used)]

use cleat_telemetry::{EventLog, TelemetryError, install_logs};
use log::{Level, LevelFilter};
use tracing::{Span, info_span};

/// Guards against spans that reach the logger: each call between instances makes several, and
/// none of their lines is written.
#[test]
fn install_logs_disables_spans() {
    let events = EventLog::disabled();
    install_logs(&events, LevelFilter::Info).unwrap();
    assert!(tracing::dispatcher::has_been_set());
    let span = info_span!(target: "tarpc::server", "RPC");
    assert!(span.is_disabled());
    span.in_scope(|| assert!(Span::current().is_disabled()));
    assert!(log::log_enabled!(target: "cleat_control", Level::Info));
    assert!(!log::log_enabled!(target: "tarpc::server", Level::Error));
    let again = install_logs(&events, LevelFilter::Info);
    assert!(matches!(again, Err(TelemetryError::AlreadyStarted)));
}
