//! Replicated jobs and their progress.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::command::{End, EndKind};
use super::crash::{CrashedRun, Suspicion, TaskCrashes};
use crate::{JobSpec, Queue, Size, StepId, StepSpec};

const WORD_BITS: u32 = 64;

/// The state of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted and not ended.
    Active,
    /// All tasks are done.
    Completed,
    /// A task reached the queue's limit of failed attempts, or crashed its workers.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// An active job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that it was submitted to.
    pub queue: Arc<Queue>,
    /// The customer that the job belongs to, if any. An accepted job keeps its customer
    /// when the customer's keys are revoked or the customer is removed.
    pub customer: Option<Box<str>>,
    /// The submitted specification.
    pub spec: Arc<JobSpec>,
    /// The log position at which it was accepted.
    pub accepted_index: u64,
    /// The ordinal of the owner at that position.
    pub accepted_ordinal: u32,
    /// When the submission arrived, as in [`Command::Submit`](super::Command::Submit).
    pub arrived_ms: u64,
    /// The progress of the unfinished occurrences of which an end or a crash was
    /// recorded, by number.
    pub occurrences: IndexMap<u32, Occurrence>,
    /// A bit for each occurrence that is done. A done occurrence is removed from
    /// `occurrences`.
    pub occurrences_done: Vec<u64>,
}

/// A job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Its final state; never [`JobState::Active`].
    pub state: JobState,
    /// The customer that the job belonged to, if any.
    pub customer: Option<Box<str>>,
    /// The maximum of each resource that any of its tasks uses. Runs that continue after
    /// the job ended count as this size.
    pub largest_task: Size,
}

/// A customer's job of which runs may be left that are to be stopped: those of its tasks if
/// it was cancelled or failed, and those of its tasks that were done by another run, since
/// they had been copied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoppingJob {
    /// The customer that the job belongs to.
    pub customer: Box<str>,
    /// The total size of these runs, at most.
    pub size: Size,
}

/// The progress of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// The progress of each step.
    pub steps: Vec<StepProgress>,
}

/// The progress of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// A bit for each task that is done.
    done: Vec<u64>,
    /// The number of set bits in `done`.
    done_count: u32,
    /// The log position at which the end of its last task was recorded; 0 until then.
    done_index: u64,
    /// The number of failed attempts of each task; those of a gang are recorded for its
    /// task 0.
    failures: IndexMap<u32, u32>,
    /// The crashes of workers that ran each task; each member of a gang has its own.
    crashes: IndexMap<u32, TaskCrashes>,
    /// The latest checkpoint of each task; that of a gang is recorded for its task 0.
    checkpoints: IndexMap<u32, Box<str>>,
}

impl StepProgress {
    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        is_set(&self.done, index)
    }

    /// The number of tasks that are done.
    pub fn done_count(&self) -> u32 {
        self.done_count
    }

    /// The number of failed attempts of a task.
    pub fn failures(&self, index: u32) -> u32 {
        self.failures.get(&index).copied().unwrap_or_default()
    }

    /// The tasks with recorded crashes of workers, and the number of crashes of each.
    pub fn crashes(&self) -> impl Iterator<Item = (u32, usize)> {
        let tasks = self.crashes.iter();
        tasks.map(|(index, crashes)| (*index, crashes.count()))
    }

    /// The latest checkpoint of a task.
    pub fn checkpoint(&self, index: u32) -> Option<&str> {
        self.checkpoints.get(&index).map(|text| &**text)
    }

    fn set_done(&mut self, index: u32) {
        if set(&mut self.done, index) {
            self.done_count += 1;
        }
    }
}

fn is_set(words: &[u64], index: u32) -> bool {
    let word = words.get((index / WORD_BITS) as usize);
    word.is_some_and(|word| word >> (index % WORD_BITS) & 1 == 1)
}

/// Sets a bit and returns whether it was clear.
fn set(words: &mut Vec<u64>, index: u32) -> bool {
    let at = (index / WORD_BITS) as usize;
    if words.len() <= at {
        words.resize(at + 1, 0);
    }
    let mask = 1 << (index % WORD_BITS);
    let was_clear = words[at] & mask == 0;
    words[at] |= mask;
    was_clear
}

impl Job {
    pub(crate) fn new(
        queue: Arc<Queue>,
        customer: Option<Box<str>>,
        spec: Arc<JobSpec>,
        accepted_index: u64,
        arrived_ms: u64,
    ) -> Job {
        Job {
            queue,
            customer,
            spec,
            accepted_index,
            accepted_ordinal: 0,
            arrived_ms,
            occurrences: IndexMap::new(),
            occurrences_done: Vec::new(),
        }
    }

    /// The specification of a step.
    pub fn step(&self, id: StepId) -> Option<&StepSpec> {
        let known = id.occurrence < self.spec.occurrences();
        let step = self.spec.steps.get(usize::from(id.step));
        step.filter(|_| known)
    }

    /// The progress of a step; none if no end or crash was recorded for its occurrence,
    /// or if the occurrence is done.
    pub fn progress(&self, id: StepId) -> Option<&StepProgress> {
        let occurrence = self.occurrences.get(&id.occurrence)?;
        occurrence.steps.get(usize::from(id.step))
    }

    /// The number of tasks that are done, in occurrences that are not.
    pub fn done_count(&self) -> u64 {
        let steps = self
            .occurrences
            .values()
            .flat_map(|occurrence| &occurrence.steps);
        steps.map(|step| u64::from(step.done_count)).sum()
    }

    /// Whether all tasks of an occurrence are done.
    pub fn is_occurrence_done(&self, occurrence: u32) -> bool {
        is_set(&self.occurrences_done, occurrence)
    }

    /// Whether a task is done.
    pub fn is_task_done(&self, id: StepId, index: u32) -> bool {
        let done = self.progress(id).is_some_and(|step| step.is_done(index));
        done || self.is_occurrence_done(id.occurrence)
    }

    /// Whether all tasks of a step are done.
    pub fn is_step_done(&self, id: StepId) -> bool {
        let count = self.step(id).map_or(0, |step| step.count);
        let done = self
            .progress(id)
            .is_some_and(|step| step.done_count >= count);
        done || self.is_occurrence_done(id.occurrence)
    }

    /// Whether all steps that a step depends on are done.
    pub fn is_step_due(&self, id: StepId) -> bool {
        self.step(id).is_some_and(|spec| {
            let mut after = spec.after.iter();
            after.all(|step| self.is_step_done(StepId { step: *step, ..id }))
        })
    }

    /// The log position at which a step became ready: that of the job, or that of the
    /// last end among the steps it depends on.
    pub fn ready_index(&self, id: StepId) -> u64 {
        let after = self.step(id).map(|spec| spec.after.as_slice());
        let before = after.unwrap_or_default().iter();
        let done = before.filter_map(|step| self.progress(StepId { step: *step, ..id }));
        let last = done.map(|step| step.done_index).max();
        self.accepted_index.max(last.unwrap_or_default())
    }

    /// The maximum of each resource that any of its tasks uses.
    pub(crate) fn largest_task(&self) -> Size {
        let sizes = self.spec.steps.iter().map(|step| step.size);
        sizes.fold(Size::default(), Size::component_max)
    }

    /// The maximum size of the runs of a task that are left once this end completes it:
    /// that of its other run, if the task may have been copied.
    pub(crate) fn size_left_by_end(&self, end: &End) -> Size {
        let id = end.task.step;
        let completes = end.kind == EndKind::Done && !self.is_task_done(id, end.task.index);
        let step = self
            .step(id)
            .filter(|spec| completes && spec.allows_copies());
        step.map(|spec| spec.size).unwrap_or_default()
    }

    /// The total size of all runs that may have been started of tasks that are not done.
    pub(crate) fn possibly_running_size(&self) -> Size {
        let mut sum = Size::default();
        for occurrence in 0..self.spec.occurrences() {
            let steps = 0..self.spec.steps.len();
            for step in steps.map_while(|step| u16::try_from(step).ok()) {
                // The job's own id does not matter here.
                let id = StepId {
                    job: crate::JobId(0),
                    occurrence,
                    step,
                };
                sum += self.possibly_running_size_of_step(id);
            }
        }
        sum
    }

    fn possibly_running_size_of_step(&self, id: StepId) -> Size {
        let due = self.is_step_due(id) && !self.is_step_done(id);
        let Some(spec) = self.step(id).filter(|_| due) else {
            return Size::default();
        };
        let done = self.progress(id).map_or(0, StepProgress::done_count);
        let runs_per_task = if spec.allows_copies() { 2 } else { 1 };
        let tasks = u64::from(spec.count.saturating_sub(done));
        spec.size.scaled(tasks * runs_per_task)
    }

    /// Records an end at position `index` of the log and returns the resulting state of
    /// the job.
    pub(crate) fn record_end(&mut self, index: u64, end: &End) -> JobState {
        let id = end.task.step;
        let Some(spec) = self.step(id) else {
            return JobState::Active;
        };
        if end.task.index >= spec.count || self.is_occurrence_done(id.occurrence) {
            return JobState::Active;
        }
        let (gang, long_running, count) = (spec.gang, spec.long_running, spec.count);
        let limit = self.queue.max_attempts.max(1);
        let step = self.progress_mut(id);
        let key = if gang { 0 } else { end.task.index };
        match end.kind {
            EndKind::Done if gang => (0..count).for_each(|index| step.set_done(index)),
            EndKind::Done if !long_running => step.set_done(end.task.index),
            EndKind::Failed if !long_running => *step.failures.entry(key).or_default() += 1,
            _ => {}
        }
        if step.done_count >= count && step.done_index == 0 {
            step.done_index = index;
        }
        if step.is_done(key) {
            step.checkpoints.swap_remove(&key);
        } else if !end.checkpoint.is_empty() {
            step.checkpoints.insert(key, end.checkpoint.clone());
        }
        if step.failures(key) >= limit && !step.is_done(key) {
            return JobState::Failed;
        }
        self.complete_occurrence(id.occurrence)
    }

    /// The progress of a step, which must exist.
    fn progress_mut(&mut self, id: StepId) -> &mut StepProgress {
        let steps = self.spec.steps.len();
        let occurrence = self.occurrences.entry(id.occurrence).or_default();
        occurrence.steps.resize_with(steps, StepProgress::default);
        &mut occurrence.steps[usize::from(id.step)]
    }

    /// Records that a worker crashed, or may have, while it ran a task.
    pub(crate) fn record_crash(&mut self, crashed: &CrashedRun) {
        let (id, index) = (crashed.task.step, crashed.task.index);
        let known = self.step(id).is_some_and(|spec| index < spec.count);
        if known && !self.is_task_done(id, index) {
            let crashes = &mut self.progress_mut(id).crashes;
            crashes.entry(index).or_default().record(crashed);
        }
    }

    /// Whether a task has crashed so many workers that the job fails. `ordinal` is that
    /// of the current owner.
    pub(crate) fn reaches_crash_limit(&self, ordinal: u32) -> bool {
        let mut occurrences = self.occurrences.values();
        occurrences.any(|occurrence| {
            let steps = self.spec.steps.iter().zip(&occurrence.steps);
            let mut steps = steps.filter(|(_, step)| !step.crashes.is_empty());
            steps.any(|(spec, step)| {
                let uncounted = self.uncounted_crashes(spec, ordinal);
                let mut tasks = step.crashes.iter();
                tasks.any(|(index, crashes)| {
                    !step.is_done(*index) && crashes.reaches_limit(uncounted, spec.long_running)
                })
            })
        })
    }

    /// The tasks of a step with recorded crashes of workers, and how far each is
    /// suspected of causing them. `ordinal` is that of the current owner.
    pub(crate) fn suspicions(
        &self,
        id: StepId,
        ordinal: u32,
    ) -> impl Iterator<Item = (u32, Suspicion)> {
        let spec = self.step(id);
        let uncounted = spec.map_or(0, |spec| self.uncounted_crashes(spec, ordinal));
        let known = self.progress(id).into_iter().flat_map(|step| &step.crashes);
        known.map(move |(index, crashes)| {
            let suspicion = Suspicion {
                crashes: crashes.possible_count(uncounted),
                isolation: crashes.isolation(uncounted),
            };
            (*index, suspicion)
        })
    }

    /// The maximum number of crashes that a task of the step may have caused without a
    /// record: one for each change of owner. It is 0 for long-running and repeated jobs,
    /// which see many changes of owner that are no evidence against their tasks.
    pub(crate) fn uncounted_crashes(&self, spec: &StepSpec, ordinal: u32) -> usize {
        if spec.long_running || self.spec.repeat.is_some() {
            return 0;
        }
        ordinal.saturating_sub(self.accepted_ordinal) as usize
    }

    /// Removes an occurrence if it is done, and returns the resulting state of the job.
    fn complete_occurrence(&mut self, occurrence: u32) -> JobState {
        let steps = 0..self.spec.steps.len();
        let ids = steps.map_while(|step| u16::try_from(step).ok());
        // The job's own id does not matter here.
        let id = |step| StepId {
            job: crate::JobId(0),
            occurrence,
            step,
        };
        if !ids.map(id).all(|id| self.is_step_done(id)) {
            return JobState::Active;
        }
        self.occurrences.shift_remove(&occurrence);
        set(&mut self.occurrences_done, occurrence);
        let done: u32 = self
            .occurrences_done
            .iter()
            .map(|word| word.count_ones())
            .sum();
        if done >= self.spec.occurrences() {
            JobState::Completed
        } else {
            JobState::Active
        }
    }
}
