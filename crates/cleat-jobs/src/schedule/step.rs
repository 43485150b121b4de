//! Active steps, which wait for no other step, and their activation.

use std::collections::BTreeSet;
use std::time::Duration;

use super::account::Charge;
use super::decision::WaitReason;
use super::pool_names::PoolKey;
use super::shares::ShareStatus;
use super::timing::{Objective, Timeliness};
use super::worker::{Worker, WorkerKey};
use super::{Decision, Scheduler};
use crate::collections::IndexMap;
use crate::state::{ControlState, Job, Suspicion};
use crate::{JobId, Size, StepId};

/// A step whose tasks may be started.
#[derive(Clone, Debug)]
pub(crate) struct ActiveStep {
    /// Its place in the scheduling order of its pool; the lowest is first.
    pub(crate) order: StepOrder,
    /// From when on its job's result has no value.
    pub(crate) zero_value_at: Duration,
    pub(crate) pool: Box<str>,
    pub(crate) pool_key: PoolKey,
    /// Whether its starts need the adviser's permission.
    pub(crate) advised: bool,
    /// The tasks that are not done and have no run.
    pub(crate) pending: BTreeSet<u32>,
    /// The tasks that were completed by a run that had counted as lost. Such a
    /// task may have another run, whose loss must not make the task
    /// pending again. A task completed by the run that the owner knows has no
    /// entry here: the owner knows at most one run of each task.
    pub(crate) done: BTreeSet<u32>,
    /// When it became active at this owner.
    pub(crate) active_since: Duration,
    /// The log position at which it became ready. If it became ready before
    /// this owner took over, an earlier owner may have started the step: a task
    /// that no worker lists may still run on a worker that has not answered.
    pub(crate) ready_index: u64,
    /// The minimum number of workers that it needs, given the maximum number of
    /// its tasks on one worker.
    pub(crate) min_workers: usize,
    /// The maximum number of its tasks on one worker, if limited.
    pub(crate) max_per_worker: Option<u32>,
    /// The label that it needs of a worker, if any.
    pub(crate) required_label: Option<Box<str>>,
    /// The resources that each of its tasks uses on a worker.
    pub(crate) footprint: Size,
    /// What each of its tasks counts for in its customer's account.
    pub(crate) charge: Charge,
    /// Whether its job is within its customer's share.
    pub(crate) share_status: ShareStatus,
    /// Whether its tasks start all together or not at all.
    pub(crate) gang: bool,
    /// Whether its tasks may have two runs at a time.
    pub(crate) speculative: bool,
    /// The expected duration of the longest chain of steps from this one on,
    /// this one included.
    pub(crate) critical_path: Duration,
    /// The number of its tasks that run on each worker.
    pub(crate) placed: IndexMap<WorkerKey, u32>,
    /// The reasons why it waits that were logged.
    pub(crate) logged_waits: Vec<WaitReason>,
    /// The worker on which each task last failed.
    pub(crate) failed_on: IndexMap<u32, WorkerKey>,
    /// The crashes that count against each task, for tasks with any.
    suspicions: IndexMap<u32, Suspicion>,
    /// The latest checkpoint of each task that this owner has seen.
    checkpoints: IndexMap<u32, Box<str>>,
}

/// The part of the scheduling order that does not change with time. The derived
/// order compares the fields from first to last: by priority, then steps that
/// run until they are cancelled before those that end by themselves, then by the
/// time when the job should be done, then by arrival, then by step id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StepOrder {
    pub(crate) priority: u32,
    /// Whether it ends by itself. Steps that run until they are cancelled go
    /// first.
    pub(crate) finite: bool,
    /// When its job should be done.
    pub(crate) due: Duration,
    /// The log position at which its job was accepted.
    pub(crate) accepted_index: u64,
    pub(crate) step: StepId,
}

impl ActiveStep {
    /// The minimum number of its tasks that start together.
    pub(crate) fn min_start_count(&self) -> u64 {
        if self.gang {
            self.pending.len() as u64
        } else {
            1
        }
    }

    /// Whether a scheduling pass has to examine the step while no worker has
    /// more free capacity than `max_free`. A step that needs permissions and has
    /// pending tasks is examined whatever the free capacity, since permissions
    /// are requested before there is capacity.
    pub(crate) fn may_fit(&self, max_free: Size) -> bool {
        !self.pending.is_empty() && (self.advised || self.footprint.fits(max_free))
    }

    /// Whether its job can still meet its objective. A step that runs until it
    /// is cancelled is always in time.
    pub(crate) fn timeliness(&self, now: Duration) -> Timeliness {
        let done = now + self.critical_path;
        if !self.order.finite || done <= self.order.due {
            Timeliness::InTime
        } else if done <= self.zero_value_at {
            Timeliness::Late
        } else {
            Timeliness::TooLate
        }
    }

    /// The latest start with this timeliness; `None` if a later start has it as
    /// well.
    pub(crate) fn latest_start(&self, timeliness: Timeliness) -> Option<Duration> {
        let done = match timeliness {
            _ if !self.order.finite => return None,
            Timeliness::InTime => self.order.due,
            Timeliness::Late => self.zero_value_at,
            Timeliness::TooLate => return None,
        };
        Some(done.saturating_sub(self.critical_path))
    }

    /// How much later its remaining steps may start without missing the job's
    /// objective.
    pub(crate) fn spare_time(&self, now: Duration) -> Duration {
        self.order.due.saturating_sub(now + self.critical_path)
    }

    /// Whether a worker has the label that it needs, if any.
    pub(crate) fn has_label_of(&self, worker: &Worker) -> bool {
        let label = self.required_label.as_ref();
        label.is_none_or(|label| worker.has_label(label))
    }

    /// Whether its maximum number of tasks runs on a worker.
    pub(crate) fn is_full_on(&self, worker: WorkerKey) -> bool {
        let placed = self.placed.get(&worker).copied().unwrap_or_default();
        self.max_per_worker.is_some_and(|most| placed >= most)
    }

    pub(crate) fn assign(&mut self, index: u32, worker: WorkerKey) {
        self.pending.remove(&index);
        *self.placed.entry(worker).or_default() += 1;
    }

    /// The crashes that count against a task.
    pub(crate) fn suspicion(&self, index: u32) -> Suspicion {
        self.suspicions.get(&index).copied().unwrap_or_default()
    }

    /// The tasks with crashes that count against them.
    pub(crate) fn suspect_tasks(&self) -> impl Iterator<Item = (u32, Suspicion)> {
        let all = self.suspicions.iter();
        all.map(|(index, suspicion)| (*index, *suspicion))
    }

    /// Replaces the crashes that count against its tasks by those of the
    /// replicated state.
    pub(crate) fn set_suspicions(&mut self, tasks: impl Iterator<Item = (u32, Suspicion)>) {
        self.suspicions = tasks.collect();
    }

    /// Stores a task's checkpoint, unless it is empty.
    pub(crate) fn store_checkpoint(&mut self, index: u32, checkpoint: Box<str>) {
        if !checkpoint.is_empty() {
            self.checkpoints.insert(index, checkpoint);
        }
    }

    pub(crate) fn checkpoint(&self, index: u32) -> Option<&str> {
        self.checkpoints.get(&index).map(|text| &**text)
    }

    pub(crate) fn unassign(&mut self, worker: WorkerKey) {
        if let Some(count) = self.placed.get_mut(&worker) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Scheduler {
    /// Activates the steps of a job that wait for no other step.
    pub(super) fn activate_job(&mut self, state: &ControlState, id: JobId) {
        let Some(job) = state.jobs.get(&id) else {
            return;
        };
        self.active_jobs.insert(id);
        self.register_job(state, id, job);
        for occurrence in 0..job.spec.occurrences() {
            if job.is_occurrence_done(occurrence) {
                continue;
            }
            match job.spec.repeat {
                Some(repeat) if !self.is_due(repeat.due_ms(occurrence)) => {
                    let due_ms = repeat.due_ms(occurrence);
                    self.future_occurrences.insert((id, occurrence), due_ms);
                }
                _ => self.activate_occurrence(state, id, job, occurrence),
            }
        }
    }

    /// Whether a time of day has come; `false` while the time of day is
    /// unknown.
    pub(super) fn is_due(&self, due_ms: u64) -> bool {
        let early = super::worker::millis(self.cfg.max_early_start);
        self.wall_ms > 0 && self.wall_ms.saturating_add(early) >= due_ms
    }

    pub(super) fn activate_occurrence(
        &mut self,
        state: &ControlState,
        id: JobId,
        job: &Job,
        occurrence: u32,
    ) {
        // Once for all steps, since each looks at all of them.
        let critical_paths = self.workload.critical_paths(&job.queue.name, &job.spec);
        for (step, critical_path) in (0..=u16::MAX).zip(critical_paths) {
            let step = StepId {
                job: id,
                occurrence,
                step,
            };
            self.activate_step(state, step, job, critical_path);
        }
    }

    /// Activates a step if it waits for no other step and is not done.
    fn activate_step(
        &mut self,
        state: &ControlState,
        id: StepId,
        job: &Job,
        critical_path: Duration,
    ) {
        let known = self.steps.contains_key(&id);
        if known || job.is_step_done(id) || !job.is_step_due(id) {
            return;
        }
        let Some(spec) = job.step(id) else {
            return;
        };
        let charge = self.charge_for(state, job, spec);
        let unstarted = |index: &u32| {
            !job.is_task_done(id, *index) && !self.attempts.contains_key(&id.task(*index))
        };
        let objective = self.objectives.get(&id.job).copied();
        let Objective { due, zero_value_at } = objective.unwrap_or(Objective {
            due: self.now,
            zero_value_at: self.now,
        });
        let step = ActiveStep {
            order: StepOrder {
                priority: job.queue.priority,
                finite: !spec.long_running,
                due,
                accepted_index: job.accepted_index,
                step: id,
            },
            zero_value_at,
            pool: job.queue.pool.clone(),
            pool_key: self.pool_names.key(&job.queue.pool),
            advised: job.queue.advice.is_some(),
            pending: (0..spec.count).filter(unstarted).collect(),
            done: BTreeSet::new(),
            active_since: self.now,
            ready_index: job.ready_index(id),
            min_workers: spec.min_workers(),
            max_per_worker: spec.max_per_worker,
            required_label: spec.required_label.clone(),
            footprint: spec.footprint(),
            charge,
            share_status: self
                .share_statuses
                .get(&id.job)
                .copied()
                .unwrap_or_default(),
            gang: spec.gang,
            speculative: self.speculates() && spec.allows_copies(),
            critical_path,
            placed: IndexMap::default(),
            logged_waits: Vec::new(),
            failed_on: IndexMap::default(),
            suspicions: IndexMap::default(),
            checkpoints: IndexMap::default(),
        };
        self.steps.insert(id, Box::new(step));
        self.mark_step_ready(id);
        self.job_steps.entry(id.job).or_default().push(id);
        self.update_suspicions(state, id);
    }

    /// Removes an ended job and its steps, and stops its runs.
    pub(super) fn remove_ended_job(&mut self, state: &ControlState, id: JobId) {
        let Some(ended) = state.ended.get(&id) else {
            return;
        };
        if !self.active_jobs.swap_remove(&id) {
            return;
        }
        self.ended_jobs.push_back((self.now, id));
        if state.stopping.contains_key(&id) {
            self.jobs_to_settle.insert(id);
        }
        self.log(Decision::JobOver {
            job: id.to_string().into(),
            state: ended.state,
        });
        for step in self.job_steps.swap_remove(&id).unwrap_or_default() {
            // Keeps the order: a customer's steps count as demand up to its cap,
            // the earlier ones first.
            let ended = self.steps.shift_remove(&step);
            if let Some(ready) = ended.and_then(|ended| self.ready.get_mut(&ended.pool)) {
                ready.parked.remove(step);
            }
        }
        self.future_occurrences.retain(|(job, _), _| *job != id);
        self.advice.retain(|step, _| step.job != id);
        self.throttle_sent_at.retain(|task, _| task.job() != id);
        self.start_counts.swap_remove(&id);
        self.started_jobs.swap_remove(&id);
        self.objectives.swap_remove(&id);
        self.share_statuses.swap_remove(&id);
        self.stop_job(id);
    }
}
