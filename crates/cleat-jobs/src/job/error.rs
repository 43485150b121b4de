//! Why a job can't be taken.

use snafu::Snafu;

/// A job that contradicts itself. Nothing was stored; correct it and submit
/// it again.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JobSpecError {
    /// The job has no step.
    #[snafu(display("steps: a job needs at least one step"))]
    NoSteps,
    /// There are more steps than can be numbered.
    #[snafu(display("steps: {count} steps are too many; at most {limit} are taken"))]
    TooManySteps {
        /// How many there are.
        count: usize,
        /// How many are taken.
        limit: usize,
    },
    /// A step has no task.
    #[snafu(display("steps.{step}.count: a step needs at least one task"))]
    NoTasks {
        /// The step.
        step: usize,
    },
    /// A step has more tasks than are taken.
    #[snafu(display("steps.{step}.count: {count} tasks are too many; at most {limit} are taken"))]
    TooManyTasks {
        /// The step.
        step: usize,
        /// How many it asks for.
        count: u32,
        /// How many are taken.
        limit: u32,
    },
    /// A step waits for itself, a later one or one that is not there.
    #[snafu(display("steps.{step}.after: step {after} is not an earlier step"))]
    DependencyNotEarlier {
        /// The step.
        step: usize,
        /// What it names.
        after: usize,
    },
    /// The specification is too long.
    #[snafu(display("specification: {bytes} bytes are too many; at most {limit} are taken"))]
    SpecificationTooLong {
        /// Its length.
        bytes: usize,
        /// How many bytes are taken.
        limit: usize,
    },
}
