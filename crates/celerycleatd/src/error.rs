//! Why the daemon ended.

use std::process::ExitCode;

use cleat_node::StartError;
use cleat_settings::SettingsError;
use cleat_telemetry::TelemetryError;
use snafu::Snafu;

/// The exit code for invalid settings or arguments.
pub const EXIT_INVALID: u8 = 2;

/// Why the daemon could not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// Neither `--settings` nor `--dev` was given. Give one of them.
    #[snafu(display("give --settings FILE, or --dev to try it out"))]
    NothingToRun,
    /// The settings are not valid; the source lists every fault.
    #[snafu(display("the settings cannot be used; correct what follows"))]
    Settings {
        /// The faults.
        source: SettingsError,
    },
    /// Logs, metrics or traces could not be set up.
    #[snafu(display("telemetry cannot be set up"))]
    Telemetry {
        /// Why.
        source: TelemetryError,
    },
    /// The instance could not start; nothing was changed.
    #[snafu(display("the instance cannot start"))]
    Start {
        /// Why.
        source: StartError,
    },
    /// A control instance could not start; nothing was changed.
    #[snafu(display("the control instance cannot start"))]
    Control {
        /// Why.
        source: cleat_control::StartError,
    },
    /// The settings ask for something that this release does not do. Nothing
    /// was changed.
    #[snafu(display(
        "orders: workers that get their orders with answers to heartbeats are not supported; use call"
    ))]
    OrdersByHeartbeat,
    /// An address can't be listened on.
    #[snafu(display("cannot listen"))]
    Listen {
        /// Why.
        source: cleat_http::ListenError,
    },
    /// The temporary data folder of `--dev` could not be made. Check that the
    /// folder for temporary files can be written.
    #[snafu(display("no temporary data folder can be made"))]
    TemporaryFolder {
        /// What the system says.
        source: std::io::Error,
    },
    /// Signals or threads could not be set up.
    #[snafu(display("the process cannot be set up"))]
    Process {
        /// What the system says.
        source: std::io::Error,
    },
    /// The example of `--dev` could not be put into force.
    #[snafu(display("the example cannot be set up: {step}"))]
    Example {
        /// What was to be done.
        step: &'static str,
    },
}

impl DaemonError {
    /// The exit code that tells this error from others.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            DaemonError::NothingToRun
            | DaemonError::Settings { .. }
            | DaemonError::OrdersByHeartbeat => ExitCode::from(EXIT_INVALID),
            _ => ExitCode::FAILURE,
        }
    }
}
