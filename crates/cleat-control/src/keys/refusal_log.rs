//! How calls that are refused for their keys are logged.
//!
//! A flood of 10,000 calls a second would write as many lines: one a second for
//! each reason says as much, with their number.

use std::time::Duration;

use indexmap::IndexMap;

use crate::events::{KeyRefusal, KeysRefused};

/// How long refusals are pending into one line: short enough for a caller who asks
/// why it was refused a moment ago.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// RefusalLog that are not logged yet.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    by_reason: IndexMap<KeyRefusal, PendingRefusals>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PendingRefusals {
    count: u64,
    logged_at: Option<Duration>,
}

impl RefusalLog {
    /// Counts a refusal; gives the line to write, if one is due.
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
        let prefix = path.rfind('/').map_or(path, |end| &path[..=end]);
        Some(KeysRefused {
            reason,
            count: std::mem::take(&mut pending.count),
            key,
            path: prefix.into(),
        })
    }
}
