//! Why telemetry was not started.

use std::io;
use std::path::PathBuf;

use cadence::MetricError;
use snafu::Snafu;

/// Why telemetry was not started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum TelemetryError {
    /// The log file can't be opened. Correct `$.log.file` or the permissions.
    #[snafu(display("log file {} can't be opened: {source}", path.display()))]
    LogFile {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        source: io::Error,
    },
    /// The log configuration was refused; a fault in this crate.
    #[snafu(display("the log can't be set up: {source}"))]
    LogConfig {
        /// What the log library says.
        source: log4rs::config::runtime::ConfigErrors,
    },
    /// The process has a logger or a tracing subscriber already. Start telemetry once.
    #[snafu(display("the process has a logger or tracing subscriber already"))]
    AlreadyStarted,
    /// No UDP socket could be made for metrics. See to the system's limits and addresses.
    #[snafu(display("no UDP socket for metrics: {source}"))]
    Socket {
        /// The system's answer.
        source: io::Error,
    },
    /// The metrics sink was refused. Correct `$.metrics.statsd`.
    #[snafu(display("metrics can't be sent: {source}"))]
    Sink {
        /// What the metrics library says.
        source: MetricError,
    },
}
