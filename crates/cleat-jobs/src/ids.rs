//! The names of jobs, steps, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// How many hexadecimal digits a job's id has.
const JOB_DIGITS: usize = 16;

/// A job, named by whoever submitted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    /// Takes 16 lower-case hexadecimal digits, so that the id that is printed
    /// is the one that was given.
    fn from_str(text: &str) -> Result<JobId, ParseIdError> {
        let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let parsed = u64::from_str_radix(text, 16).ok();
        let id = parsed.filter(|_| digits && text.len() == JOB_DIGITS);
        id.map(JobId).context(JobIdSnafu { text })
    }
}

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The occurrence, counted from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
}

impl StepId {
    /// One of the step's tasks.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// The task, counted from 0.
    pub index: u32,
}

impl TaskId {
    /// The job that the task belongs to.
    pub fn job(self) -> JobId {
        self.step.job
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<TaskId, ParseIdError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().context(TaskSnafu { text });
        let job = next()?.parse()?;
        let occurrence = number(text, next()?)?;
        let step = number(text, next()?)?;
        let index = number(text, next()?)?;
        let step = StepId {
            job,
            occurrence,
            step,
        };
        match parts.next() {
            None => Ok(step.task(index)),
            Some(_) => TaskSnafu { text }.fail(),
        }
    }
}

fn number<T: FromStr>(text: &str, part: &str) -> Result<T, ParseIdError> {
    part.parse().ok().context(TaskSnafu { text })
}

/// The number of a task's start. A later start has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Run(pub u64);

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A text that names no job or task.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ParseIdError {
    /// A job's id has 16 lower-case hexadecimal digits.
    #[snafu(display("{text:?} is no job id: give 16 lower-case hexadecimal digits"))]
    JobId {
        /// The text.
        text: Box<str>,
    },
    /// A task is named `JOB.OCCURRENCE.STEP.INDEX`.
    #[snafu(display("{text:?} is no task: expected JOB.OCCURRENCE.STEP.INDEX"))]
    Task {
        /// The text.
        text: Box<str>,
    },
}
