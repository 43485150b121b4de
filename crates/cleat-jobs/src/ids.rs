//! Identifiers of jobs, steps, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// The number of hexadecimal digits in the id of a job.
const JOB_DIGITS: usize = 16;

/// The id of a job, chosen by the client that submits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    /// Accepts exactly 16 lower-case hexadecimal digits, so that a parsed id is printed
    /// as it was written.
    fn from_str(text: &str) -> Result<JobId, ParseIdError> {
        let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let parsed = u64::from_str_radix(text, 16).ok();
        let id = parsed.filter(|_| digits && text.len() == JOB_DIGITS);
        id.map(JobId).context(JobIdSnafu { text })
    }
}

/// The id of a step in one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// The number of the step, from 0.
    pub step: u16,
}

impl StepId {
    /// The id of a task of the step.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// The id of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// The number of the task in its step, from 0.
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

/// The number of a run of a task. A run that is started later has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Run(pub u64);

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A text that can't be parsed as the id of a job or task.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ParseIdError {
    /// The text is not 16 lower-case hexadecimal digits.
    #[snafu(display("{text:?} is no job id: give 16 lower-case hexadecimal digits"))]
    JobId {
        /// The text.
        text: Box<str>,
    },
    /// The text does not have the form `JOB.OCCURRENCE.STEP.INDEX`.
    #[snafu(display("{text:?} is no task: expected JOB.OCCURRENCE.STEP.INDEX"))]
    Task {
        /// The text.
        text: Box<str>,
    },
}
