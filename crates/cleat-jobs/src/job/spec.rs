//! Jobs and their steps as submitted.

use serde::{Deserialize, Serialize};

use super::JobSpecError;
use super::error::{
    DependencyNotEarlierSnafu, NoStepsSnafu, NoTasksSnafu, SpecificationTooLongSnafu,
    TooManyStepsSnafu, TooManyTasksSnafu,
};
use crate::Size;

/// The most steps of a job: far above the widest seen (5), and low enough for
/// a step's number to fit its type.
const MAX_STEPS: usize = 1_000;
/// The most tasks of a step. Bounds the memory that one submission can take:
/// a bit a task in the replicated state.
const MAX_TASKS: u32 = 100_000;
/// The longest specification, in bytes; the platform's own limit is 4,000.
const MAX_SPECIFICATION_BYTES: usize = 16 * 1024;

/// A job as submitted. Optional keys have the value of the default.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// What the job's tasks are told when they start.
    #[serde(default)]
    pub specification: Box<str>,
    /// The steps. Invariant: at least one, and each waits for earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Set where the steps run again and again.
    #[serde(default)]
    pub repeat: Option<Repeat>,
}

/// When the occurrences of a job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// The time of occurrence 0, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// How many occurrences there are; at least 1.
    pub times: u32,
}

impl Repeat {
    /// When an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let after = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_ms.saturating_add(after)
    }
}

/// One step: equal tasks that may run side by side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSpec {
    /// How many tasks there are.
    pub count: u32,
    /// What each of them takes up.
    pub size: Size,
    /// A rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// The earlier steps whose tasks have to be done before.
    pub after: Vec<u16>,
    /// Whether the tasks work only while all of them run, and end together.
    pub gang: bool,
    /// Whether the tasks are slowed down when they run on several racks.
    pub rack_local: bool,
    /// A label that the worker must have.
    pub required_label: Option<Box<str>>,
    /// The rack that holds the data; elsewhere the tasks are slowed down.
    pub data_rack: Option<Box<str>>,
    /// How many of the step's tasks one worker may run at once.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether the tasks write checkpoints.
    pub checkpointing: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Box<str>>,
    /// For tasks that serve users: what the tail of their response times has
    /// to stay below, in milliseconds.
    pub target_ms: Option<u64>,
    /// Whether the tasks take only the processor time that others leave.
    pub fills: bool,
    /// How many tasks may be kept from work by this system at the same time.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// What a task takes up of a worker's capacity.
    pub fn footprint(&self) -> Size {
        if self.fills {
            self.size.without_cpu()
        } else {
            self.size
        }
    }
}

impl JobSpec {
    /// Checks that the job does not contradict itself.
    ///
    /// # Errors
    /// [`JobSpecError`] names the field.
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
        steps.try_for_each(|(at, step)| step.validate(at))
    }

    /// How many occurrences the job has.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// Whether any of its steps runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

impl StepSpec {
    /// How many workers the step needs to run all its tasks at once, by how
    /// many of them one may run.
    pub fn min_workers(&self) -> usize {
        let most = self.max_per_worker.unwrap_or(u32::MAX).max(1);
        self.count.div_ceil(most) as usize
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
