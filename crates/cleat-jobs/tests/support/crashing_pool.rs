//! One pool under a steady load whose workers crash together or in turn, and whose owner is
//! replaced.

use std::sync::Arc;
use std::time::Duration;

use cleat_control::{SimulatedRun, SimulatedWorker};
use cleat_jobs::{
    Command, ControlState, Effect, EndKind, Event, Heartbeat, JobId, JobState, Order, OrderAnswer,
    RenewalOrder, Scheduler, SchedulerConfig, Size, TaskId, TaskOrder, WorkerRecord,
};
use indexmap::{IndexMap, IndexSet};

use super::{catalogue, job, record, step};

const STEP: Duration = Duration::from_millis(25);
/// How long a call waits for an answer beyond the time for which it may be held back.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a worker is down after a crash.
const DOWN_FOR: Duration = Duration::from_millis(2_500);
/// How long after its start a crashing task crashes its worker.
const CRASH_DELAY: Duration = Duration::from_millis(10);
const TASKS_PER_JOB: u32 = 4;
const TASK_CPU_MILLI: u64 = 1_000;
/// The mean duration of a task.
const TASK_MS: u64 = 1_000;
/// The mean use of the pool.
const LOAD_PERCENT: u64 = 40;
/// A job that could run may stand still for less than this while half of the pool is free.
pub(crate) const MAX_STALL: Duration = Duration::from_secs(3);

const CAPACITY: Size = Size {
    cpu_milli: 32_000,
    memory_mb: 65_536,
    gpu: 0,
};

/// How a worker ends its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The process ends: its connections are reset.
    Process,
    /// The machine loses power: calls to it time out.
    Power,
}

struct PendingRenewal {
    order: RenewalOrder,
    sent_at: Duration,
}

struct PoolWorker {
    model: SimulatedWorker,
    pending: Option<PendingRenewal>,
    failed: Option<Failure>,
    /// When its next life starts.
    restarts_at: Option<Duration>,
    /// Whether a later life runs at its address.
    replaced: bool,
}

/// A pool of equal workers, its owner, and what was observed.
pub(crate) struct CrashingPool {
    pub(crate) state: ControlState,
    pub(crate) owner: Scheduler,
    pub(crate) now: Duration,
    workers: IndexMap<Box<str>, PoolWorker>,
    events: Vec<Event>,
    index: u64,
    random: u64,
    submitted: u64,
    accrued: u64,
    lives: usize,
    /// The jobs whose first task crashes each worker that it starts on.
    pub(crate) culprits: IndexSet<JobId>,
    /// The workers that each crashing task has crashed.
    pub(crate) crashed_by: IndexMap<TaskId, usize>,
    /// When each of the last starts of a crashing task crashes its worker.
    due_crashes: Vec<(Duration, Box<str>, TaskId)>,
    /// Since when each job has nothing running, though half of the pool is free.
    idle_since: IndexMap<JobId, Duration>,
    /// The longest such time.
    pub(crate) longest_stall: Duration,
    /// When each task was started.
    pub(crate) starts: Vec<Duration>,
}

impl CrashingPool {
    pub(crate) fn new(workers: usize, seed: u64) -> CrashingPool {
        let mut state = ControlState::default();
        state.apply(1, Command::Bootstrapped);
        state.apply(2, Command::Configure(catalogue(1)));
        state.apply(3, Command::TakeOver { member: 1 });
        let cfg = SchedulerConfig::default();
        let owner = Scheduler::new(cfg, &state, Duration::ZERO, 1);
        let mut pool = CrashingPool {
            state,
            owner: owner.expect("the state has an owner"),
            now: Duration::ZERO,
            workers: IndexMap::new(),
            events: Vec::new(),
            index: 3,
            random: seed,
            submitted: 0,
            accrued: 0,
            lives: 0,
            culprits: IndexSet::new(),
            crashed_by: IndexMap::new(),
            due_crashes: Vec::new(),
            idle_since: IndexMap::new(),
            longest_stall: Duration::ZERO,
            starts: Vec::new(),
        };
        for at in 0..workers {
            pool.new_life(&format!("m{at}"));
        }
        pool
    }

    fn new_life(&mut self, machine: &str) {
        self.lives += 1;
        let record = WorkerRecord {
            machine: Some(machine.into()),
            capacity: CAPACITY,
            ..record(&format!("w{}", self.lives), "a")
        };
        // The owner does not know the workers' clocks.
        let offset_ms = 1_000 + 50_000 * self.lives as u64;
        let worker = PoolWorker {
            model: SimulatedWorker::new(record.clone(), 100, offset_ms),
            pending: None,
            failed: None,
            restarts_at: None,
            replaced: false,
        };
        self.workers.insert(record.name.clone(), worker);
        self.events.push(Event::Heartbeat(Heartbeat {
            record,
            draining: false,
            sequence: 1,
        }));
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }

    /// Lets time pass under the steady load.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.submit_due_jobs();
            self.advance();
        }
    }

    /// Lets time pass without new jobs.
    pub(crate) fn drain_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.advance();
        }
    }

    /// The workers that are up, in an order by lot.
    fn shuffled_live(&mut self) -> Vec<Box<str>> {
        let live = self.workers.iter().filter(|(_, w)| w.failed.is_none());
        let mut live: Vec<Box<str>> = live.map(|(name, _)| name.clone()).collect();
        for at in (1..live.len()).rev() {
            let other = self.random(at as u64 + 1);
            live.swap(at, usize::try_from(other).expect("an index"));
        }
        live
    }

    /// Crashes this many of the workers at once.
    pub(crate) fn crash_together(&mut self, count: usize, how: Failure) {
        let live = self.shuffled_live();
        for name in live.into_iter().take(count) {
            self.crash(&name, how);
        }
    }

    /// Crashes this many of the workers one after the other, at this interval.
    pub(crate) fn crash_in_turn(&mut self, count: usize, interval: Duration) {
        for _ in 0..count {
            self.crash_together(1, Failure::Process);
            self.run_for(interval);
        }
    }

    /// Cuts this many of the workers off from the network.
    pub(crate) fn cut_off(&mut self, count: usize, duration: Duration) {
        let live = self.shuffled_live();
        let until = self.now + duration;
        for name in live.into_iter().take(count) {
            self.workers[&name].model.unreachable_until = until;
        }
    }

    fn crash(&mut self, name: &str, how: Failure) {
        let now = self.now;
        let worker = &mut self.workers[name];
        worker.model.up = false;
        worker.model.runs.clear();
        worker.failed = Some(how);
        worker.restarts_at = Some(now + DOWN_FOR);
        if how == Failure::Process && worker.pending.take().is_some() {
            self.events.push(Event::RenewalFailed {
                worker: name.into(),
                other_life: false,
            });
        }
    }

    /// Another member takes over; what the last owner was about to learn is lost.
    pub(crate) fn replace_owner(&mut self) {
        self.events.clear();
        for worker in self.workers.values_mut() {
            worker.pending = None;
        }
        self.index += 1;
        self.state
            .apply(self.index, Command::TakeOver { member: 2 });
        let cfg = SchedulerConfig::default();
        let owner = Scheduler::new(cfg, &self.state, self.now, self.wall_ms());
        self.owner = owner.expect("the state has an owner");
        let live = self.workers.values().filter(|w| w.failed.is_none());
        let heartbeats: Vec<Event> = live
            .map(|worker| {
                Event::Heartbeat(Heartbeat {
                    record: worker.model.record.clone(),
                    draining: false,
                    sequence: 2,
                })
            })
            .collect();
        self.events.extend(heartbeats);
    }

    fn wall_ms(&self) -> u64 {
        1 + u64::try_from(self.now.as_millis()).expect("value out of range")
    }

    fn submit_due_jobs(&mut self) {
        let workers = self.workers.values().filter(|w| !w.replaced).count() as u64;
        let cpu_milli = workers * CAPACITY.cpu_milli * LOAD_PERCENT / 100;
        let step_ms = u64::try_from(STEP.as_millis()).expect("value out of range");
        self.accrued += cpu_milli * step_ms;
        let job_cost = u64::from(TASKS_PER_JOB) * TASK_CPU_MILLI * TASK_MS;
        while self.accrued >= job_cost {
            self.accrued -= job_cost;
            self.submit();
        }
    }

    /// Submits a job and returns its id.
    pub(crate) fn submit(&mut self) -> JobId {
        self.submitted += 1;
        let id = JobId(self.submitted);
        let queue = self.state.catalogue.as_ref().expect("configured").queues[0].clone();
        self.apply(Command::Submit {
            id,
            queue,
            customer: None,
            spec: job(vec![step(TASKS_PER_JOB, TASK_CPU_MILLI)]),
            arrived_ms: 0,
        });
        id
    }

    /// Submits a job whose first task crashes its workers.
    pub(crate) fn submit_culprit(&mut self) -> JobId {
        let id = self.submit();
        self.culprits.insert(id);
        id
    }

    fn is_culprit(&self, task: TaskId) -> bool {
        task.index == 0 && self.culprits.contains(&task.job())
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.state.apply(self.index, command.clone());
        let command = Arc::new(command);
        self.events.push(Event::Applied { command });
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.restart_workers();
        self.crash_by_culprits();
        self.answer_renewals();
        let wall_ms = self.wall_ms();
        self.events.push(Event::Tick { wall_ms });
        let events = std::mem::take(&mut self.events);
        for effect in self.owner.handle(&self.state, events, self.now) {
            self.execute(effect);
        }
        self.measure_stalls();
    }

    fn restart_workers(&mut self) {
        let now = self.now;
        let due = self.workers.values_mut().filter_map(|worker| {
            worker.restarts_at.take_if(|at| *at <= now)?;
            worker.replaced = true;
            worker.model.record.machine.clone()
        });
        let machines: Vec<Box<str>> = due.collect();
        for machine in machines {
            self.new_life(&machine);
        }
    }

    fn crash_by_culprits(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .due_crashes
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, worker, task) in due {
            if self.workers[&worker].model.runs.contains_key(&task) {
                *self.crashed_by.entry(task).or_default() += 1;
                self.crash(&worker, Failure::Process);
            }
        }
    }

    fn answer_renewals(&mut self) {
        let now = self.now;
        for (name, worker) in &mut self.workers {
            let reachable = worker.model.reachable(now);
            if worker.model.up {
                worker.model.advance(now);
            }
            let Some(pending) = &worker.pending else {
                continue;
            };
            let due = now >= pending.sent_at + pending.order.wait;
            if reachable && (due || !worker.model.ended.is_empty()) {
                self.events.push(Event::RenewalAnswered {
                    worker: name.clone(),
                    sent_at: pending.sent_at,
                    acked: pending.order.acked,
                    answer: worker.model.report(now),
                });
                worker.pending = None;
            } else if !reachable && now >= pending.sent_at + pending.order.wait + CALL_TIMEOUT {
                self.events.push(Event::RenewalFailed {
                    worker: name.clone(),
                    other_life: false,
                });
                worker.pending = None;
            }
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Propose(command) => self.apply(command),
            Effect::Renew { worker, order, .. } => self.renew(worker, order),
            Effect::Order {
                worker,
                token,
                order,
                ..
            } => self.order(worker, token, order),
            _ => {}
        }
    }

    fn renew(&mut self, name: Box<str>, order: RenewalOrder) {
        let (now, sent_at) = (self.now, self.now);
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        if worker.replaced || worker.failed == Some(Failure::Process) {
            return self.events.push(Event::RenewalFailed {
                other_life: worker.replaced,
                worker: name,
            });
        }
        if worker.model.reachable(now) {
            worker.model.renew(now, &order);
        }
        worker.pending = Some(PendingRenewal { order, sent_at });
    }

    fn order(&mut self, name: Box<str>, token: u64, order: TaskOrder) {
        let now = self.now;
        let answer = match self.workers.get(&name) {
            Some(worker) if worker.model.reachable(now) => self.deliver(&name, token, &order),
            Some(worker) if worker.failed != Some(Failure::Process) => OrderAnswer::Unknown,
            _ => OrderAnswer::NotSent,
        };
        let worker = name;
        self.events.push(Event::Ordered {
            worker,
            order,
            answer,
        });
    }

    fn deliver(&mut self, name: &str, token: u64, order: &TaskOrder) -> OrderAnswer {
        let now = self.now;
        let run_ms = TASK_MS * (50 + self.random(100)) / 100;
        let is_start = matches!(order.order, Order::Start { .. });
        let planned = SimulatedRun {
            run: order.run,
            ends_at: now + Duration::from_millis(run_ms),
            end_kind: EndKind::Done,
            size: Size {
                cpu_milli: TASK_CPU_MILLI,
                memory_mb: 100,
                gpu: 0,
            },
        };
        let model = &mut self.workers[name].model;
        let answer = model.execute_order(now, token, order, &planned);
        if is_start && answer == OrderAnswer::Done {
            self.starts.push(now);
            if self.is_culprit(order.task) {
                let crash = (now + CRASH_DELAY, name.into(), order.task);
                self.due_crashes.push(crash);
            }
        }
        answer
    }

    /// Whether half of the capacity that is up is free.
    fn is_half_free(&self) -> bool {
        let (mut used, mut capacity) = (0, 0);
        let live = self
            .workers
            .values()
            .filter(|w| w.model.reachable(self.now));
        for worker in live {
            used += worker.model.used().cpu_milli;
            capacity += worker.model.record.capacity.cpu_milli;
        }
        2 * used < capacity
    }

    fn measure_stalls(&mut self) {
        let running: IndexSet<JobId> = self
            .workers
            .values()
            .flat_map(|worker| worker.model.runs.keys().map(|task| task.job()))
            .collect();
        let half_free = self.is_half_free();
        let is_idle = |id: &JobId| {
            half_free
                && !running.contains(id)
                && !self.culprits.contains(id)
                && self.state.job_state(*id) == Some(JobState::Active)
        };
        let idle: IndexSet<JobId> = self.state.jobs.keys().copied().filter(is_idle).collect();
        self.idle_since.retain(|id, _| idle.contains(id));
        for id in idle {
            let since = *self.idle_since.entry(id).or_insert(self.now);
            self.longest_stall = self.longest_stall.max(self.now - since);
        }
    }

    /// The starts in the second before this time.
    pub(crate) fn starts_before(&self, at: Duration) -> usize {
        let since = at.saturating_sub(Duration::from_secs(1));
        let starts = self.starts.iter();
        starts
            .filter(|start| **start >= since && **start < at)
            .count()
    }

    /// The jobs that are not done, without the culprits'.
    pub(crate) fn unfinished(&self) -> usize {
        let jobs = self.state.jobs.keys();
        jobs.filter(|id| !self.culprits.contains(*id)).count()
    }

    /// The jobs with a crashing task that are not given up.
    pub(crate) fn active_culprits(&self) -> usize {
        let jobs = self.state.jobs.keys();
        jobs.filter(|id| self.culprits.contains(*id)).count()
    }

    /// The jobs that failed though none of their tasks crashes workers.
    pub(crate) fn wrongly_failed(&self) -> usize {
        let ended = self.state.ended.iter();
        let failed = ended.filter(|(_, job)| job.state == JobState::Failed);
        failed
            .filter(|(id, _)| !self.culprits.contains(*id))
            .count()
    }
}
