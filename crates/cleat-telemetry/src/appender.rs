//! Lines of the `log` macros, written as events.

use std::fmt;

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use serde::Serialize;
use snafu::ResultExt;
use tracing::subscriber::NoSubscriber;

use crate::error::{AlreadyStartedSnafu, LogConfigSnafu};
use crate::{EventLog, TelemetryError};

const LINES: &str = "lines";
/// The library for calls between instances, which logs each of them and each
/// that has no answer; whoever calls reports that where it matters.
const CALLS: &str = "tarpc";

/// One line of a `log` macro.
#[derive(Serialize)]
#[serde(tag = "event", rename = "log")]
struct LogLine<'a> {
    level: &'static str,
    part: &'a str,
    text: fmt::Arguments<'a>,
}

impl Append for EventLog {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        self.emit(&LogLine {
            level: record.level().as_str(),
            part: record.target(),
            text: *record.args(),
        });
        Ok(())
    }

    fn flush(&self) {}
}

/// Sends the lines of the `log` macros the way of the events, so that they
/// never wait for a reader either.
///
/// # Errors
/// See [`TelemetryError`].
pub fn install_logs(events: &EventLog, level: LevelFilter) -> Result<(), TelemetryError> {
    let lines = Appender::builder().build(LINES, Box::new(events.clone()));
    let root = Root::builder().appender(LINES).build(level);
    let calls = Logger::builder().build(CALLS, LevelFilter::Off);
    let config = Config::builder().appender(lines).logger(calls).build(root);
    let config = config.context(LogConfigSnafu)?;
    let installed = log4rs::init_config(config);
    installed
        .map(drop)
        .or_else(|_| AlreadyStartedSnafu.fail())?;
    disable_spans()
}

/// Disables all spans. Without a subscriber, `tracing` takes each step of a span for a line of
/// the log and asks the logger for its level, several times a call between instances. Only
/// [`CALLS`] has spans or events of `tracing` here, and its lines are off.
fn disable_spans() -> Result<(), TelemetryError> {
    let disabled = tracing::subscriber::set_global_default(NoSubscriber::default());
    disabled.or_else(|_| AlreadyStartedSnafu.fail())
}
