//! Log events of refused jobs.

use std::time::Duration;

use super::{RefusalReason, Submission};
use crate::collections::IndexMap;
use crate::schedule::{Decision, Scheduler};

/// The minimum interval between two events with the same queue, customer and reason. It
/// bounds the log volume under any load.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The queue, the customer and the reason of refusals that are logged together.
type Key = (Box<str>, Option<Box<str>>, RefusalReason);

/// The refusals since the last event.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    count: u64,
    /// After how many milliseconds the most recent caller was told to return.
    retry_after_ms: u64,
    /// The time of the last event on the owner's clock.
    logged_at: Option<Duration>,
}

/// The refusals that have not been logged, by queue, customer and reason.
#[derive(Debug, Default)]
pub(super) struct RefusalReport {
    by_key: IndexMap<Key, Refusals>,
}

impl RefusalReport {
    pub(super) fn record(&mut self, sub: &Submission<'_>, reason: RefusalReason, retry_s: u32) {
        let customer = sub.customer.map(Into::into);
        let key = (sub.queue.name.clone(), customer, reason);
        let refusals = self.by_key.entry(key).or_default();
        refusals.count += 1;
        refusals.retry_after_ms = u64::from(retry_s) * 1_000;
    }
}

impl Scheduler {
    /// Logs the refusals, at most once in [`LOG_INTERVAL`] for each key.
    pub(super) fn log_refusals(&mut self) {
        let now = self.now;
        let mut decisions = Vec::new();
        self.admission.report.by_key.retain(|key, refusals| {
            if refusals.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
                return true;
            }
            if refusals.count == 0 {
                return false;
            }
            let (queue, customer, reason) = key.clone();
            decisions.push(Decision::Refused {
                queue,
                customer,
                reason,
                count: refusals.count,
                retry_after_ms: refusals.retry_after_ms,
            });
            refusals.count = 0;
            refusals.logged_at = Some(now);
            true
        });
        for decision in decisions {
            self.log(decision);
        }
    }
}
