//! The choice of the worker for a task.

use super::Scheduler;
use super::worker::WorkerKey;
use crate::collections::IndexMap;
use crate::{StepId, StepSpec};

impl Scheduler {
    /// Chooses the worker for a task: in the preferred rack, not suspected to be
    /// slow, and with the least free capacity that suffices, so that the free
    /// capacity of other workers remains for large tasks.
    pub(super) fn choose_worker(
        &self,
        id: StepId,
        index: u32,
        spec: &StepSpec,
        keys: &[WorkerKey],
    ) -> Option<WorkerKey> {
        let step = self.steps.get(&id)?;
        let footprint = spec.footprint();
        let rack = self.preferred_rack(id, spec, keys);
        let failed_on = step.failed_on.get(&index).copied();
        // A worker can't run a task twice.
        let superseded = self.superseded.get(id.task(index));
        let superseded_on = superseded.map(|run| run.worker);
        let rank = |key: &WorkerKey| {
            let worker = &self.workers[*key];
            let free = worker.free_capacity();
            let off_rack = rack.is_some() && worker.record.rack.as_deref() != rack;
            let failed = failed_on == Some(*key);
            let remaining = free.saturating_sub(footprint);
            // A best-effort task prefers the worker with the most free
            // processor time.
            let cpu = if spec.fills {
                u64::MAX - remaining.cpu_milli
            } else {
                remaining.cpu_milli
            };
            // Long-running tasks are packed on few workers, and other work
            // fills these first, so that the remaining workers become idle and
            // their machines can move to other pools.
            let may_become_idle = worker.long_running == 0;
            let isolation = self.isolation_rank(step, index, worker);
            (
                failed,
                off_rack,
                isolation,
                worker.suspected_slow,
                may_become_idle,
                cpu,
                remaining.memory_mb,
                *key,
            )
        };
        let fits = |key: &&WorkerKey| {
            let worker = &self.workers[**key];
            let label = spec.required_label.as_ref();
            let has_slot = |most| step.placed.get(*key).is_none_or(|placed| *placed < most);
            footprint.fits(worker.free_capacity())
                && superseded_on != Some(**key)
                && self.answered_recently(step, index, worker)
                && self.provides_isolation(step, index, **key)
                && label.is_none_or(|label| worker.has_label(label))
                && spec.max_per_worker.is_none_or(has_slot)
        };
        keys.iter()
            .filter(fits)
            .min_by_key(|key| rank(key))
            .copied()
    }

    /// The rack in which a step's tasks should run, if the step prefers one.
    fn preferred_rack<'a>(
        &'a self,
        id: StepId,
        spec: &'a StepSpec,
        keys: &[WorkerKey],
    ) -> Option<&'a str> {
        if let Some(rack) = &spec.data_rack {
            return Some(rack);
        }
        if !spec.rack_local {
            return None;
        }
        let placed = self.steps.get(&id)?.placed.iter();
        let mut occupied = placed.filter(|(_, count)| **count > 0).map(|(key, _)| *key);
        if let Some(key) = occupied.next() {
            return self.workers[key].record.rack.as_deref();
        }
        self.rack_with_most_free_cpu(keys)
    }

    fn rack_with_most_free_cpu(&self, keys: &[WorkerKey]) -> Option<&str> {
        let mut free_cpu: IndexMap<&str, u64> = IndexMap::default();
        for key in keys {
            let worker = &self.workers[*key];
            if let Some(rack) = worker.record.rack.as_deref() {
                *free_cpu.entry(rack).or_default() += worker.free_capacity().cpu_milli;
            }
        }
        free_cpu
            .into_iter()
            .max_by_key(|(_, free)| *free)
            .map(|(rack, _)| rack)
    }
}
