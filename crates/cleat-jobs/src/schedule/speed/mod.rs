//! Estimates of the speed of workers (setting `worker_speed`).
//!
//! The runs of a worker are compared with what their queue and estimate
//! predict, and with the runs of the same step on other workers
//! ([`evidence`]). Runs that have not ended count with the time up to the latest
//! answer that listed them. A worker becomes slow once its runs show it. It
//! becomes normal again when a run that was started since took about as long as
//! predicted, or when nothing has run on it for so long that its speed is
//! unknown. Without the setting nothing is recorded, and no worker is slow.

mod evaluate;
mod evidence;
mod placement;
mod worker;

use std::sync::Arc;
use std::time::Duration;

use super::attempt::Attempt;
use super::decision::WorkerSpeedState;
use super::fleet::Machine;
use super::worker::WorkerKey;
use super::{Decision, Scheduler};
use crate::collections::{IndexMap, IndexSet};
use crate::state::Job;
use crate::{Queue, Run, Size, StepId, StepSpec, TaskId};
use evidence::{Prediction, Spread};
pub(super) use placement::SlowWorkers;
use worker::WorkerSpeed;

/// The score at which a worker counts as slow. In a fleet of 350 workers, of
/// which each has some observations a second, a lower one finds slow workers
/// every few seconds where there are none.
const SLOW_SCORE: f64 = 10.0;
/// The interval at which runs that have not ended are examined: short compared
/// to a task, so that a slow worker is found within about one task's time.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// The number of ended tasks from which a queue's durations are known: three
/// steps of eight tasks. The tasks of one step share an estimate, so a single
/// step says nothing about the spread.
const MIN_QUEUE_TASKS: u32 = 24;
/// The first assumption about the variance of a queue's tasks around their
/// prediction: estimates that are off by a factor of two.
const TOTAL_VARIANCE: f64 = 0.48;
/// The first assumption about the variance of the tasks of one step.
const WITHIN_STEP_VARIANCE: f64 = 0.08;
/// The number of tasks that the first assumptions count for: ten steps of eight
/// tasks.
const PRIOR_TASKS: f64 = 80.0;
/// The number of tasks that the running means cover at most. The tasks of a step
/// share an estimate, so 200 tasks are only 25 independent observations of the
/// variance.
const MAX_TASKS: f64 = 200.0;
/// The largest squared deviation that is counted, so that runs on workers that
/// are not yet known to be slow do not raise the spread much.
const MAX_SQUARED_DEVIATION: f64 = 1.0;
/// The number of ended runs of a step that are compared with others.
const MAX_PEERS: usize = 16;
/// The part of a pool's workers that may count as slow: one of this many. If
/// more take longer than predicted, the cause is the work or the prediction.
const WORKERS_PER_SLOW_WORKER: usize = 4;
/// The delay of an answer beyond the agreed wait after which the ends that it
/// lists are not used: they may have happened long before. The owner or the
/// network was delayed.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(100);
/// A worker whose long runs would take as long as predicted at a higher speed
/// than this does not count as slow.
const MAX_SLOW_SPEED: f64 = 0.6;

/// A run whose duration tells the speed of its worker.
#[derive(Clone, Debug)]
struct ObservedRun {
    worker: WorkerKey,
    /// The scheduler's time of the start.
    started_at: Duration,
    /// The natural logarithm of the predicted duration in milliseconds.
    predicted_log_ms: f64,
    queue: Arc<Queue>,
    /// Whether the run takes longer if its step is spread over several racks.
    rack_local: bool,
}

impl ObservedRun {
    /// The natural logarithm of a duration relative to the predicted one.
    fn residual(&self, ran: Duration) -> f64 {
        (ran.as_secs_f64() * 1_000.0).max(1.0).ln() - self.predicted_log_ms
    }
}

/// Running means of a queue's squared deviations.
#[derive(Clone, Copy, Debug)]
struct QueueSpread {
    spread: Spread,
    /// The number of tasks that the means cover, up to [`MAX_TASKS`].
    tasks: f64,
}

impl Default for QueueSpread {
    fn default() -> Self {
        QueueSpread {
            spread: Spread {
                total: TOTAL_VARIANCE,
                within_step: WITHIN_STEP_VARIANCE,
            },
            tasks: PRIOR_TASKS,
        }
    }
}

impl QueueSpread {
    /// Adds a task with its deviation from the prediction, and with that from
    /// the mean of its step if other tasks of the step have ended.
    fn observe(&mut self, deviation: f64, within_step: Option<f64>) {
        self.tasks = (self.tasks + 1.0).min(MAX_TASKS);
        let update = |variance: &mut f64, deviation: f64| {
            let seen = (deviation * deviation).min(MAX_SQUARED_DEVIATION);
            *variance += (seen - *variance) / self.tasks;
        };
        update(&mut self.spread.total, deviation);
        if let Some(deviation) = within_step {
            update(&mut self.spread.within_step, deviation);
        }
    }
}

/// How long a run on a worker took, or has taken so far.
#[derive(Clone, Copy, Debug)]
struct RunResidual {
    worker: WorkerKey,
    /// The natural logarithm of the time relative to the predicted duration.
    residual: f64,
}

/// The runs that are observed, and what they say about their workers.
#[derive(Debug, Default)]
pub(super) struct SpeedStats {
    /// By task and run, since a copied task has two.
    runs: IndexMap<(TaskId, Run), ObservedRun>,
    /// The ended runs of each active step, except those on slow workers.
    ended: IndexMap<StepId, Vec<RunResidual>>,
    workers: IndexMap<WorkerKey, WorkerSpeed>,
    spreads: IndexMap<Box<str>, QueueSpread>,
    /// When the runs that have not ended were last examined.
    evaluated_at: Duration,
    /// The pools whose next scheduling pass considers slow workers. Set at each
    /// examination, so that only one pass in each interval does.
    pools_with_slow_workers: IndexSet<Box<str>>,
}

impl SpeedStats {
    fn spread(&self, queue: &str) -> Spread {
        let known = self.spreads.get(queue).copied();
        known.unwrap_or_default().spread
    }

    /// The residuals of a step's ended runs on other workers.
    fn ended_elsewhere(&self, step: StepId, key: WorkerKey) -> impl Iterator<Item = f64> {
        let ended = self.ended.get(&step).into_iter().flatten();
        let elsewhere = ended.filter(move |run| run.worker != key);
        elsewhere.map(|run| run.residual)
    }

    /// Adds the end of a run to what is known of its step.
    fn add_peer(&mut self, step: StepId, run: &ObservedRun, residual: f64) {
        let peers = self.ended.entry(step).or_default();
        let count = f64::from(u32::try_from(peers.len()).unwrap_or(u32::MAX));
        let within_step = (count > 0.0).then(|| {
            let mean = peers.iter().map(|peer| peer.residual).sum::<f64>() / count;
            // The mean of `count` tasks deviates from that of the step as well.
            (residual - mean) * (count / (count + 1.0)).sqrt()
        });
        let queue = &run.queue.name;
        if !self.spreads.contains_key(queue) {
            self.spreads.insert(queue.clone(), QueueSpread::default());
        }
        self.spreads[queue].observe(residual, within_step);
        if peers.len() < MAX_PEERS {
            peers.push(RunResidual {
                worker: run.worker,
                residual,
            });
        }
    }
}

impl Scheduler {
    /// Whether a worker runs its tasks notably slower than others, as far as
    /// its runs show.
    pub(crate) fn is_slow(&self, key: WorkerKey) -> bool {
        self.workers[key].slow
    }

    /// The estimated speed of a worker relative to a normal one; 1 unless it is
    /// slow.
    pub(super) fn speed(&self, key: WorkerKey) -> f64 {
        let worker = self.speeds.workers.get(&key);
        worker.and_then(|w| w.slow).map_or(1.0, |slow| slow.speed)
    }

    /// The part of a size that a worker provides at its estimated speed.
    pub(super) fn at_speed(&self, key: WorkerKey, size: Size) -> Size {
        if !self.is_slow(key) {
            return size;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let percent = (self.speed(key) * 100.0) as u64;
        Size {
            cpu_milli: size.cpu_milli * percent / 100,
            memory_mb: size.memory_mb * percent / 100,
            gpu: size.gpu,
        }
    }

    /// Whether the worker of a machine is slow.
    pub(super) fn is_slow_machine(&self, name: &str) -> bool {
        let known = self.cfg.features.worker_speed;
        let worker = known.then(|| self.workers.on_machine(name)).flatten();
        worker.is_some_and(|key| self.is_slow(key))
    }

    /// What a machine adds to the offer of its pool.
    pub(super) fn offered_size(&self, machine: &Machine) -> Size {
        let size = machine.view.capacity;
        let worker = self.workers.on_machine(&machine.view.name);
        worker.map_or(size, |key| self.at_speed(key, size))
    }

    /// Observes a run that is being started, if its duration can tell the speed
    /// of its worker.
    pub(super) fn observe_start(
        &mut self,
        task: TaskId,
        run: Run,
        key: WorkerKey,
        job: &Job,
        spec: &StepSpec,
        resumes: bool,
    ) {
        if !self.cfg.features.worker_speed {
            return;
        }
        let rack = self.workers[key].record.rack.as_deref();
        let off_rack = spec.data_rack.is_some() && spec.data_rack.as_deref() != rack;
        // The tasks of a gang end together, so all last as long as the slowest.
        if spec.long_running || spec.fills || spec.gang || off_rack || resumes {
            return;
        }
        let prediction =
            self.workload
                .log_prediction(&job.queue.name, spec.estimate_ms, MIN_QUEUE_TASKS);
        let Some(predicted_log_ms) = prediction else {
            return;
        };
        let observed = ObservedRun {
            worker: key,
            started_at: self.now,
            predicted_log_ms,
            queue: job.queue.clone(),
            rack_local: spec.rack_local,
        };
        self.speeds.runs.insert((task, run), observed);
        let worker = self.speeds.workers.entry(key).or_default();
        if let Some(slow) = &mut worker.slow {
            slow.record_start((task, run), self.now);
        }
    }

    /// Observes the end of a run that completed its task. Returns whether its
    /// duration may be learned for its queue.
    pub(super) fn observe_end(&mut self, task: TaskId, run: Run, ran: Duration) -> bool {
        if !self.cfg.features.worker_speed {
            return true;
        }
        let Some(observed) = self.speeds.runs.swap_remove(&(task, run)) else {
            let attempt = self.known_run(task, run);
            return attempt.is_none_or(|attempt| !self.is_slow(attempt.worker));
        };
        let key = observed.worker;
        let is_delayed =
            self.workers[key].answered_after > self.cfg.renewal_wait + MAX_ANSWER_DELAY;
        if is_delayed || observed.rack_local && self.is_spread_over_racks(task.step) {
            return !self.is_slow(key);
        }
        let residual = observed.residual(ran);
        let spread = self.speeds.spread(&observed.queue.name);
        let prediction = Prediction::new(spread, self.speeds.ended_elsewhere(task.step, key));
        let score = prediction.score_ended(residual);
        let worker = self.speeds.workers.entry(key).or_default();
        let Some(slow) = &mut worker.slow else {
            worker.add_ended(task.step, score, prediction.from_peers, self.now);
            self.speeds.add_peer(task.step, &observed, residual);
            return true;
        };
        slow.last_run_at = self.now;
        if slow.probe == Some((task, run)) {
            slow.probe = None;
        }
        if observed.started_at > slow.since && score < 0.0 {
            self.set_normal_speed(key, WorkerSpeedState::Normal);
            return true;
        }
        false
    }

    /// Observes that a run is stopped since its copy completed the task. It had not
    /// ended at the worker's latest answer, which says as much as an end at that time.
    /// Otherwise a worker whose runs are all copied would never be found slow.
    pub(super) fn observe_superseded_stop(&mut self, task: TaskId, run: Run) {
        let Some(observed) = self.speeds.runs.swap_remove(&(task, run)) else {
            return;
        };
        let key = observed.worker;
        let Some(answered_at) = self.workers[key].answered_at else {
            return;
        };
        if observed.rack_local && self.is_spread_over_racks(task.step) {
            return;
        }
        let residual = observed.residual(answered_at.saturating_sub(observed.started_at));
        let spread = self.speeds.spread(&observed.queue.name);
        let prediction = Prediction::new(spread, self.speeds.ended_elsewhere(task.step, key));
        let score = prediction.score_running(residual);
        let worker = self.speeds.workers.entry(key).or_default();
        if worker.slow.is_none() {
            worker.add_ended(task.step, score, prediction.from_peers, self.now);
        }
    }

    /// The run of a task, if it is known, whether a copy has superseded it or not.
    fn known_run(&self, task: TaskId, run: Run) -> Option<&Attempt> {
        let latest = self.attempts.get(&task);
        let earlier = self.superseded.get(task);
        let mut known = latest.into_iter().chain(earlier);
        known.find(|attempt| attempt.run == run)
    }

    /// Whether the tasks of a step were placed in more than one rack.
    fn is_spread_over_racks(&self, step: StepId) -> bool {
        let placed = self
            .steps
            .get(&step)
            .into_iter()
            .flat_map(|s| s.placed.keys());
        let mut racks = placed.map(|key| self.workers[*key].record.rack.as_deref());
        let first = racks.next();
        first.is_some_and(|first| racks.any(|rack| rack != first))
    }

    /// Forgets all evidence about a worker, and logs `state` if it was slow.
    fn set_normal_speed(&mut self, key: WorkerKey, state: WorkerSpeedState) {
        let Some(worker) = self.speeds.workers.get_mut(&key) else {
            return;
        };
        let was_slow = worker.slow.is_some();
        worker.reset();
        let flags = &mut self.workers[key];
        (flags.slow, flags.suspected_slow) = (false, false);
        if was_slow {
            self.log_speed(key, state);
            self.request_scheduling_for_worker(key);
        }
    }

    fn log_speed(&mut self, key: WorkerKey, state: WorkerSpeedState) {
        let workers = self.speeds.workers.values();
        let slow_workers = workers.filter(|worker| worker.slow.is_some()).count();
        let record = &self.workers[key].record;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let speed_percent = (self.speed(key) * 100.0) as u32;
        let decision = Decision::WorkerSpeed {
            worker: record.name.clone(),
            pool: record.pool.clone(),
            state,
            speed_percent,
            slow_workers: slow_workers as u64,
        };
        self.log(decision);
    }
}
