//! The expected duration of work, and the objectives of jobs.

use std::time::Duration;

use super::carry_over::ArrivalTimes;
use super::durations::DurationModel;
use super::forecast::{Arrivals, JobUsage};
use super::shares::ShareStatus;
use super::worker::millis;
use super::{Decision, Scheduler};
use crate::collections::IndexMap;
use crate::state::{ControlState, Job};
use crate::{JobId, JobSpec, Queue, Size, StepSpec};

/// The result of a job has no value after this many times its objective.
const ZERO_VALUE_AFTER_OBJECTIVES: u32 = 3;
/// The minimum weight of a new job in the running mean of its queue's usage.
/// The mean then covers about the last 30 jobs.
const MIN_USAGE_WEIGHT: f64 = 0.03;

/// Whether a job can meet its objective; the lower value is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timeliness {
    /// It can meet its objective.
    InTime,
    /// It will miss its objective, so its result has little value.
    Late,
    /// It will end too late for its result to have any value.
    TooLate,
}

/// The objective of one job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Objective {
    /// When the job should be done. If that time had passed before this owner
    /// knew of the job, `due` is the time when the owner learned of it.
    pub(crate) due: Duration,
    /// From when on the job's result has no value.
    pub(crate) zero_value_at: Duration,
}

impl Objective {
    /// The objective of a job that arrived `age` ago and should be done within
    /// `span` of its arrival.
    pub(crate) fn new(now: Duration, age: Duration, span: Duration) -> Objective {
        let until = |span: Duration| now + span.saturating_sub(age);
        Objective {
            due: until(span),
            zero_value_at: until(span * ZERO_VALUE_AFTER_OBJECTIVES),
        }
    }
}

/// Statistics of one queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QueueStats {
    pub(super) durations: DurationModel,
    /// The running mean of its jobs' resource usage, and the number of jobs in
    /// it.
    pub(super) usage: JobUsage,
    pub(super) jobs: u32,
}

impl QueueStats {
    /// Adds a job to the running mean.
    fn record_usage(&mut self, usage: JobUsage) {
        self.jobs = self.jobs.saturating_add(1);
        let weight = MIN_USAGE_WEIGHT.max(1.0 / f64::from(self.jobs));
        self.usage.cpu_milli_ms += weight * (usage.cpu_milli_ms - self.usage.cpu_milli_ms);
        self.usage.memory_mb_ms += weight * (usage.memory_mb_ms - self.usage.memory_mb_ms);
        self.usage.duration_ms += weight * (usage.duration_ms - self.usage.duration_ms);
    }
}

/// Statistics of queues and pools.
#[derive(Debug, Default)]
pub(crate) struct WorkloadStats {
    pub(super) queues: IndexMap<Box<str>, QueueStats>,
    pub(super) arrivals: IndexMap<Box<str>, Arrivals>,
    /// The arrivals within customers' shares, by pool.
    pub(super) arrivals_within_shares: IndexMap<Box<str>, Arrivals>,
    /// The recent arrivals of each queue, for the next owner.
    pub(super) arrival_times: IndexMap<Box<str>, ArrivalTimes>,
}

impl WorkloadStats {
    /// Records the duration of a completed task.
    pub(crate) fn observe_duration(&mut self, queue: &str, estimate_ms: u64, ran: Duration) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.into(), QueueStats::default());
        }
        self.queues[queue].durations.observe(estimate_ms, ran);
    }

    /// The expected duration of a queue's task with this estimate.
    pub(crate) fn expected_duration(&self, queue: &str, estimate_ms: u64) -> Duration {
        let stats = self.queues.get(queue).copied().unwrap_or_default();
        stats.durations.expected(estimate_ms)
    }

    /// The expected logarithm of the duration in milliseconds, once this many
    /// tasks of the queue with estimates have ended.
    pub(crate) fn log_prediction(
        &self,
        queue: &str,
        estimate_ms: u64,
        min_tasks: u32,
    ) -> Option<f64> {
        let stats = self.queues.get(queue)?;
        stats.durations.log_prediction(estimate_ms, min_tasks)
    }

    /// For each step of a job, the expected duration of the longest chain of
    /// steps from it on, the step included.
    pub(crate) fn critical_paths(&self, queue: &str, spec: &JobSpec) -> Vec<Duration> {
        let mut paths = vec![Duration::ZERO; spec.steps.len()];
        // The longest chain after each step. All steps that depend on one come after it.
        let mut later = paths.clone();
        for (index, step) in spec.steps.iter().enumerate().rev() {
            let path = self.expected_duration(queue, step.estimate_ms) + later[index];
            paths[index] = path;
            let earlier = step.after.iter().map(|on| usize::from(*on));
            for on in earlier.filter(|on| *on < index) {
                later[on] = later[on].max(path);
            }
        }
        paths
    }

    /// Records the arrival of a job at its pool. `span` is the expected
    /// duration of its longest chain of steps. `counts_within_share` is whether the
    /// forecast of jobs within shares includes the job.
    pub(crate) fn record_arrival(
        &mut self,
        queue: &Queue,
        spec: &JobSpec,
        at: Duration,
        span: Duration,
        counts_within_share: bool,
    ) {
        let finite_steps = spec.steps.iter().filter(|step| !step.long_running);
        let usage = finite_steps.fold(JobUsage::default(), |sum, step| {
            let duration = self.expected_duration(&queue.name, step.estimate_ms);
            add_step_usage(sum, step, duration)
        });
        if usage == JobUsage::default() {
            return;
        }
        let usage = JobUsage {
            duration_ms: span.as_secs_f64() * 1_000.0,
            ..usage
        };
        let stats = self.queues.entry(queue.name.clone()).or_default();
        stats.record_usage(usage);
        let mean = stats.usage;
        let arrivals = self.arrivals.entry(queue.pool.clone()).or_default();
        let times = self.arrival_times.entry(queue.name.clone()).or_default();
        let replaced = times.record(at);
        if let Some((assumed_at, usage)) = replaced {
            arrivals.remove(assumed_at, usage);
        }
        arrivals.record(at, mean);
        if counts_within_share {
            let within = self.arrivals_within_shares.entry(queue.pool.clone());
            let within = within.or_default();
            if let Some((assumed_at, usage)) = replaced {
                within.remove(assumed_at, usage);
            }
            within.record(at, mean);
        }
    }

    /// Whether the statistics that an earlier owner committed count the job that
    /// was accepted at this log position.
    fn has_restored(&self, queue: &str, accepted_index: u64) -> bool {
        let times = self.arrival_times.get(queue);
        times.is_some_and(|times| accepted_index <= times.restored_index)
    }

    /// The forecast of the resources that a pool's tasks will use if jobs keep
    /// arriving at the current rate.
    pub(crate) fn forecast(&mut self, pool: &str, now: Duration) -> Size {
        let arrivals = self.arrivals.get_mut(pool);
        arrivals.map_or(Size::default(), |arrivals| arrivals.forecast(now))
    }

    /// Like [`forecast`](Self::forecast), for the jobs within their customers' shares only.
    pub(crate) fn forecast_within_shares(&mut self, pool: &str, now: Duration) -> Size {
        let arrivals = self.arrivals_within_shares.get_mut(pool);
        arrivals.map_or(Size::default(), |arrivals| arrivals.forecast(now))
    }
}

#[allow(clippy::cast_precision_loss)]
fn add_step_usage(sum: JobUsage, step: &StepSpec, duration: Duration) -> JobUsage {
    let ms = duration.as_secs_f64() * 1_000.0 * f64::from(step.count);
    let size = step.footprint();
    JobUsage {
        cpu_milli_ms: sum.cpu_milli_ms + size.cpu_milli as f64 * ms,
        memory_mb_ms: sum.memory_mb_ms + size.memory_mb as f64 * ms,
        ..sum
    }
}

impl Scheduler {
    /// Records the arrival of a job, its objective and its share status.
    pub(super) fn register_job(&mut self, state: &ControlState, id: JobId, job: &Job) {
        let queue = &job.queue;
        let critical_paths = self.workload.critical_paths(&queue.name, &job.spec);
        let critical_path = critical_paths.into_iter().max().unwrap_or_default();
        let latency = Duration::from_millis(queue.target_latency_ms);
        let span = critical_path.mul_f64(queue.stretch.max(1.0)) + latency;
        let age = self.age(job);
        let objective = Objective::new(self.now, age, span);
        self.objectives.insert(id, objective);
        self.log_accepted(id, job, span);
        let arrived_at = self.now.saturating_sub(age);
        self.carry_over.record_job(job.accepted_index);
        self.record_share_status(state, id, job, arrived_at);
        let within = self.cfg.features.machine_plan && !self.share_statuses.contains_key(&id);
        if !self.workload.has_restored(&queue.name, job.accepted_index) {
            self.workload
                .record_arrival(queue, &job.spec, arrived_at, critical_path, within);
        }
    }

    /// Records whether the job exceeds its customer's share.
    fn record_share_status(
        &mut self,
        state: &ControlState,
        id: JobId,
        job: &Job,
        arrived_at: Duration,
    ) {
        let Some(name) = job.customer.as_deref() else {
            return;
        };
        let key = self
            .accounts
            .get_or_create(name, state.catalogue.as_deref());
        if self.accounts.record_job(key, arrived_at) == ShareStatus::Exceeded {
            self.share_statuses.insert(id, ShareStatus::Exceeded);
        }
    }

    /// How long ago the job arrived. It may have been accepted by an earlier
    /// owner on another machine, so times of day are compared. The clocks of
    /// machines differ by little; a clock that has jumped affects only the
    /// order in which jobs are started.
    fn age(&self, job: &Job) -> Duration {
        let known = job.arrived_ms > 0 && self.wall_ms > 0;
        let ms = self.wall_ms.saturating_sub(job.arrived_ms);
        Duration::from_millis(if known { ms } else { 0 })
    }

    fn log_accepted(&mut self, id: JobId, job: &Job, span: Duration) {
        let (queue, steps) = (&job.queue, &job.spec.steps);
        self.log(Decision::Accepted {
            job: id.to_string().into(),
            queue: queue.name.clone(),
            customer: job.customer.clone(),
            pool: queue.pool.clone(),
            priority: queue.priority,
            steps: steps.len(),
            tasks: steps.iter().map(|step| step.count).sum(),
            long_running: job.spec.is_long_running(),
            fills: steps.iter().any(|step| step.fills),
            gang: steps.iter().any(|step| step.gang),
            advised: queue.advice.is_some(),
            objective_ms: millis(span),
            inherited: job.accepted_index < self.owner.token,
        });
    }
}
