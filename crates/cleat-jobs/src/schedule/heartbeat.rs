//! Heartbeats, by which the owner discovers workers and learns their capacity.

use super::worker::WorkerKey;
use super::{Decision, Heartbeat, Scheduler};
use crate::Size;
use crate::state::{Command, ControlState, started_ms};

impl Scheduler {
    pub(super) fn handle_heartbeat(&mut self, state: &ControlState, heartbeat: Heartbeat) {
        let name = &heartbeat.record.name;
        let known = self.workers.life(name);
        let is_outdated = self.workers.has_later_life(name);
        let is_expected = is_configured_pool(state, &heartbeat.record.pool) && !is_outdated;
        if known.is_none() && !is_expected {
            return;
        }
        let Heartbeat {
            record,
            draining,
            sequence,
        } = heartbeat;
        let capacity = record.capacity;
        let started_ms = started_ms(&record.name);
        let key = known.unwrap_or_else(|| self.workers.add(record, self.now));
        if known.is_none() {
            self.fleet_changed = true;
            self.supersede_earlier_lives(key);
        }
        let worker = &mut self.workers[key];
        worker.started_ms = worker.started_ms.or(started_ms);
        if sequence < worker.last_heartbeat_sequence {
            return;
        }
        worker.last_heartbeat_sequence = sequence;
        worker.heartbeat_at = self.now;
        let drains = draining || state.draining.contains(&worker.record.name);
        let changed = drains && !worker.draining;
        worker.draining |= drains;
        self.ask_if_unanswered(key);
        if changed {
            self.request_scheduling_for_worker(key);
        }
        self.update_capacity(key, capacity, sequence);
    }

    /// Updates a worker's capacity. The change is committed, since the next
    /// owner has to know of a smaller capacity before it starts anything there.
    fn update_capacity(&mut self, key: WorkerKey, capacity: Size, sequence: u64) {
        let worker = &mut self.workers[key];
        worker.record.history.capacity_sequence = sequence;
        let first_report = !std::mem::replace(&mut worker.capacity_known, true);
        let resized = worker.record.capacity != capacity;
        worker.record.capacity = capacity;
        if resized {
            self.capacity_gains += 1;
            self.fleet_changed = true;
            let name = worker.record.name.clone();
            self.log_capacity(key);
            self.propose(Command::Resized {
                name,
                capacity,
                sequence,
            });
        }
        if resized || first_report {
            self.request_scheduling_for_worker(key);
        }
    }

    fn log_capacity(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let decision = Decision::Resized {
            worker: worker.record.name.clone(),
            cpu_milli: worker.record.capacity.cpu_milli,
            memory_mb: worker.record.capacity.memory_mb,
            used_cpu_milli: worker.used.cpu_milli,
        };
        self.log(decision);
    }

    /// Handles a committed notice that a worker is about to end.
    pub(super) fn mark_draining(&mut self, name: &str) {
        if let Some(key) = self.workers.key(name) {
            self.workers[key].draining = true;
            self.request_scheduling_for_worker(key);
        }
    }
}

/// Whether the configuration contains a pool. A pool outside of it can't have
/// work, so its workers are ignored. Before the first configuration, workers of
/// all pools are accepted.
fn is_configured_pool(state: &ControlState, pool: &str) -> bool {
    let catalogue = state.catalogue.as_ref();
    catalogue.is_none_or(|catalogue| catalogue.pools.contains_key(pool))
}
