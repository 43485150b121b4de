//! Heartbeats: how workers become known.

use super::worker::{WorkerKey, WorkerState};
use super::{Decision, Heartbeat, Scheduler};
use crate::Size;
use crate::state::{Command, ControlState};

impl Scheduler {
    pub(super) fn beat(&mut self, state: &ControlState, beat: Heartbeat) {
        let known = self.workers.key(&beat.record.name);
        if known.is_none() && !names_pool(state, &beat.record.pool) {
            return;
        }
        let Heartbeat {
            record,
            draining,
            sequence,
        } = beat;
        let capacity = record.capacity;
        let key = known.unwrap_or_else(|| self.workers.add(record, self.now));
        let worker = &mut self.workers[key];
        if sequence < worker.last_sequence {
            return;
        }
        worker.last_sequence = sequence;
        worker.beat_at = self.now;
        let drains = draining || state.draining.contains(&worker.record.name);
        let changed = drains && !worker.draining;
        worker.draining |= drains;
        if worker.state == WorkerState::Lapsed && !worker.renewing {
            worker.renewal_due = self.now;
            self.send_renewals();
        }
        if changed {
            self.unsettle_pool_of(key);
        }
        self.take_capacity(key, capacity, sequence);
    }

    /// Takes over what a worker offers. The next owner has to know that it is less
    /// before its first start there, so it is committed.
    fn take_capacity(&mut self, key: WorkerKey, capacity: Size, sequence: u64) {
        let worker = &mut self.workers[key];
        worker.record.history.capacity_sequence = sequence;
        let first_heard = !std::mem::replace(&mut worker.sized, true);
        let resized = worker.record.capacity != capacity;
        worker.record.capacity = capacity;
        if resized {
            let name = worker.record.name.clone();
            self.tell_capacity(key);
            self.propose(Command::Resized {
                name,
                capacity,
                sequence,
            });
        }
        if resized || first_heard {
            self.unsettle_pool_of(key);
        }
    }

    fn tell_capacity(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let decision = Decision::Resized {
            worker: worker.record.name.clone(),
            cpu_milli: worker.record.capacity.cpu_milli,
            memory_mb: worker.record.capacity.memory_mb,
            used_cpu_milli: worker.used.cpu_milli,
        };
        self.tell(decision);
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
