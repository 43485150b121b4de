//! A caller's request quota, enforced by the generic cell rate algorithm (GCRA):
//! a leaky bucket whose whole state is one point in time.

use std::time::Duration;

use cleat_world::Quota;

/// How much of its quota a caller has used.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct QuotaUsage {
    /// When the requests admitted so far would be finished at the long-run rate.
    theoretical_arrival: Duration,
}

impl QuotaUsage {
    /// How long until `quota` allows one more request; `None` if it does now.
    pub(super) fn wait(&self, quota: &Quota, now: Duration) -> Option<Duration> {
        let burst = u32::try_from(quota.burst.saturating_sub(1)).unwrap_or(u32::MAX);
        let credit = interval(quota).saturating_mul(burst);
        let wait = self.theoretical_arrival.saturating_sub(now + credit);
        (!wait.is_zero()).then_some(wait)
    }

    pub(super) fn charge(&mut self, quota: &Quota, now: Duration) {
        self.theoretical_arrival = self.theoretical_arrival.max(now) + interval(quota);
    }

    /// Whether the state equals that of a caller without any requests.
    pub(super) fn is_unused(&self, now: Duration) -> bool {
        self.theoretical_arrival <= now
    }
}

/// The time between two requests at the long-run rate.
pub(super) fn interval(quota: &Quota) -> Duration {
    let per_second = u32::try_from(quota.per_second).unwrap_or(u32::MAX);
    Duration::from_secs(1) / per_second.max(1)
}
