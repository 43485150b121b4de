//! Stalls of this owner, in which it handles no events.
//!
//! A stalled owner does not hear its workers: their answers lie unread while the time
//! limits of its calls end. When it goes on, it therefore treats no lease as expired by what
//! it knew before. It sends another renewal, and the lease counts as expired if that fails
//! as well.

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

    /// Whether a worker's lease counts as expired, given whether it is over. However often
    /// this owner stalls, it does so once the time of another lease has passed since this
    /// owner first saw that it is over.
    pub(super) fn counts_as_expired(&mut self, key: WorkerKey, is_over: bool) -> bool {
        if !is_over || self.is_silence_confirmed(key) {
            return is_over;
        }
        let seen_at = *self.workers[key].lease_over_seen_at.get_or_insert(self.now);
        self.now >= seen_at + self.cfg.max_lease_duration()
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
