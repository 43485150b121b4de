//! Refusals: final answers to requests of which no byte was sent.

use std::time::Duration;

/// A final `not-run` answer: the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// How long the caller should wait before it retries. Spread at random so
    /// that callers refused together do not return together.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The caller used up its quota. It has to slow down, or an operator has to
    /// raise the quota.
    OverQuota,
    /// The queue is full, and no caller in it is further above its share than
    /// this one. Add capacity or raise `queue.length`.
    QueueFull,
    /// The queue was full, and a request of a caller that is less far above its
    /// share took this request's place.
    Displaced,
    /// The wait and the service time together would exceed the deadline. Add
    /// capacity or allow more time.
    CannotFinishInTime,
    /// The service has no target that accepts requests. Start one, or find out
    /// why the known ones are leaving.
    NoTarget,
    /// No attempt reached a target and no further attempt is allowed. Check the
    /// service's `retry` settings and the health of its targets.
    AttemptsExhausted,
}
