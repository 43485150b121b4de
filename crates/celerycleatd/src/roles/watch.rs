//! Settings that change while the process runs.

use std::path::{Path, PathBuf};
use std::time::Duration;

use cleat_settings::AnySettings;
use log::warn;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::error::{DaemonError, ProcessSnafu};

/// How often the file is looked at where no signal tells of a change.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Calls `changed` with the new settings whenever the file's text changes.
pub(super) fn spawn(
    file: PathBuf,
    changed: impl Fn(AnySettings) + Send + 'static,
) -> Result<(), DaemonError> {
    let mut hangup = signal(SignalKind::hangup()).context(ProcessSnafu)?;
    tokio::spawn(async move {
        let mut text = read(&file);
        loop {
            tokio::select! {
                _ = hangup.recv() => {}
                () = sleep(LOOK_INTERVAL) => {}
            }
            let next = read(&file);
            if next.is_none() || next == text {
                continue;
            }
            text = next;
            let parsed = text.as_deref().map(|text| AnySettings::parse(text, &file));
            match parsed {
                Some(Ok(settings)) => changed(settings),
                Some(Err(error)) => warn!("the changed settings are not taken: {error}"),
                None => {}
            }
        }
    });
    Ok(())
}

fn read(file: &Path) -> Option<String> {
    match std::fs::read_to_string(file) {
        Ok(text) => Some(text),
        Err(error) => {
            warn!("the settings can't be looked at: {error}");
            None
        }
    }
}
