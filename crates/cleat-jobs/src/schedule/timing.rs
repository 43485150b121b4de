//! How long work takes, and until when a job is worth doing first.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use super::worker::millis;
use super::{Decision, Scheduler};
use crate::state::Job;
use crate::{JobId, JobSpec, Queue, Size};

/// The weight of one observed task in the ratio of its queue: some 20 tasks,
/// which a queue has within a second, make it.
const RATIO_WEIGHT: f64 = 0.05;
/// Estimates are off by a factor of three either way where they are bad;
/// beyond that a single task says nothing.
const RATIO_RANGE: (f64, f64) = (0.2, 5.0);
/// How many times its objective a job may take and still be worth something.
const WORTHLESS_AFTER: u32 = 3;
/// Over how many jobs the arriving work is measured to notice a rise: few take
/// little time to come, many say more.
const RISE_JOBS: usize = 20;
/// Over what time it is measured at least, since jobs come in bunches, and at
/// most: short against the time that a machine needs to come (1.5 s).
const RISE_WINDOWS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(600)];
/// By how many standard deviations of the number of jobs the work has to
/// exceed what came before to count as a rise: chance does so once in a
/// thousand windows.
const RISE_DEVIATIONS: f64 = 3.0;
/// Over what time it is measured otherwise: long enough that chance makes a
/// tenth of it, shorter than demand lasts.
const STEADY_WINDOW: Duration = Duration::from_millis(2_000);
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
#[derive(Clone, Copy, Debug)]
struct QueueTimes {
    /// How much longer its tasks take than their estimates say.
    ratio: f64,
}

/// Work that arrived in a pool.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    /// Thousandths of a core, times milliseconds.
    cpu_ms: u64,
    /// MB, times milliseconds.
    memory_ms: u64,
}

/// What is learned of queues and pools.
#[derive(Debug, Default)]
pub(crate) struct Times {
    queues: IndexMap<Box<str>, QueueTimes>,
    arrivals: IndexMap<Box<str>, VecDeque<Arrival>>,
}

impl Times {
    fn ratio(&self, queue: &str) -> f64 {
        self.queues.get(queue).map_or(1.0, |times| times.ratio)
    }

    /// Takes a task that was done into account.
    pub(crate) fn learn(&mut self, queue: &str, estimate_ms: u64, ran: Duration) {
        if estimate_ms == 0 {
            return;
        }
        let (low, high) = RATIO_RANGE;
        #[allow(clippy::cast_precision_loss)]
        let seen = (millis(ran) as f64 / estimate_ms as f64).clamp(low, high);
        let times = self
            .queues
            .entry(queue.into())
            .or_insert(QueueTimes { ratio: 1.0 });
        times.ratio += RATIO_WEIGHT * (seen - times.ratio);
    }

    /// How long a task of this estimate takes in a queue.
    pub(crate) fn expect(&self, queue: &str, estimate_ms: u64) -> Duration {
        Duration::from_millis(estimate_ms).mul_f64(self.ratio(queue))
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
            let own = self.expect(queue, spec.steps[at].estimate_ms);
            from[at] = own + later.unwrap_or_default();
        }
        from
    }

    fn arrive(&mut self, queue: &Queue, spec: &JobSpec, at: Duration) {
        let mut arrival = Arrival {
            at,
            cpu_ms: 0,
            memory_ms: 0,
        };
        for step in spec.steps.iter().filter(|step| !step.long_running) {
            let ms = millis(self.expect(&queue.name, step.estimate_ms)) * u64::from(step.count);
            let size = step.footprint();
            arrival.cpu_ms += size.cpu_milli * ms;
            arrival.memory_ms += size.memory_mb * ms;
        }
        let arrivals = self.arrivals.entry(queue.pool.clone()).or_default();
        // Some were held up on their way and come after later ones.
        let later = arrivals.iter().rev().take_while(|known| known.at > at);
        let place = arrivals.len() - later.count();
        arrivals.insert(place, arrival);
    }

    /// What a pool's tasks will take up if work goes on arriving as it did.
    pub(crate) fn forecast(&mut self, pool: &str, now: Duration) -> Size {
        let Some(arrivals) = self.arrivals.get_mut(pool) else {
            return Size::default();
        };
        while arrivals
            .pop_front_if(|arrival| arrival.at + STEADY_WINDOW < now)
            .is_some()
        {}
        let (steady, _) = rate(arrivals, STEADY_WINDOW, now);
        let (rise, jobs) = rate(arrivals, rise_window(arrivals, now), now);
        #[allow(clippy::cast_precision_loss)]
        let chance = steady.cpu_milli as f64 * (1.0 + RISE_DEVIATIONS / (jobs as f64).sqrt());
        #[allow(clippy::cast_precision_loss)]
        if rise.cpu_milli as f64 > chance {
            rise
        } else {
            steady
        }
    }
}

/// The time in which the last [`RISE_JOBS`] came, within bounds.
fn rise_window(arrivals: &VecDeque<Arrival>, now: Duration) -> Duration {
    let [shortest, longest] = RISE_WINDOWS;
    let first = arrivals.iter().rev().nth(RISE_JOBS - 1);
    first.map_or(longest, |first| (now - first.at).clamp(shortest, longest))
}

/// What the work of the last `window` takes up if it goes on like that, and of
/// how many jobs it is.
fn rate(arrivals: &VecDeque<Arrival>, window: Duration, now: Duration) -> (Size, u64) {
    let recent = arrivals
        .iter()
        .rev()
        .take_while(|arrival| arrival.at + window >= now);
    let sum = |(cpu, memory, jobs), arrival: &Arrival| {
        (cpu + arrival.cpu_ms, memory + arrival.memory_ms, jobs + 1)
    };
    let (cpu_ms, memory_ms, jobs) = recent.fold((0, 0, 0), sum);
    let window = millis(window);
    let size = Size {
        cpu_milli: cpu_ms / window,
        memory_mb: memory_ms / window,
        gpu: 0,
    };
    (size, jobs)
}

impl Scheduler {
    /// Notes when a job came and until when it should be done.
    pub(super) fn meet_job(&mut self, id: JobId, job: &Job) {
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
        self.times.arrive(queue, &job.spec, came);
    }

    /// How long ago a job's caller came. An earlier owner may have accepted it,
    /// so this compares times of day: machines differ by little, and where one
    /// has jumped, jobs are served in a worse order and nothing else.
    fn age(&self, job: &Job) -> Duration {
        let known = job.came_ms > 0 && self.wall_ms > 0;
        let ms = self.wall_ms.saturating_sub(job.came_ms);
        Duration::from_millis(if known { ms } else { 0 })
    }

    fn tell_accepted(&mut self, id: JobId, job: &Job, span: Duration) {
        let (queue, steps) = (&job.queue, &job.spec.steps);
        self.tell(Decision::Accepted {
            job: id.to_string().into(),
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            priority: queue.priority,
            steps: steps.len(),
            tasks: steps.iter().map(|step| step.count).sum(),
            long_running: job.spec.is_long_running(),
            fills: steps.iter().any(|step| step.fills),
            gang: steps.iter().any(|step| step.gang),
            advised: queue.advice.is_some(),
            objective_ms: millis(span),
            inherited: job.accepted_at < self.owner.token,
        });
    }
}
