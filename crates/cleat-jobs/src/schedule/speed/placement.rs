//! The use of slow workers when tasks are placed.

use std::time::Duration;

use crate::StepId;
use crate::schedule::Scheduler;
use crate::schedule::takeover::HiddenStarts;
use crate::schedule::timing::Timeliness;
use crate::schedule::worker::WorkerKey;
use crate::state::ControlState;

/// How long a probe that is due waits for a task that is late anyway before it takes
/// one that is in time, if no other worker has room for that one. While the worker is still slow, each probe with a task
/// that is in time makes a job late.
const PROBE_WAIT_WITHOUT_ROOM: Duration = Duration::from_secs(8);
/// The same if other workers have room, so that the worker is not needed.
const PROBE_WAIT_WITH_ROOM: Duration = Duration::from_secs(30);

/// The slow workers that one scheduling pass may use.
#[derive(Debug, Default)]
pub(in crate::schedule) struct SlowWorkers {
    pub(in crate::schedule) keys: Vec<WorkerKey>,
    /// The number of runs on the other workers that end by themselves.
    running_elsewhere: usize,
    /// The number of tasks examined in this pass that wait for room.
    waiting: usize,
}

impl Scheduler {
    /// Removes the slow workers from the candidates of a pass, unless all are
    /// slow. Returns those that the pass may use: none in most passes, since
    /// free capacity of slow workers would make each pass over a full pool
    /// examine steps that fit nowhere else.
    pub(in crate::schedule) fn split_off_slow(
        &mut self,
        pool: &str,
        candidates: &mut Vec<WorkerKey>,
    ) -> SlowWorkers {
        if !self.cfg.features.worker_speed || self.speeds.workers.is_empty() {
            return SlowWorkers::default();
        }
        let slow_count = candidates.iter().filter(|key| self.is_slow(**key)).count();
        if slow_count == 0 || slow_count == candidates.len() {
            return SlowWorkers::default();
        }
        let slow = candidates.extract_if(.., |key| self.is_slow(*key));
        let slow: Vec<WorkerKey> = slow.collect();
        let due = self.speeds.pools_with_slow_workers.swap_remove(pool);
        let workers = candidates.iter().map(|key| &self.workers[*key]);
        let finite = workers.map(|worker| worker.tasks.len() - worker.long_running);
        let running_elsewhere = finite.sum();
        SlowWorkers {
            keys: if due { slow } else { Vec::new() },
            running_elsewhere,
            waiting: 0,
        }
    }

    /// Starts a task of a step on a slow worker whose probe is due. `has_room`
    /// says whether other workers may have room for the task.
    pub(in crate::schedule) fn place_probe(
        &mut self,
        state: &ControlState,
        id: StepId,
        slow: &SlowWorkers,
        hidden: HiddenStarts,
        has_room: bool,
    ) {
        let Some((job, step)) = state.jobs.get(&id.job).zip(self.steps.get(&id)) else {
            return;
        };
        let Some(spec) = job.step(id) else {
            return;
        };
        let unsuitable = spec.long_running || spec.fills || spec.gang || step.advised;
        let by_rack = spec.rack_local || spec.data_rack.is_some();
        let may_already_run = hidden.may_include(step);
        if unsuitable || by_rack || may_already_run || spec.estimate_ms == 0 {
            return;
        }
        // A copy would start too late to save the job, so tasks that may have one are
        // no exception.
        let may_be_slowed = step.timeliness(self.now) != Timeliness::InTime;
        let wait = match (may_be_slowed, has_room) {
            (true, _) => Duration::ZERO,
            (false, true) => PROBE_WAIT_WITH_ROOM,
            (false, false) => PROBE_WAIT_WITHOUT_ROOM,
        };
        let is_due = |key: &&WorkerKey| {
            let slow = self.speeds.workers.get(*key).and_then(|w| w.slow);
            slow.is_some_and(|slow| slow.needs_probe(self.now.saturating_sub(wait)))
        };
        let Some(key) = slow.keys.iter().find(is_due).copied() else {
            return;
        };
        let mut pending = step.pending.iter().copied();
        let Some(index) = pending.find(|index| step.suspicion(*index).crashes == 0) else {
            return;
        };
        // Whether the probe could start tells nothing about other workers.
        let _ = self.place_task(id, index, job, spec, &[key]);
    }

    /// Starts the remaining tasks of a step, which fit on no other worker, on
    /// slow workers where they are expected to end sooner than by waiting.
    /// Returns whether tasks are left.
    ///
    /// A task with `waiting` tasks before it waits for one of `running` runs to
    /// end `waiting + 1` times, each about `duration / running`, and then takes
    /// `duration`. On a slow worker it takes `duration / speed` from now on.
    pub(in crate::schedule) fn place_on_slow(
        &mut self,
        state: &ControlState,
        id: StepId,
        slow: &mut SlowWorkers,
        hidden: HiddenStarts,
    ) -> bool {
        let as_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        // In units of the task's duration; infinite if nothing runs elsewhere.
        let wait = as_f64(slow.waiting + 1) / as_f64(slow.running_elsewhere);
        let keys = slow.keys.iter().copied();
        let sooner: Vec<WorkerKey> = keys
            .filter(|key| 1.0 / self.speed(*key) < 1.0 + wait)
            .collect();
        let left = sooner.is_empty() || self.place_step(state, id, &sooner, hidden);
        let step = self.steps.get(&id);
        slow.waiting += step.map_or(0, |step| step.pending.len());
        left
    }
}
