//! `--check`.

use std::path::Path;

use cleat_settings::AnySettings;
use snafu::ResultExt;

use crate::error::{DaemonError, SettingsSnafu};
use crate::roles;

/// Checks the settings without starting anything.
pub(crate) fn check(path: &Path) -> Result<(), DaemonError> {
    if let AnySettings::Control(settings) = AnySettings::read(path).context(SettingsSnafu)? {
        roles::supported(&settings)?;
    }
    println!("{} is valid", path.display());
    Ok(())
}
