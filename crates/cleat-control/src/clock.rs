//! The clocks that decisions are given.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// The time since the machine started, suspensions included: the ordinary
/// monotonic clock stands still while a machine is suspended, so an owner that
/// wakes up would take its leases for younger than they are.
pub(crate) fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}

/// The time of day, in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map(|since| since.as_millis()).unwrap_or_default();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
