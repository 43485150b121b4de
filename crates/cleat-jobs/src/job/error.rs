//! Errors in the specification of a job.

use snafu::Snafu;

/// An invalid job specification. Nothing was stored; correct it and submit it again.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JobSpecError {
    /// The job has no step.
    #[snafu(display("steps: a job needs at least one step"))]
    NoSteps,
    /// The job has too many steps.
    #[snafu(display("steps: {count} steps are too many; at most {limit} are taken"))]
    TooManySteps {
        /// The number of steps.
        count: usize,
        /// The maximum.
        limit: usize,
    },
    /// A step has no task.
    #[snafu(display("steps.{step}.count: a step needs at least one task"))]
    NoTasks {
        /// The step.
        step: usize,
    },
    /// A step has too many tasks.
    #[snafu(display("steps.{step}.count: {count} tasks are too many; at most {limit} are taken"))]
    TooManyTasks {
        /// The step.
        step: usize,
        /// The number of tasks.
        count: u32,
        /// The maximum.
        limit: u32,
    },
    /// All steps together have too many tasks.
    #[snafu(display("steps: {count} tasks are too many for a job; at most {limit} are taken"))]
    TooManyTasksInAll {
        /// The number of tasks.
        count: u64,
        /// The maximum.
        limit: u64,
    },
    /// A step depends on itself, on a later step or on one that does not exist.
    #[snafu(display("steps.{step}.after: step {after} is not an earlier step"))]
    DependencyNotEarlier {
        /// The step.
        step: usize,
        /// The step that it depends on.
        after: usize,
    },
    /// The specification is too long.
    #[snafu(display("specification: {bytes} bytes are too many; at most {limit} are taken"))]
    SpecificationTooLong {
        /// The length in bytes.
        bytes: usize,
        /// The maximum in bytes.
        limit: usize,
    },
}
