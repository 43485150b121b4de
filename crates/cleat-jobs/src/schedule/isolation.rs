//! Isolation of suspect tasks, which were running on a worker when it crashed.
//!
//! A crash is evidence against a single task only if no other task can have
//! caused it. So a task that had started right before a crash, or whose workers
//! have crashed twice, is kept apart from other tasks until it has ended, or has
//! run for so long that it is no longer a suspect. The next crash is then evidence
//! against few tasks, however many tasks crash their workers at once. Of the other
//! tasks of a crashed worker only a few start together on one worker, since most of
//! them are not the cause.
//!
//! Most suspects are not the cause of any crash, and there may be hundreds after a
//! failure of many workers. So isolation leaves a part of each pool open, and suspects
//! that are too many for a worker each share workers in quarantine. Only tasks whose
//! workers crashed repeatedly wait for a worker that they have alone.

use super::Scheduler;
use super::attempt::Attempt;
use super::decision::WaitReason;
use super::step::{ActiveStep, StepOrder};
use super::takeover::HiddenStarts;
use super::worker::WorkerKey;
use crate::collections::{IndexMap, IndexSet};
use crate::state::{ControlState, Isolation, Suspicion};
use crate::{StepId, TaskId};

/// The maximum number of suspect tasks on one worker that are not isolated, unless more
/// have to be there for all that wait to start.
const MAX_SUSPECTS_PER_WORKER: usize = 4;
/// One worker in this many is left to other work, rounded up.
const WORKERS_PER_OPEN_ONE: usize = 4;
/// Tasks in quarantine share workers if more than this many would follow each other on each.
const MAX_TASKS_IN_TURN: usize = 2;
/// At most one worker in this many is emptied for tasks that have to be isolated.
const WORKERS_PER_RESERVATION: usize = 4;
/// The number of tasks that start on a worker in quarantine before it answers again: a crash
/// is evidence against those that have just started.
const MAX_STARTS_IN_QUARANTINE: usize = 4;
/// The number of tasks that one pass examines in vain of each [`InVain`].
const MAX_UNPLACED_SUSPECTS: usize = 12;

/// How a pass isolates the suspect tasks of its pool.
#[derive(Debug, Default)]
pub(crate) struct IsolationPlan {
    /// The workers on which nothing else starts, so that they become empty.
    reserved: IndexSet<WorkerKey>,
    /// The workers that other work may use beside an isolated task, since too few of the
    /// pool's workers are not isolated.
    opened: Vec<WorkerKey>,
    /// The maximum number of tasks on a worker in quarantine: as many as have to share it so
    /// that none waits for a worker.
    max_in_quarantine: usize,
    /// The maximum number of suspect tasks on a worker that is not isolated, likewise.
    max_suspects: usize,
}

/// A task that waits for an isolated worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingSuspect {
    order: StepOrder,
    index: u32,
    /// Whether it may share a worker in quarantine.
    may_share: bool,
}

/// What tasks have in common that a pass examines in vain. Those of one kind may wait for
/// workers that others don't need.
#[derive(Debug, PartialEq, Eq, Hash)]
struct InVain {
    lacks_permission: bool,
    may_share: bool,
    label: Option<Box<str>>,
}

/// The workers of a pool that a pass may use for isolated tasks.
#[derive(Debug, Default)]
struct IsolationRoom {
    /// The workers without runs that may crash them.
    empty: Vec<WorkerKey>,
    /// The workers with tasks in quarantine only.
    quarantine: Vec<WorkerKey>,
    /// The number of empty workers that may still be isolated.
    openings: usize,
}

impl IsolationRoom {
    /// The workers for a task.
    fn workers(&self, may_share: bool) -> Vec<WorkerKey> {
        let empty: &[WorkerKey] = if self.openings > 0 { &self.empty } else { &[] };
        let shared: &[WorkerKey] = if may_share { &self.quarantine } else { &[] };
        [empty, shared].concat()
    }

    /// Records that a task was started on a worker.
    fn record_start(&mut self, key: WorkerKey, may_share: bool) {
        let Some(at) = self.empty.iter().position(|empty| *empty == key) else {
            return;
        };
        self.empty.swap_remove(at);
        self.openings = self.openings.saturating_sub(1);
        if may_share {
            self.quarantine.push(key);
        }
    }
}

impl ActiveStep {
    /// The suspect tasks of the step that wait for a start.
    pub(super) fn pending_suspects(&self) -> impl Iterator<Item = (u32, Suspicion)> {
        let suspects = self.suspect_tasks();
        suspects.filter(|(index, _)| self.pending.contains(index))
    }
}

impl Scheduler {
    /// Whether a task is running on the worker that is kept apart from others: alone, or in
    /// quarantine.
    pub(super) fn is_isolated(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.task_crashes > 0
            && self
                .uncleared_runs(key)
                .any(|run| run.suspicion.needs_isolation())
    }

    /// Whether starting a task of a step on a worker respects the isolation
    /// rules, both for the task and for those that run there.
    pub(super) fn provides_isolation(&self, step: &ActiveStep, index: u32, key: WorkerKey) -> bool {
        let suspicion = step.suspicion(index);
        match suspicion.isolation {
            Isolation::Alone => self.is_empty_of_suspects(key),
            Isolation::Quarantine => self.is_empty_of_suspects(key) || self.is_shared(key),
            Isolation::None => {
                let is_isolated = self.is_isolated(key) && !self.isolation.opened.contains(&key);
                let is_open = !self.isolation.reserved.contains(&key) && !is_isolated;
                let is_suspect = suspicion.crashes > 0 && self.workers[key].task_crashes > 0;
                is_open && (!is_suspect || self.suspect_count(key) < self.isolation.max_suspects)
            }
        }
    }

    /// Whether no run on the worker may crash it.
    fn is_empty_of_suspects(&self, key: WorkerKey) -> bool {
        self.uncleared_runs(key).next().is_none() && !self.workers[key].has_strays
    }

    /// Whether the worker is in quarantine and more tasks in quarantine may start there.
    fn is_shared(&self, key: WorkerKey) -> bool {
        let in_quarantine = |run: &Attempt| run.suspicion.isolation == Isolation::Quarantine;
        self.uncleared_runs(key).all(in_quarantine)
            && self.uncleared_runs(key).count() < self.isolation.max_in_quarantine
            && self.unconfirmed_count(key) < MAX_STARTS_IN_QUARANTINE
            && !self.workers[key].has_strays
    }

    /// The number of runs on the worker since whose start it has not answered for long enough
    /// to show that they did not crash it.
    fn unconfirmed_count(&self, key: WorkerKey) -> usize {
        let runs = self.uncleared_runs(key);
        runs.filter(|run| self.may_have_crashed_worker(run)).count()
    }

    /// Whether a task of a step starts on an isolated worker only. The members of a gang
    /// start together, so they are placed with those that need no isolation.
    pub(super) fn awaits_isolation(&self, step: &ActiveStep, index: u32) -> bool {
        !step.gang && step.suspicion(index).needs_isolation()
    }

    /// Whether all waiting tasks of a step start on isolated workers only.
    pub(super) fn only_awaits_isolation(&self, step: &ActiveStep) -> bool {
        let mut pending = step.pending.iter();
        pending.all(|index| self.awaits_isolation(step, *index))
    }

    /// Whether a task of a step is a suspect.
    pub(super) fn is_suspect_task(&self, id: StepId, index: u32) -> bool {
        let step = self.steps.get(&id);
        step.is_some_and(|step| step.suspicion(index).crashes > 0)
    }

    /// The tasks of a step, suspects first.
    pub(super) fn suspects_first(&self, id: StepId, indexes: &[u32]) -> Vec<u32> {
        let mut ordered = indexes.to_vec();
        ordered.sort_by_key(|index| !self.is_suspect_task(id, *index));
        ordered
    }

    /// The number of runs of suspect tasks on a worker that are not cleared.
    fn suspect_count(&self, key: WorkerKey) -> usize {
        let runs = self.uncleared_runs(key);
        runs.filter(|run| run.suspicion.crashes > 0).count()
    }

    /// The runs on a worker that may still crash it: those that have not run
    /// for long enough to be cleared.
    pub(super) fn uncleared_runs(&self, key: WorkerKey) -> impl Iterator<Item = &Attempt> {
        let worker = &self.workers[key];
        let tasks = worker.tasks.iter();
        let runs = tasks.filter_map(|task| Some((*task, self.attempts.get(task)?)));
        let runs = runs.chain(self.superseded.on(key));
        let uncleared = runs.filter(|(task, run)| {
            run.uses_capacity() && !worker.holds_end_of(*task, run.run) && !self.is_cleared(run)
        });
        uncleared.map(|(_, run)| run)
    }

    /// Updates the suspect tasks of a step from the replicated state.
    pub(super) fn update_suspicions(&mut self, state: &ControlState, id: StepId) {
        let job = state.jobs.get(&id.job);
        let Some((step, job)) = self.steps.get_mut(&id).zip(job) else {
            return;
        };
        step.set_suspicions(job.suspicions(id, self.owner.ordinal));
        if step.suspect_tasks().next().is_some() {
            self.suspect_steps.insert(id);
        }
    }

    /// Starts the tasks of a pool that have to be isolated, as far as the isolation of its
    /// workers is limited, and reserves workers for those that are left. `candidates` are
    /// the workers that accept any work, `isolated` those that accept work and are isolated.
    pub(super) fn place_isolated(
        &mut self,
        state: &ControlState,
        pool: &str,
        candidates: &[WorkerKey],
        isolated: &[WorkerKey],
    ) {
        let steps = &self.steps;
        self.suspect_steps.retain(|id| steps.contains_key(id));
        let waiting = self.waiting_suspects(pool);
        let count = candidates.len() + isolated.len();
        let limit = (count - count.div_ceil(WORKERS_PER_OPEN_ONE)).max(1);
        let openings = limit.saturating_sub(isolated.len());
        let suspects = self.pending_unisolated(pool);
        self.isolation = IsolationPlan {
            reserved: IndexSet::default(),
            opened: self.workers_to_open(isolated, limit),
            max_in_quarantine: self.quarantine_size(isolated, waiting.len(), limit),
            max_suspects: suspects
                .div_ceil(candidates.len().max(1))
                .max(MAX_SUSPECTS_PER_WORKER),
        };
        if waiting.is_empty() {
            return;
        }
        let mut room = self.isolation_room(candidates, isolated, openings);
        let hidden = self.hidden_starts(pool);
        let unplaced = self.start_isolated(state, waiting, &mut room, hidden);
        self.reserve_for_suspects(state, &unplaced, candidates, room.openings);
    }

    /// The workers that are opened to other work, as more than `limit` are isolated since their
    /// pool shrank: those on which no task has started for longest, as a task that crashes
    /// its worker mostly does so as it starts.
    fn workers_to_open(&self, isolated: &[WorkerKey], limit: usize) -> Vec<WorkerKey> {
        let mut opened = isolated.to_vec();
        opened.retain(|key| self.unconfirmed_count(*key) == 0);
        opened.sort_by_key(|key| self.uncleared_runs(*key).map(|run| run.started_at).max());
        opened.truncate(isolated.len().saturating_sub(limit));
        opened
    }

    /// The workers that were opened to other work in this pass.
    pub(super) fn opened_workers(&self) -> &[WorkerKey] {
        &self.isolation.opened
    }

    /// The tasks of a pool that wait for an isolated worker, in scheduling order.
    fn waiting_suspects(&self, pool: &str) -> Vec<WaitingSuspect> {
        let steps = self.suspect_steps.iter().map(|id| &*self.steps[id]);
        let in_pool = steps.filter(|step| *step.pool == *pool);
        let mut waiting: Vec<WaitingSuspect> = in_pool
            .flat_map(|step| {
                let pending = step.pending_suspects();
                let isolated = pending.filter(|(index, _)| self.awaits_isolation(step, *index));
                isolated.map(|(index, suspicion)| WaitingSuspect {
                    order: step.order,
                    index,
                    may_share: suspicion.isolation == Isolation::Quarantine,
                })
            })
            .collect();
        waiting.sort_unstable();
        waiting
    }

    /// The maximum number of tasks that share a worker in quarantine: 1 as long as few wait,
    /// else as many as have to, so that none waits while up to `limit` workers are isolated.
    fn quarantine_size(&self, isolated: &[WorkerKey], waiting: usize, limit: usize) -> usize {
        let running = isolated.iter().map(|key| self.uncleared_runs(*key).count());
        let tasks = running.sum::<usize>() + waiting;
        match tasks > MAX_TASKS_IN_TURN * limit {
            true => tasks.div_ceil(limit),
            false => 1,
        }
    }

    /// The number of waiting suspect tasks of a pool that need no isolation.
    fn pending_unisolated(&self, pool: &str) -> usize {
        let steps = self.suspect_steps.iter().map(|id| &self.steps[id]);
        let in_pool = steps.filter(|step| *step.pool == *pool);
        let suspects = in_pool.flat_map(|step| step.pending_suspects());
        suspects.filter(|(_, s)| !s.needs_isolation()).count()
    }

    fn isolation_room(
        &self,
        candidates: &[WorkerKey],
        isolated: &[WorkerKey],
        openings: usize,
    ) -> IsolationRoom {
        let mut empty = candidates.to_vec();
        empty.retain(|key| self.is_empty_of_suspects(*key));
        let mut quarantine = isolated.to_vec();
        quarantine.retain(|key| self.is_shared(*key));
        IsolationRoom {
            empty,
            quarantine,
            openings,
        }
    }

    /// Starts tasks on isolated workers, and returns those for which none has room.
    fn start_isolated(
        &mut self,
        state: &ControlState,
        waiting: Vec<WaitingSuspect>,
        room: &mut IsolationRoom,
        hidden: HiddenStarts,
    ) -> Vec<TaskId> {
        let mut unplaced = Vec::new();
        let mut in_vain: IndexMap<InVain, usize> = IndexMap::default();
        for WaitingSuspect {
            order,
            index,
            may_share,
        } in waiting
        {
            let id = order.step;
            let lacks_permission = self.lacks_permission(id, &room.workers(may_share));
            let step = &self.steps[&id];
            let kind = InVain {
                lacks_permission,
                may_share,
                label: step.required_label.clone(),
            };
            let tried = in_vain.get(&kind).copied().unwrap_or_default();
            if tried >= MAX_UNPLACED_SUSPECTS || hidden.may_include(step) {
                continue;
            }
            if self.start_window.is_full() {
                break;
            }
            match self.place_suspect(state, id, index, &room.workers(may_share)) {
                Some(key) => room.record_start(key, may_share),
                None => {
                    *in_vain.entry(kind).or_default() += 1;
                    unplaced.push(id.task(index));
                    self.log_isolation_wait(id, lacks_permission);
                }
            }
        }
        unplaced
    }

    fn log_isolation_wait(&mut self, id: StepId, lacks_permission: bool) {
        let reason = match lacks_permission {
            true => WaitReason::Permission,
            false => WaitReason::Excluded,
        };
        self.log_wait(id, reason);
    }

    /// Reserves workers of a pool for tasks that have to be isolated: those with the fewest
    /// runs that have to end first. No other task starts on them.
    fn reserve_for_suspects(
        &mut self,
        state: &ControlState,
        waiting: &[TaskId],
        candidates: &[WorkerKey],
        openings: usize,
    ) {
        let max_reserved = candidates.len().div_ceil(WORKERS_PER_RESERVATION);
        let mut reserved = IndexSet::default();
        for task in waiting.iter().take(max_reserved.min(openings)) {
            reserved.extend(self.worker_to_reserve(state, *task, candidates, &reserved));
        }
        self.isolation.reserved = reserved;
    }

    /// The worker with the fewest runs that have to end first, among those that
    /// have enough capacity for the task once these runs have ended.
    fn worker_to_reserve(
        &self,
        state: &ControlState,
        task: TaskId,
        candidates: &[WorkerKey],
        except: &IndexSet<WorkerKey>,
    ) -> Option<WorkerKey> {
        let spec = state.jobs.get(&task.job())?.step(task.step)?;
        let label = spec.required_label.as_ref();
        let candidates = self.not_refused(task.step, candidates);
        let suits = |key: &&WorkerKey| {
            let worker = &self.workers[**key];
            !except.contains(*key)
                && spec.footprint().fits(worker.record.capacity)
                && label.is_none_or(|label| worker.has_label(label))
        };
        let suitable = candidates.iter().filter(suits);
        let chosen = suitable.min_by_key(|key| (self.uncleared_runs(**key).count(), **key));
        chosen.copied()
    }
}
