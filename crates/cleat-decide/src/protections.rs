//! Switches that let a test show that its check notices a missing protection.

/// The protections of the decisions, all on by default.
///
/// Only tests turn one off: a check that stays green without the protection
/// that it is meant for proves nothing.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Protections {
    /// Callers are served by weight rather than in order of arrival, and a
    /// full queue displaces the caller that is furthest over its share.
    pub fair_queue: bool,
    /// The queue's length is bounded.
    pub queue_bound: bool,
    /// Requests that cannot finish in time are refused, not started.
    pub deadline: bool,
    /// Quotas are enforced.
    pub quota: bool,
    /// The times to come back are spread.
    pub spread: bool,
    /// A request is only retried if no second run can come of it.
    pub at_most_once: bool,
    /// Retries are limited to a share of successes.
    pub retry_budget: bool,
    /// No try goes to a target that holds its share of slots.
    pub share_cap: bool,
    /// Failing targets are ejected.
    pub ejection: bool,
    /// At most a share of the targets counts as ejected.
    pub ejection_bound: bool,
    /// Latency counts in the choice of a target.
    pub latency: bool,
    /// A holder that is cut off keeps its slots until its lease and the
    /// longest request deadline have passed.
    pub lease_grace: bool,
}

impl Protections {
    /// Everything on.
    pub const ALL: Protections = Protections {
        fair_queue: true,
        queue_bound: true,
        deadline: true,
        quota: true,
        spread: true,
        at_most_once: true,
        retry_budget: true,
        share_cap: true,
        ejection: true,
        ejection_bound: true,
        latency: true,
        lease_grace: true,
    };
}

impl Default for Protections {
    fn default() -> Self {
        Protections::ALL
    }
}
