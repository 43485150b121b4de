//! Heartbeats: how workers become known.

use super::worker::WorkerState;
use super::{Heartbeat, Scheduler};

impl Scheduler {
    pub(super) fn beat(&mut self, beat: Heartbeat) {
        let known = self.workers.key(&beat.record.name);
        let key = known.unwrap_or_else(|| self.workers.add(beat.record, self.now));
        let worker = &mut self.workers[key];
        if beat.sequence < worker.last_sequence {
            return;
        }
        worker.last_sequence = beat.sequence;
        worker.beat_at = self.now;
        let changed = worker.draining != beat.draining;
        worker.draining = beat.draining;
        if worker.state == WorkerState::Lapsed && !worker.renewing {
            worker.renewal_due = self.now;
            self.send_renewals();
        }
        if changed {
            self.unsettle_pool_of(key);
        }
    }
}
