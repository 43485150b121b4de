//! Speculative execution: a second run of a task whose first run may end too
//! late.
//!
//! The earlier run of a copied task becomes a superseded run: it keeps its
//! capacity and its charge, and the task is queued again and placed like any
//! other. The first end `done` that is committed completes the task, and the
//! other run is stopped. A task has at most one superseded run. If the copy
//! fails or is lost, the superseded run becomes the task's run again, so a
//! superseded run never exists beside a waiting task.
//!
//! Only runs that their worker has confirmed are superseded. A start without an
//! answer could still be executed after the copy has completed the task.

mod budget;
mod superseded;

use std::time::Duration;

pub(crate) use superseded::SupersededRuns;

use super::attempt::{Attempt, Phase};
use super::decision::CopyReason;
use super::ready::DISPATCH_OVERHEAD;
use super::step::{ActiveStep, StepOrder};
use super::timing::Timeliness;
use super::worker::{WorkerState, millis};
use super::{Decision, Scheduler};
use crate::schedule::log_names::task_name;
use crate::state::{ControlState, Job};
use crate::{StepSpec, TaskId};
use budget::Budgets;

/// A run counts as a straggler once it has taken this many percent of its
/// expected duration. A copy that starts later ends too late for most
/// jobs with a stretch of 1.6.
const STRAGGLER_PERCENT: u32 = 150;

/// A task that may be copied.
struct Candidate {
    /// Whether the task is a straggler, and the order of its step. Tasks of slow
    /// and silent workers come first.
    rank: (bool, StepOrder),
    task: TaskId,
    reason: CopyReason,
}

impl StepSpec {
    /// Whether tasks of the step may have two runs at a time. Best-effort tasks
    /// are slowed down on purpose, and the tasks of a gang depend on each other.
    pub(crate) fn allows_copies(&self) -> bool {
        self.speculative && !self.gang && !self.long_running && !self.fills
    }
}

impl Scheduler {
    /// Whether tasks of steps that allow it may have two runs at a time.
    pub(super) fn speculates(&self) -> bool {
        self.cfg.features.speculation_percent > 0
    }

    /// Copies the tasks whose runs may end too late, as far as there is free
    /// capacity. Called after a scheduling pass, so that waiting tasks come
    /// first.
    pub(super) fn start_copies(&mut self, state: &ControlState) {
        if !std::mem::take(&mut self.copies_due) {
            return;
        }
        let mut candidates = self.copy_candidates(state);
        if candidates.is_empty() {
            return;
        }
        candidates.sort_by_key(|candidate| candidate.rank);
        let mut budgets = Budgets::default();
        let mut queued = Vec::new();
        for Candidate { task, reason, .. } in candidates {
            if self.book_copy(state, task, &mut budgets) {
                self.supersede(task);
                queued.push((task, reason));
            }
        }
        if queued.is_empty() {
            return;
        }
        self.place_ready_steps(state);
        for (task, reason) in queued {
            if self.attempts.contains_key(&task) {
                self.log_copy(task, reason);
            } else {
                self.withdraw_copy(task);
            }
        }
    }

    fn copy_candidates(&self, state: &ControlState) -> Vec<Candidate> {
        let runs = self.attempts.iter();
        runs.filter_map(|(task, attempt)| self.copy_candidate(state, *task, attempt))
            .collect()
    }

    /// A running task as a candidate, if its run may end too late and a copy is
    /// allowed.
    fn copy_candidate(
        &self,
        state: &ControlState,
        task: TaskId,
        attempt: &Attempt,
    ) -> Option<Candidate> {
        let has_ended = self.workers[attempt.worker].holds_end_of(task, attempt.run);
        if has_ended || !matches!(attempt.phase, Phase::Running { .. }) {
            return None;
        }
        let step = self.steps.get(&task.step)?;
        let has_crashed = step.suspicion(task.index).crashes > 0;
        if !step.speculative || step.advised || has_crashed || self.superseded.contains(task) {
            return None;
        }
        let job = state.jobs.get(&task.job())?;
        let reason = self.reason_for_copy(job, step, task, attempt)?;
        if reason == CopyReason::Silent && self.may_crash_workers(job, task, attempt) {
            return None;
        }
        let is_done = step.done.contains(&task.index) || job.is_task_done(task.step, task.index);
        let may_be_done = is_done || self.awaited_ends.contains(task);
        (!may_be_done && allows_two_more_failures(job, task)).then_some(Candidate {
            rank: (reason == CopyReason::Straggler, step.order),
            task,
            reason,
        })
    }

    /// Whether a task whose worker is silent may be one that crashes its workers, with
    /// crashes that earlier owners did not record. A copy would crash another worker before
    /// this one's crash is counted.
    fn may_crash_workers(&self, job: &Job, task: TaskId, attempt: &Attempt) -> bool {
        let spec = job.step(task.step);
        let uncounted = spec.map_or(0, |spec| job.uncounted_crashes(spec, self.owner.ordinal));
        uncounted > 0 && self.may_have_crashed_worker(attempt)
    }

    /// Why a run may end too late, if it may.
    fn reason_for_copy(
        &self,
        job: &Job,
        step: &ActiveStep,
        task: TaskId,
        attempt: &Attempt,
    ) -> Option<CopyReason> {
        if self.workers[attempt.worker].state == WorkerState::Silent {
            Some(CopyReason::Silent)
        } else if self.is_straggler(job, step, task, attempt) {
            Some(CopyReason::Straggler)
        } else {
            None
        }
    }

    /// Whether a run has taken much longer than expected, and most other tasks
    /// of its step are done or its job would miss its objective if the copy
    /// started later.
    fn is_straggler(&self, job: &Job, step: &ActiveStep, task: TaskId, attempt: &Attempt) -> bool {
        let Some(spec) = job.step(task.step) else {
            return false;
        };
        let elapsed = self.now.saturating_sub(attempt.started_at);
        let queue = &job.queue.name;
        let expected = self.workload.expected_duration(queue, spec.estimate_ms);
        let unknown = expected == Duration::ZERO;
        if unknown || elapsed * 100 < expected * STRAGGLER_PERCENT {
            return false;
        }
        let progress = job.progress(task.step);
        let done = progress.map_or(0, crate::StepProgress::done_count);
        let mostly_done = done * 2 > spec.count.saturating_sub(1);
        let copy_starts_at = self.now + DISPATCH_OVERHEAD;
        match step.timeliness(copy_starts_at) {
            Timeliness::InTime => {
                mostly_done || step.spare_time(copy_starts_at) < DISPATCH_OVERHEAD
            }
            Timeliness::Late => true,
            Timeliness::TooLate => false,
        }
    }

    /// Subtracts a copy of the task from the budget of its pool if that budget,
    /// the customer's cap and the free capacity allow it now. Returns whether
    /// they do.
    fn book_copy(&self, state: &ControlState, task: TaskId, budgets: &mut Budgets) -> bool {
        let job = state.jobs.get(&task.job());
        let spec = job.and_then(|job| job.step(task.step));
        let (Some(step), Some(spec)) = (self.steps.get(&task.step), spec) else {
            return false;
        };
        let Some(earlier) = self.attempts.get(&task) else {
            return false;
        };
        if !self.accounts.allows(step.charge, 1) || !budgets.allow(self, step) {
            return false;
        }
        let mut workers = self.candidates(&step.pool);
        workers.retain(|key| *key != earlier.worker);
        let chosen = self.choose_worker(task.step, task.index, spec, &workers);
        if chosen.is_some() {
            budgets.book(step);
        }
        chosen.is_some()
    }

    fn log_copy(&mut self, task: TaskId, reason: CopyReason) {
        let (Some(copy), Some(earlier)) = (self.attempts.get(&task), self.superseded.get(task))
        else {
            return;
        };
        let decision = Decision::CopyStarted {
            task: task_name(task),
            run: copy.run.0,
            worker: self.worker_name(copy.worker),
            earlier_run: earlier.run.0,
            earlier_worker: self.worker_name(earlier.worker),
            reason,
            ran_ms: millis(self.now.saturating_sub(earlier.started_at)),
        };
        self.log(decision);
    }
}

/// Whether two more failed runs of the task do not exceed the attempts that its
/// queue allows, so that none starts after the last one.
fn allows_two_more_failures(job: &Job, task: TaskId) -> bool {
    let progress = job.progress(task.step);
    let failures = progress.map_or(0, |step| step.failures(task.index));
    failures + 2 <= job.queue.max_attempts
}
