//! Switches that disable individual protections, so that tests can show that
//! their checks detect the loss of one.

/// The protections that the decisions apply. All are enabled by default.
///
/// Only tests disable one: a check that still passes without the protection
/// that it covers proves nothing.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Protections {
    /// Callers are served by weight instead of in order of arrival, and a full
    /// queue displaces a request of the caller furthest above its share.
    pub fair_queue: bool,
    /// The length of the queue is limited.
    pub queue_limit: bool,
    /// Requests that cannot finish before their deadline are refused without
    /// being started.
    pub deadline: bool,
    /// Quotas are enforced.
    pub quota: bool,
    /// The retry-after times of refused requests are spread at random.
    pub retry_jitter: bool,
    /// A request is retried only if the retry cannot make it run twice.
    pub at_most_once: bool,
    /// Retries are limited to a percentage of successful attempts.
    pub retry_budget: bool,
    /// A target at this entry's limit of concurrent requests gets no attempt.
    pub slot_limit: bool,
    /// Failing targets are ejected.
    pub ejection: bool,
    /// At most a fixed percentage of the targets is treated as ejected.
    pub ejection_limit: bool,
    /// The choice of a target takes latency into account.
    pub latency_weighting: bool,
    /// A lender reclaims a slot from an unreachable borrower only after the
    /// lease plus the maximum duration of a request.
    pub lease_grace: bool,
}

impl Protections {
    /// All protections enabled.
    pub const ALL: Protections = Protections {
        fair_queue: true,
        queue_limit: true,
        deadline: true,
        quota: true,
        retry_jitter: true,
        at_most_once: true,
        retry_budget: true,
        slot_limit: true,
        ejection: true,
        ejection_limit: true,
        latency_weighting: true,
        lease_grace: true,
    };
}

impl Default for Protections {
    fn default() -> Self {
        Protections::ALL
    }
}
