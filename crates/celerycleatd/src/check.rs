//! `--check`.

use std::path::Path;

use cleat_settings::AnySettings;
use snafu::ResultExt;

use crate::error::{DaemonError, SettingsSnafu};

/// Checks the settings without starting anything.
pub(crate) fn check(path: &Path) -> Result<(), DaemonError> {
    AnySettings::read(path).context(SettingsSnafu)?;
    println!("{} is valid", path.display());
    Ok(())
}
