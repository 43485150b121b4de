//! JSON lines on stdout, and the signal that ends a stand-in.

use serde::Serialize;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use super::{CommandError, OutputSnafu, StartSnafu};

/// Prints `value` as one line.
pub(super) fn print_line(value: &impl Serialize) -> Result<(), CommandError> {
    let line = serde_json::to_string(value).context(OutputSnafu)?;
    println!("{line}");
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
pub(super) async fn terminated() -> Result<(), CommandError> {
    let mut terminate = signal(SignalKind::terminate()).context(StartSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(StartSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
