//! A caller's limit on requests, as a leaky bucket kept in one instant.

use std::time::Duration;

use cleat_world::Quota;

/// What a caller used of its quota.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct QuotaUse {
    /// When the requests so far would be through at the long-run rate.
    through_at: Duration,
}

impl QuotaUse {
    /// How long until `quota` allows one more request; `None` if it does now.
    pub(super) fn wait(&self, quota: &Quota, now: Duration) -> Option<Duration> {
        let burst = u32::try_from(quota.burst.saturating_sub(1)).unwrap_or(u32::MAX);
        let credit = interval(quota).saturating_mul(burst);
        let wait = self.through_at.saturating_sub(now + credit);
        (!wait.is_zero()).then_some(wait)
    }

    pub(super) fn charge(&mut self, quota: &Quota, now: Duration) {
        self.through_at = self.through_at.max(now) + interval(quota);
    }

    /// Whether nothing has to be remembered any more.
    pub(super) fn is_unused(&self, now: Duration) -> bool {
        self.through_at <= now
    }
}

/// The time between two requests at the long-run rate.
pub(super) fn interval(quota: &Quota) -> Duration {
    let per_second = u32::try_from(quota.per_second).unwrap_or(u32::MAX);
    Duration::from_secs(1) / per_second.max(1)
}
