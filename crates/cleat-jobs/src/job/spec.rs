//! Submitted specifications of jobs and their steps.

use serde::{Deserialize, Serialize};

use super::JobSpecError;
use super::error::{
    DependencyNotEarlierSnafu, NoStepsSnafu, NoTasksSnafu, SpecificationTooLongSnafu,
    TooManyStepsSnafu, TooManyTasksInAllSnafu, TooManyTasksSnafu,
};
use crate::Size;

/// The maximum number of steps of a job. The widest job seen has 5, and a step number
/// must fit into `u16`.
pub const MAX_STEPS: usize = 1_000;
/// The maximum number of tasks of a step. It bounds the memory that one submission can
/// use, since the replicated state has a bit for each task.
const MAX_TASKS: u32 = 100_000;
/// The maximum number of tasks of all steps of a job, so that a small body does not become a job
/// that fills the memory of an owner.
const MAX_TASKS_IN_ALL: u64 = 1_000_000;
/// What a task, a step and a job take up in memory, in bytes, beside texts and lists: as a part of
/// the state, of the log, and of the steps that wait for workers.
const TASK_BYTES: u64 = 8;
const STEP_BYTES: u64 = 512;
const JOB_BYTES: u64 = 512;
/// How many occurrences one byte of the state tells of.
const OCCURRENCES_A_BYTE: u64 = 8;
/// The maximum length of a specification, in bytes. The platform's own limit is 4,000.
const MAX_SPECIFICATION_BYTES: usize = 16 * 1024;

/// The specification of a job. A field that is left out has its default value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The text that is passed to each task when it starts.
    #[serde(default)]
    pub specification: Box<str>,
    /// The steps. Invariant: at least one, and each depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// The schedule of a job whose steps run more than once.
    #[serde(default)]
    pub repeat: Option<Repeat>,
}

/// The schedule by which the occurrences of a job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// The time of occurrence 0, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// The number of occurrences; at least 1.
    pub times: u32,
}

impl Repeat {
    /// When an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let after = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_ms.saturating_add(after)
    }
}

/// One step of a job: a number of equal tasks that may run at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub size: Size,
    /// A rough estimate of the run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// The numbers of the earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether the tasks make progress only while all of them run, and end together.
    pub gang: bool,
    /// Whether the tasks run slower if they are spread over several racks.
    pub rack_local: bool,
    /// A label that the worker must have.
    pub required_label: Option<Box<str>>,
    /// The rack that holds the data; the tasks run slower on other racks.
    pub data_rack: Option<Box<str>>,
    /// The maximum number of tasks of the step that one worker may run at the same time.
    pub max_per_worker: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether the tasks write checkpoints.
    pub checkpointing: bool,
    /// The image that the tasks run. Tasks with the same image behave alike.
    pub image: Option<Box<str>>,
    /// For tasks that serve users: the objective for their tail latency, in milliseconds.
    pub target_ms: Option<u64>,
    /// Whether the tasks are best-effort: they use only the processor time that other tasks
    /// leave idle.
    pub fills: bool,
    /// The maximum number of tasks that may be unavailable at the same time when the
    /// scheduler interrupts one.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// The part of a worker's capacity that a task uses.
    pub fn footprint(&self) -> Size {
        if self.fills {
            self.size.without_cpu()
        } else {
            self.size
        }
    }
}

impl JobSpec {
    /// Checks the limits and the dependencies of the steps.
    ///
    /// # Errors
    /// [`JobSpecError`] names the first invalid field.
    pub fn validate(&self) -> Result<(), JobSpecError> {
        let bytes = self.specification.len();
        if bytes > MAX_SPECIFICATION_BYTES {
            let limit = MAX_SPECIFICATION_BYTES;
            return SpecificationTooLongSnafu { bytes, limit }.fail();
        }
        if self.steps.is_empty() {
            return NoStepsSnafu.fail();
        }
        let count = self.steps.len();
        if count > MAX_STEPS {
            let limit = MAX_STEPS;
            return TooManyStepsSnafu { count, limit }.fail();
        }
        let mut steps = self.steps.iter().enumerate();
        steps.try_for_each(|(at, step)| step.validate(at))?;
        let count: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if count > MAX_TASKS_IN_ALL {
            let limit = MAX_TASKS_IN_ALL;
            return TooManyTasksInAllSnafu { count, limit }.fail();
        }
        Ok(())
    }

    /// About how much memory the job takes up once it is accepted, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let steps = self.steps.iter().map(StepSpec::memory_bytes).sum::<u64>();
        let occurrences = u64::from(self.occurrences()) / OCCURRENCES_A_BYTE;
        JOB_BYTES + self.specification.len() as u64 + steps + occurrences
    }

    /// The number of occurrences of the job.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

impl StepSpec {
    /// The minimum number of workers on which all tasks of the step can run at the same
    /// time, given `max_per_worker`.
    pub fn min_workers(&self) -> usize {
        let per_worker = self.max_per_worker.unwrap_or(u32::MAX).max(1);
        self.count.div_ceil(per_worker) as usize
    }

    fn memory_bytes(&self) -> u64 {
        let texts = [&self.required_label, &self.data_rack, &self.image];
        let texts = texts
            .into_iter()
            .flatten()
            .map(|text| text.len())
            .sum::<usize>();
        let lists = texts + size_of_val(&*self.after);
        STEP_BYTES + TASK_BYTES * u64::from(self.count) + lists as u64
    }

    fn validate(&self, step: usize) -> Result<(), JobSpecError> {
        let count = self.count;
        if count == 0 {
            return NoTasksSnafu { step }.fail();
        }
        if count > MAX_TASKS {
            let limit = MAX_TASKS;
            return TooManyTasksSnafu { step, count, limit }.fail();
        }
        let mut after = self.after.iter().map(|after| usize::from(*after));
        match after.find(|after| *after >= step) {
            Some(after) => DependencyNotEarlierSnafu { step, after }.fail(),
            None => Ok(()),
        }
    }
}
