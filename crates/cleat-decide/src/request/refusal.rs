//! Why a request was refused before any byte of it was sent.

use std::time::Duration;

/// A final answer `not-run`: the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller should come back, from now. Spread by a seed so that
    /// callers refused together do not return together.
    pub retry_after: Duration,
}

/// The causes of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The caller used up its quota; it has to slow down, or an operator
    /// raises the quota.
    OverQuota,
    /// As many requests wait as the queue allows, and none of a caller that is
    /// further over its share; add capacity or raise `queue.length`.
    QueueFull,
    /// The request displaced by one of a caller that is under its share.
    Displaced,
    /// The wait and the work together would outlast the deadline; add capacity
    /// or allow more time.
    CannotFinishInTime,
    /// The service has no target that takes requests; start one, or look why
    /// the known ones are leaving.
    NoTarget,
    /// No try reached a target and no further try is allowed; see the
    /// service's `retry` and the health of its targets.
    AttemptsExhausted,
}
