//! Why a step has to wait that a scheduling pass could not place.

use std::time::Duration;

use super::decision::WaitReason;
use super::ready::{LeftOutSteps, Rank};
use super::step::ActiveStep;
use super::worker::{Worker, WorkerKey};
use super::{Decision, Scheduler};
use crate::StepId;
use crate::collections::IndexMap;

/// The minimum interval between two log events about limited passes of one pool. It
/// bounds the log volume under any load.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The number of steps that could not be placed, by the reason why they wait.
pub(super) type UnplacedSteps = IndexMap<WaitReason, usize>;

/// The numbers of tasks of a step that a worker could run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TaskRoom {
    /// With the capacity that is free.
    now: u64,
    /// Once all runs have ended there that end by themselves.
    pub(super) after_ends: u64,
}

impl TaskRoom {
    /// The tasks that fit on a worker beside those of the step that it has already.
    pub(super) fn on(worker: &Worker, step: &ActiveStep, key: WorkerKey) -> TaskRoom {
        let placed = step.placed.get(&key).copied().unwrap_or_default();
        let most = step.max_per_worker;
        let slots = most.map_or(u64::MAX, |most| u64::from(most.saturating_sub(placed)));
        let count = |capacity| slots.min(step.footprint.count_in(capacity));
        TaskRoom {
            now: count(worker.free_capacity()),
            after_ends: count(worker.reclaimable_capacity()),
        }
    }
}

impl Scheduler {
    /// Why a step waits that was not placed on these workers.
    pub(super) fn wait_reason(&self, id: StepId, workers: &[WorkerKey]) -> WaitReason {
        let Some(step) = self.steps.get(&id) else {
            return WaitReason::Unsuitable;
        };
        if !step.advised {
            return self.wait_reason_among(step, workers);
        }
        let permitted = self.permitted(id, workers);
        let reason = self.wait_reason_among(step, &permitted);
        if reason != WaitReason::Unsuitable {
            return reason;
        }
        let not_refused = self.not_refused(id, workers);
        match self.wait_reason_among(step, &not_refused) {
            WaitReason::Unsuitable => WaitReason::Unsuitable,
            _ => WaitReason::Permission,
        }
    }

    fn wait_reason_among(&self, step: &ActiveStep, workers: &[WorkerKey]) -> WaitReason {
        let tasks = step.min_start_count();
        let (mut now, mut after_ends) = (0_u64, 0_u64);
        for key in workers {
            let worker = &self.workers[*key];
            if !step.has_label_of(worker) {
                continue;
            }
            let room = TaskRoom::on(worker, step, *key);
            if !step.gang && room.after_ends > 0 && room.now == 0 {
                return WaitReason::Capacity;
            }
            now = now.saturating_add(room.now);
            after_ends = after_ends.saturating_add(room.after_ends);
        }
        if now >= tasks {
            WaitReason::Excluded
        } else if after_ends >= tasks {
            WaitReason::Capacity
        } else {
            WaitReason::Unsuitable
        }
    }

    /// Logs why a step waits, once for each reason.
    pub(super) fn log_wait(&mut self, id: StepId, reason: WaitReason) {
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        if step.logged_waits.contains(&reason) {
            return;
        }
        step.logged_waits.push(reason);
        let decision = Decision::StepWaits {
            step: id.to_string().into(),
            pool: step.pool.clone(),
            reason,
            task_cpu_milli: step.footprint.cpu_milli,
            task_memory_mb: step.footprint.memory_mb,
            label: step.required_label.clone(),
            waiting: step.pending.len(),
        };
        self.log(decision);
    }

    /// Whether a limited pass over a pool may be logged now: one in [`LIMIT_LOG_INTERVAL`].
    pub(super) fn may_log_limited_pass(&mut self, pool: &str) -> bool {
        let ready = self.ready.get_mut(pool);
        ready.is_some_and(|ready| ready.may_log_limit(self.now, LIMIT_LOG_INTERVAL))
    }

    /// Logs that a pass over a pool ends before the steps behind `last`.
    pub(super) fn log_limited_pass(&mut self, pool: &str, last: Rank, unplaced: &UnplacedSteps) {
        let ready = self.ready.get(pool);
        let Some(next) = ready.and_then(|ready| ready.after(Some(last), &LeftOutSteps::default()))
        else {
            return;
        };
        let candidates = self.candidates(pool);
        let workers = candidates.iter().map(|key| &self.workers[*key]);
        let free_cpu_milli = workers.map(|worker| worker.free_capacity().cpu_milli).sum();
        self.log(Decision::PassLimited {
            pool: pool.into(),
            unplaced: unplaced
                .iter()
                .map(|(reason, count)| (*reason, *count))
                .collect(),
            next_step: next.step().to_string().into(),
            taking: candidates.len(),
            free_cpu_milli,
        });
    }
}
