//! Heartbeats: how workers become known.

use super::worker::WorkerState;
use super::{Heartbeat, Scheduler};
use crate::state::ControlState;

impl Scheduler {
    pub(super) fn beat(&mut self, state: &ControlState, beat: Heartbeat) {
        let known = self.workers.key(&beat.record.name);
        if known.is_none() && !names_pool(state, &beat.record.pool) {
            return;
        }
        let key = known.unwrap_or_else(|| self.workers.add(beat.record, self.now));
        let worker = &mut self.workers[key];
        if beat.sequence < worker.last_sequence {
            return;
        }
        worker.last_sequence = beat.sequence;
        worker.beat_at = self.now;
        let drains = beat.draining || state.draining.contains(&worker.record.name);
        let changed = drains && !worker.draining;
        worker.draining |= drains;
        if worker.state == WorkerState::Lapsed && !worker.renewing {
            worker.renewal_due = self.now;
            self.send_renewals();
        }
        if changed {
            self.unsettle_pool_of(key);
        }
    }

    /// A worker's word that it is about to end is in the replicated state.
    pub(super) fn drain(&mut self, name: &str) {
        if let Some(key) = self.workers.key(name) {
            self.workers[key].draining = true;
            self.unsettle_pool_of(key);
        }
    }
}

/// Whether the configuration names a pool. Work for a pool that it does not
/// name can't exist, so a worker there is not asked for anything; before the
/// first configuration any pool may be named by it.
fn names_pool(state: &ControlState, pool: &str) -> bool {
    let catalogue = state.catalogue.as_ref();
    catalogue.is_none_or(|catalogue| catalogue.pools.contains_key(pool))
}
