//! Stalls of this owner, in which it handles no events.
//!
//! A stalled owner does not hear its workers: their answers lie unread while the time
//! limits of its calls end. When it goes on, it therefore treats no lease as expired by what
//! it knew before. It sends another renewal, and the lease counts as expired if that fails
//! as well.

use std::time::Duration;

use super::Scheduler;
use super::worker::WorkerKey;

impl Scheduler {
    /// Records that this owner was stalled until now.
    pub(super) fn record_stall(&mut self) {
        self.stalled_until = Some(self.now);
    }

    /// Records that a renewal failed. A renewal that was sent before the end of a stall is
    /// no evidence of the worker's silence.
    pub(super) fn record_failed_renewal(&mut self, key: WorkerKey) {
        let (now, stalled_until) = (self.now, self.stalled_until);
        let worker = &mut self.workers[key];
        if stalled_until.is_none_or(|until| worker.renewal_sent_at >= until) {
            worker.confirmed_silent_at = Some(now);
        }
    }

    /// Whether a worker's lease counts as expired, given whether it `has_expired` at a time.
    /// It does so after the time of another lease at the latest, however often this owner
    /// stalls.
    pub(super) fn counts_as_expired(
        &self,
        key: WorkerKey,
        has_expired: impl Fn(Duration) -> bool,
    ) -> bool {
        let latest = self.now.saturating_sub(self.cfg.max_lease_duration());
        has_expired(self.now) && (self.is_silence_confirmed(key) || has_expired(latest))
    }

    /// Whether a renewal failed that was sent after the last stall.
    fn is_silence_confirmed(&self, key: WorkerKey) -> bool {
        let Some(stalled_until) = self.stalled_until else {
            return true;
        };
        let confirmed_at = self.workers[key].confirmed_silent_at;
        confirmed_at.is_some_and(|at| at > stalled_until)
    }
}
