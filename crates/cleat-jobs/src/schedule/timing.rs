//! How long work takes, and until when a job is worth doing first.

use std::time::Duration;

use indexmap::IndexMap;

use super::durations::DurationModel;
use super::forecast::{Arrivals, JobUsage};
use super::shares::Standing;
use super::worker::millis;
use super::{Decision, Scheduler};
use crate::state::{ControlState, Job};
use crate::{JobId, JobSpec, Queue, Size, StepSpec};

/// How many times its objective a job may take and still be worth something.
const WORTHLESS_AFTER: u32 = 3;
/// The weight of one job in the mean work of its queue: some 30 jobs make it.
const WORK_WEIGHT: f64 = 0.03;

/// How urgent a job is by its time alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// It can be done within its objective.
    InTime,
    /// It will be late, and is worth little.
    Late,
    /// It is worth nothing any more.
    TooLate,
}

/// Until when a job should be done.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Objective {
    /// Until then it is in time; what was due before this owner knew of it is
    /// due since then.
    pub(crate) due: Duration,
    /// From then on it is worth nothing.
    pub(crate) worthless_at: Duration,
}

impl Objective {
    /// The objective of a job that came `age` ago and may take `span`.
    fn new(now: Duration, age: Duration, span: Duration) -> Objective {
        let left = |span: Duration| now + span.saturating_sub(age);
        Objective {
            due: left(span),
            worthless_at: left(span * WORTHLESS_AFTER),
        }
    }
}

/// What was learned of a queue.
#[derive(Clone, Copy, Debug, Default)]
struct QueueTimes {
    durations: DurationModel,
    /// What its jobs take up on average, and how many made that.
    work: JobUsage,
    jobs: u32,
}

impl QueueTimes {
    /// Takes a job into the mean work.
    fn note_work(&mut self, work: JobUsage) {
        self.jobs = self.jobs.saturating_add(1);
        let weight = WORK_WEIGHT.max(1.0 / f64::from(self.jobs));
        self.work.cpu_milli_ms += weight * (work.cpu_milli_ms - self.work.cpu_milli_ms);
        self.work.memory_mb_ms += weight * (work.memory_mb_ms - self.work.memory_mb_ms);
        self.work.duration_ms += weight * (work.duration_ms - self.work.duration_ms);
    }
}

/// What is learned of queues and pools.
#[derive(Debug, Default)]
pub(crate) struct Times {
    queues: IndexMap<Box<str>, QueueTimes>,
    arrivals: IndexMap<Box<str>, Arrivals>,
}

impl Times {
    /// Takes a task that was done into account.
    pub(crate) fn observe_duration(&mut self, queue: &str, estimate_ms: u64, ran: Duration) {
        let times = self.queues.entry(queue.into()).or_default();
        times.durations.observe(estimate_ms, ran);
    }

    /// How long a task of this estimate takes in a queue.
    pub(crate) fn expected_duration(&self, queue: &str, estimate_ms: u64) -> Duration {
        let times = self.queues.get(queue).copied().unwrap_or_default();
        times.durations.expected(estimate_ms)
    }

    /// How long the longest chain of a job's steps takes from each step on,
    /// the step included.
    pub(crate) fn chain(&self, queue: &str, spec: &JobSpec) -> Vec<Duration> {
        let mut from = vec![Duration::ZERO; spec.steps.len()];
        for at in (0..spec.steps.len()).rev() {
            let after = spec.steps.iter().enumerate().skip(at + 1);
            let later = after
                .filter(|(_, step)| step.after.iter().any(|on| usize::from(*on) == at))
                .map(|(next, _)| from[next])
                .max();
            let own = self.expected_duration(queue, spec.steps[at].estimate_ms);
            from[at] = own + later.unwrap_or_default();
        }
        from
    }

    /// Notes a job that came for a pool, whose longest chain takes `span`.
    fn arrive(&mut self, queue: &Queue, spec: &JobSpec, at: Duration, span: Duration) {
        let ends = spec.steps.iter().filter(|step| !step.long_running);
        let work = ends.fold(JobUsage::default(), |sum, step| {
            let took = self.expected_duration(&queue.name, step.estimate_ms);
            add_step(sum, step, took)
        });
        if work == JobUsage::default() {
            return;
        }
        let work = JobUsage {
            duration_ms: span.as_secs_f64() * 1_000.0,
            ..work
        };
        let times = self.queues.entry(queue.name.clone()).or_default();
        times.note_work(work);
        let mean = times.work;
        let arrivals = self.arrivals.entry(queue.pool.clone()).or_default();
        arrivals.record(at, mean);
    }

    /// What a pool's tasks will take up if work goes on arriving as it does.
    pub(crate) fn forecast(&mut self, pool: &str, now: Duration) -> Size {
        let arrivals = self.arrivals.get_mut(pool);
        arrivals.map_or(Size::default(), |arrivals| arrivals.forecast(now))
    }
}

#[allow(clippy::cast_precision_loss)]
fn add_step(sum: JobUsage, step: &StepSpec, took: Duration) -> JobUsage {
    let ms = took.as_secs_f64() * 1_000.0 * f64::from(step.count);
    let size = step.footprint();
    JobUsage {
        cpu_milli_ms: sum.cpu_milli_ms + size.cpu_milli as f64 * ms,
        memory_mb_ms: sum.memory_mb_ms + size.memory_mb as f64 * ms,
        ..sum
    }
}

impl Scheduler {
    /// Notes when a job came and until when it should be done.
    pub(super) fn meet_job(&mut self, state: &ControlState, id: JobId, job: &Job) {
        let queue = &job.queue;
        let chain = self.times.chain(&queue.name, &job.spec);
        let longest = chain.into_iter().max().unwrap_or_default();
        let latency = Duration::from_millis(queue.target_latency_ms);
        let span = longest.mul_f64(queue.stretch.max(1.0)) + latency;
        let age = self.age(job);
        let objective = Objective::new(self.now, age, span);
        self.objectives.insert(id, objective);
        self.tell_accepted(id, job, span);
        let came = self.now.saturating_sub(age);
        self.times.arrive(queue, &job.spec, came, longest);
        self.note_standing(state, id, job, came);
    }

    /// Notes whether the job is beyond its customer's share.
    fn note_standing(&mut self, state: &ControlState, id: JobId, job: &Job, came: Duration) {
        let Some(name) = job.customer.as_deref() else {
            return;
        };
        let key = self
            .accounts
            .get_or_create(name, state.catalogue.as_deref());
        if self.accounts.record_job(key, came) == Standing::Beyond {
            self.standings.insert(id, Standing::Beyond);
        }
    }

    /// How long ago a job's caller came. An earlier owner may have accepted it,
    /// so this compares times of day: machines differ by little, and where one
    /// has jumped, jobs are served in a worse order and nothing else.
    fn age(&self, job: &Job) -> Duration {
        let known = job.arrived_ms > 0 && self.wall_ms > 0;
        let ms = self.wall_ms.saturating_sub(job.arrived_ms);
        Duration::from_millis(if known { ms } else { 0 })
    }

    fn tell_accepted(&mut self, id: JobId, job: &Job, span: Duration) {
        let (queue, steps) = (&job.queue, &job.spec.steps);
        self.tell(Decision::Accepted {
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
