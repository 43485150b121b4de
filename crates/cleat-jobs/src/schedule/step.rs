//! Steps that may run, and how they become ready.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use super::account::Charge;
use super::shares::Standing;
use super::timing::{Objective, Prospect};
use super::worker::WorkerKey;
use super::{Decision, Scheduler};
use crate::state::{ControlState, Job, Suspicion};
use crate::{JobId, Size, StepId};

/// A step whose tasks may be started.
#[derive(Clone, Debug)]
pub(crate) struct ActiveStep {
    /// Where it stands in its pool's order; lower goes first.
    pub(crate) order: Order,
    /// From when on its job is worth nothing any more.
    pub(crate) worthless_at: Duration,
    pub(crate) pool: Box<str>,
    /// Whether its starts need the adviser's permission.
    pub(crate) advised: bool,
    /// The tasks that run nowhere and are not done.
    pub(crate) pending: BTreeSet<u32>,
    /// The tasks that are done by a run which was taken as lost before.
    pub(crate) done: BTreeSet<u32>,
    /// Since when it is active.
    pub(crate) since: Duration,
    /// The position in the log since which it waits for no other step. One that
    /// was ready before this owner's time may have been started by an earlier
    /// one, so that a task that no worker lists may still run on a worker that
    /// has not answered.
    pub(crate) ready_index: u64,
    /// How many workers it needs, by how many of its tasks may run on one.
    pub(crate) min_workers: usize,
    /// How many of its tasks may run on one worker, if that is limited.
    pub(crate) most_on_one: Option<u32>,
    /// What each of its tasks takes up.
    pub(crate) footprint: Size,
    /// What each of its tasks counts for.
    pub(crate) charge: Charge,
    /// Whether its job is within its customer's share.
    pub(crate) standing: Standing,
    /// Whether its tasks start together or not at all.
    pub(crate) gang: bool,
    /// How long the longest chain from this step on takes, itself included.
    pub(crate) left: Duration,
    /// How many of its tasks run on each worker.
    pub(crate) placed: IndexMap<WorkerKey, u32>,
    /// The worker on which a task failed last.
    pub(crate) failed_on: IndexMap<u32, WorkerKey>,
    /// What crashes of workers lay on each task, of those under which any crashed.
    suspicions: IndexMap<u32, Suspicion>,
    /// The latest checkpoint that this owner saw of a task.
    checkpoints: IndexMap<u32, Box<str>>,
}

/// Which step goes first, as far as it does not change with time: the more
/// urgent, then the one that came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Order {
    pub(crate) priority: u32,
    /// Steps that run until they are cancelled go before others.
    pub(crate) ends: bool,
    /// Until when its job should be done, and which came first.
    pub(crate) due: Duration,
    pub(crate) accepted_index: u64,
    pub(crate) step: StepId,
}

impl ActiveStep {
    /// How many of its tasks start together at least.
    pub(crate) fn least_together(&self) -> u64 {
        if self.gang {
            self.pending.len() as u64
        } else {
            1
        }
    }

    /// Whether a pass has to look at it while no worker has more than `room`:
    /// permissions are asked for before there is room.
    pub(crate) fn may_fit(&self, room: Size) -> bool {
        !self.pending.is_empty() && (self.advised || self.footprint.fits(room))
    }

    /// How urgent it is by its time alone. A step that runs until it is
    /// cancelled has no end to be late with.
    pub(crate) fn prospect(&self, now: Duration) -> Prospect {
        let done = now + self.left;
        if !self.order.ends || done <= self.order.due {
            Prospect::InTime
        } else if done <= self.worthless_at {
            Prospect::Late
        } else {
            Prospect::TooLate
        }
    }

    /// Whether as many of its tasks as may be run on a worker.
    pub(crate) fn is_full_on(&self, worker: WorkerKey) -> bool {
        let placed = self.placed.get(&worker).copied().unwrap_or_default();
        self.most_on_one.is_some_and(|most| placed >= most)
    }

    pub(crate) fn place(&mut self, index: u32, worker: WorkerKey) {
        self.pending.remove(&index);
        *self.placed.entry(worker).or_default() += 1;
    }

    /// What crashes of workers lay on a task.
    pub(crate) fn suspicion(&self, index: u32) -> Suspicion {
        self.suspicions.get(&index).copied().unwrap_or_default()
    }

    /// The tasks under which workers crashed.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = (u32, Suspicion)> {
        let all = self.suspicions.iter();
        all.map(|(index, suspicion)| (*index, *suspicion))
    }

    /// Takes over what the replicated state says of crashes.
    pub(crate) fn suspect(&mut self, tasks: impl Iterator<Item = (u32, Suspicion)>) {
        self.suspicions = tasks.collect();
    }

    /// Keeps a checkpoint; an empty one says nothing.
    pub(crate) fn keep_checkpoint(&mut self, index: u32, checkpoint: Box<str>) {
        if !checkpoint.is_empty() {
            self.checkpoints.insert(index, checkpoint);
        }
    }

    pub(crate) fn checkpoint(&self, index: u32) -> Option<&str> {
        self.checkpoints.get(&index).map(|text| &**text)
    }

    pub(crate) fn take_off(&mut self, worker: WorkerKey) {
        if let Some(count) = self.placed.get_mut(&worker) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Scheduler {
    /// Makes the steps of a job that wait for nothing ready.
    pub(super) fn activate_job(&mut self, state: &ControlState, id: JobId) {
        let Some(job) = state.jobs.get(&id) else {
            return;
        };
        self.live.insert(id);
        self.meet_job(state, id, job);
        for occurrence in 0..job.spec.occurrences() {
            if job.is_occurrence_done(occurrence) {
                continue;
            }
            match job.spec.repeat {
                Some(repeat) if !self.is_due(repeat.due_ms(occurrence)) => {
                    let due_ms = repeat.due_ms(occurrence);
                    self.timed.insert((id, occurrence), due_ms);
                }
                _ => self.activate_occurrence(state, id, job, occurrence),
            }
        }
    }

    /// Whether a time of day has come; never while it is not known.
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
        let steps = 0..job.spec.steps.len();
        for step in steps.map_while(|step| u16::try_from(step).ok()) {
            let step = StepId {
                job: id,
                occurrence,
                step,
            };
            self.activate_step(state, step, job);
        }
    }

    /// Makes a step ready if it is due and not done.
    fn activate_step(&mut self, state: &ControlState, id: StepId, job: &Job) {
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
        let Objective { due, worthless_at } = objective.unwrap_or(Objective {
            due: self.now,
            worthless_at: self.now,
        });
        let chain = self.times.chain(&job.queue.name, &job.spec);
        let left = chain.get(usize::from(id.step)).copied().unwrap_or_default();
        let step = ActiveStep {
            order: Order {
                priority: job.queue.priority,
                ends: !spec.long_running,
                due,
                accepted_index: job.accepted_index,
                step: id,
            },
            worthless_at,
            pool: job.queue.pool.clone(),
            advised: job.queue.advice.is_some(),
            pending: (0..spec.count).filter(unstarted).collect(),
            done: BTreeSet::new(),
            since: self.now,
            ready_index: job.ready_index(id),
            min_workers: spec.min_workers(),
            most_on_one: spec.max_per_worker,
            footprint: spec.footprint(),
            charge,
            standing: self.standings.get(&id.job).copied().unwrap_or_default(),
            gang: spec.gang,
            left,
            placed: IndexMap::new(),
            failed_on: IndexMap::new(),
            suspicions: IndexMap::new(),
            checkpoints: IndexMap::new(),
        };
        self.make_ready(id, step.pool.clone());
        self.steps.insert(id, step);
        self.note_suspects(state, id);
    }

    /// Takes a job that is over out of everything; its runs are stopped.
    pub(super) fn job_over(&mut self, state: &ControlState, id: JobId) {
        let Some(ended) = state.ended.get(&id) else {
            return;
        };
        if !self.live.swap_remove(&id) {
            return;
        }
        self.over.push_back((self.now, id));
        self.tell(Decision::JobOver {
            job: id.to_string().into(),
            state: ended.state,
        });
        self.steps.retain(|step, _| step.job != id);
        self.timed.retain(|(job, _), _| *job != id);
        self.advice.retain(|step, _| step.job != id);
        self.paced.retain(|task, _| task.job() != id);
        self.starts.swap_remove(&id);
        self.begun.swap_remove(&id);
        self.objectives.swap_remove(&id);
        self.standings.swap_remove(&id);
        self.stop_job(id);
    }
}
