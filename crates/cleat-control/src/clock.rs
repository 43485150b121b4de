//! The clocks that the scheduler's input is stamped with.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cleat_quorum::BootTime;

/// The time since the machine booted, including suspension.
pub(crate) fn boot_time() -> Duration {
    BootTime::now().since_boot()
}

/// The wall clock, in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map(|since| since.as_millis()).unwrap_or_default();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
