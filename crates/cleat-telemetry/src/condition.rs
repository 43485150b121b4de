//! Conditions that last: a line in the log when one begins and one when it ends.
//!
//! What fails for one reason may fail some hundred times a second, and hundreds of
//! lines say no more than two with the count.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Something that works, or fails for a while.
#[derive(Debug, Default)]
pub struct Condition {
    failing: Mutex<Option<Failing>>,
}

#[derive(Clone, Copy, Debug)]
struct Failing {
    since: Duration,
    failures: u64,
}

/// A time of failures that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// How many there were.
    pub failures: u64,
    /// From the first of them to the end of the condition.
    pub lasted: Duration,
}

impl Condition {
    /// Notes a failure at `now`, on any clock that never steps back; whether it
    /// is the first.
    pub fn fail(&self, now: Duration) -> bool {
        let mut failing = self.failing();
        let first = failing.is_none();
        let failing = failing.get_or_insert(Failing {
            since: now,
            failures: 0,
        });
        failing.failures += 1;
        first
    }

    /// Notes a success, or that nothing is tried any more; the failures before,
    /// if there were any.
    pub fn end(&self, now: Duration) -> Option<Outage> {
        let Failing { since, failures } = self.failing().take()?;
        Some(Outage {
            failures,
            lasted: now.saturating_sub(since),
        })
    }

    fn failing(&self) -> MutexGuard<'_, Option<Failing>> {
        self.failing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
