//! One request of a run, and how targets are chosen for it.

use std::time::Duration;

use cleat_decide::FinalOutcome;

use crate::trace::Load;

/// How a target is chosen; the others stand for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Product,
    RoundRobin,
    Random,
}

/// What became of one request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) caller: Box<str>,
    pub(crate) idempotent: bool,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) work: f64,
    pub(crate) tries: u32,
    /// How often a target got it.
    pub(crate) runs: u32,
    pub(crate) may_have_run: bool,
    pub(crate) status: u16,
    pub(crate) end: Option<(Duration, FinalOutcome)>,
    /// How often it ended; other than 1 is a fault.
    pub(crate) ends: u32,
    pub(crate) entry: usize,
    pub(crate) last_target: Option<usize>,
    pub(crate) running: Option<(usize, Duration)>,
}

impl Request {
    /// One of `load` that arrives at `at` on `entry`.
    pub(crate) fn new(load: &Load, at: Duration, entry: usize, work_factor: f64) -> Request {
        Request {
            caller: load.caller.clone(),
            idempotent: load.idempotent,
            arrived: at,
            deadline: at + Duration::from_millis(load.deadline_ms),
            work: load.work * work_factor,
            tries: 0,
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
