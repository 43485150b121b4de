//! A request of a run, and the policies for choosing its target.

use std::time::Duration;

use cleat_decide::FinalOutcome;

use crate::trace::Load;

/// How a target is chosen. Policies other than the product's are for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Product,
    RoundRobin,
    Random,
}

/// The state of one request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) caller: Box<str>,
    pub(crate) idempotent: bool,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) work: f64,
    pub(crate) attempts: u32,
    /// How many attempts may have run.
    pub(crate) runs: u32,
    pub(crate) may_have_run: bool,
    pub(crate) status: u16,
    pub(crate) end: Option<(Duration, FinalOutcome)>,
    /// How often the request ended; anything but 1 is an error.
    pub(crate) ends: u32,
    pub(crate) entry: usize,
    pub(crate) last_target: Option<usize>,
    /// The target and start time of the current attempt.
    pub(crate) running: Option<(usize, Duration)>,
}

impl Request {
    /// A request of `load` that arrives at the entry `entry` at time `at`.
    pub(crate) fn new(load: &Load, at: Duration, entry: usize, work_factor: f64) -> Request {
        Request {
            caller: load.caller.clone(),
            idempotent: load.idempotent,
            arrived: at,
            deadline: at + Duration::from_millis(load.deadline_ms),
            work: load.work * work_factor,
            attempts: 0,
            runs: 0,
            may_have_run: false,
            status: 0,
            end: None,
            ends: 0,
            entry,
            last_target: None,
            running: None,
        }
    }
}
