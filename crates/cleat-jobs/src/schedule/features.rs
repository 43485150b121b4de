//! Optional decisions of the scheduler, which settings enable one by one.

use std::time::Duration;

/// The optional decisions of the scheduler. With the default, all of them are
/// disabled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Whether jobs that cannot be completed in time are refused when they are
    /// submitted.
    pub admission: bool,
    /// Whether the speed of each worker is estimated and considered when tasks
    /// are placed.
    pub worker_speed: bool,
    /// The maximum part of a pool's capacity, in percent, that second copies of
    /// speculative tasks may use; 0 if tasks have a single copy.
    pub speculation_percent: u32,
    /// Whether machines are assigned to all pools by one plan.
    pub machine_plan: bool,
    /// The interval at which learned statistics are committed for the next
    /// owner; zero if they are not.
    pub carry_over_interval: Duration,
    /// Whether a task that writes checkpoints may be stopped for urgent work.
    pub preemption: bool,
}
