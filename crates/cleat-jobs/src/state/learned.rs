//! Statistics that an owner commits for its successor.

use serde::{Deserialize, Serialize};

/// What an owner has learned about the load. It influences only forecasts and expected
/// durations. Fields are encoded by position, so new ones go last.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedStats {
    /// The fencing token of the owner that wrote this; 0 if the bytes could not be
    /// decoded.
    pub token: u64,
    /// When it was written, by the clock of that owner, in milliseconds since the Unix
    /// epoch.
    pub written_ms: u64,
    /// The log position of the latest job that is counted in it. Jobs accepted later
    /// are not.
    pub covered_index: u64,
    /// How long arrivals had been observed, in milliseconds, up to the window of the
    /// forecast.
    pub observed_ms: u32,
    /// The statistics of each queue.
    pub queues: Vec<LearnedQueue>,
}

/// What an owner has learned about one queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedQueue {
    /// The name of the queue.
    pub name: Box<str>,
    /// The durations of its tasks.
    pub durations: LearnedDurations,
    /// The number of jobs in the mean usage.
    pub jobs: u32,
    /// The mean usage of its jobs: processor time in thousandths of a core times
    /// milliseconds, memory in MB times milliseconds, and duration in milliseconds.
    pub usage: [f32; 3],
    /// The number of jobs that arrived in each interval of 50 ms before `written_ms`,
    /// latest first. Intervals without arrivals at the end are left out.
    pub arrivals: Vec<u8>,
}

/// The regression of a queue's durations on its estimates. Logarithms are those of
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedDurations {
    /// The number of tasks observed.
    pub tasks: u32,
    /// The mean logarithm of the estimates.
    pub mean_log_estimate: f32,
    /// The mean logarithm of the durations.
    pub mean_log_duration: f32,
    /// The variance of the logarithms of the estimates.
    pub estimate_variance: f32,
    /// The variance of the logarithms of the durations.
    pub duration_variance: f32,
    /// The covariance of both.
    pub covariance: f32,
}
