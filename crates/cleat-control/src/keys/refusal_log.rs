//! Aggregates the log events of calls that were refused because of their API keys.
//!
//! A flood of 10,000 calls a second would otherwise write as many lines. One line a
//! second for each reason, with the number of calls, carries the same information.

use std::time::Duration;

use indexmap::IndexMap;

use crate::events::{KeyRefusal, KeysRefused};

/// The minimum interval between two lines for one reason: short enough that the log
/// explains a refusal a moment after it happened.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Refusals that were counted but not logged yet.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    by_reason: IndexMap<KeyRefusal, PendingRefusals>,
}

/// The refusals for one reason since the last log event.
#[derive(Clone, Copy, Debug, Default)]
struct PendingRefusals {
    count: u64,
    logged_at: Option<Duration>,
}

impl RefusalLog {
    /// Counts a refusal; returns the event to log, if one is due.
    pub(crate) fn record(
        &mut self,
        reason: KeyRefusal,
        key: Option<Box<str>>,
        path: &str,
        now: Duration,
    ) -> Option<KeysRefused> {
        let pending = self.by_reason.entry(reason).or_default();
        pending.count += 1;
        let logged = pending.logged_at;
        if logged.is_some_and(|at| now < at + LOG_INTERVAL) {
            return None;
        }
        pending.logged_at = Some(now);
        // Without the job ID: the event stands for calls about many jobs.
        let prefix = path.rfind('/').map_or(path, |end| &path[..=end]);
        Some(KeysRefused {
            reason,
            count: std::mem::take(&mut pending.count),
            key,
            path: prefix.into(),
        })
    }
}
