//! A fleet of simulated workers in four pools and a spare pool, with queues whose demand
//! peaks alternate.

use std::sync::Arc;
use std::time::Duration;

use cleat_control::{SimulatedRun, SimulatedWorker};
use cleat_jobs::{
    Catalogue, CatalogueDraft, Command, ControlState, Decision, Effect, EndKind, Event, Features,
    Heartbeat, JobId, JobState, MachineAnswer, MachineOrder, MachineState, MachineView, Order,
    RenewalOrder, Scheduler, SchedulerConfig, Size, StepSpec,
};
use indexmap::IndexMap;

use super::{customer, draft, job, pool, queue, record, step};

const STEP: Duration = Duration::from_millis(25);
/// How long the platform takes to move a machine.
const MOVE_TIME: Duration = Duration::from_millis(1_500);
/// The maximum time until the worker of a machine that was moved accepts work.
const MAX_WORKER_START_MS: u64 = 500;
/// How long a queue's demand peak lasts.
const PEAK: Duration = Duration::from_millis(4_500);
const QUEUES: usize = 4;
/// The task duration, the cores per task in thousandths, and the steps of ten jobs, by queue.
const SHAPES: [(u64, u64, u64); QUEUES] = [
    (700, 6_500, 16),
    (1_000, 4_500, 20),
    (1_300, 3_500, 18),
    (1_700, 2_000, 20),
];
const STRETCH: f64 = 1.6;
const LATENCY_MS: u64 = 600;
const CAPACITY: Size = Size {
    cpu_milli: 32_000,
    memory_mb: 65_536,
    gpu: 0,
};

/// The load and the faults of one simulated run.
pub(crate) struct Scenario {
    pub(crate) machines: usize,
    pub(crate) duration: Duration,
    /// The jobs per second of each customer in a queue's peak, with its share.
    pub(crate) customers: Vec<(&'static str, f64, f64)>,
    pub(crate) features: Features,
    pub(crate) seed: u64,
}

/// What callers got and what it cost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) jobs: f64,
    pub(crate) in_time: f64,
    pub(crate) moves: usize,
    /// The time that machines spent in pools other than the spare pool.
    pub(crate) machine_seconds: f64,
    /// Moves of machines that left a pool less than a move's time after they joined it.
    pub(crate) short_stays: usize,
    /// The part of the processor time of accepting workers that tasks used.
    pub(crate) use_of_accepting: f64,
}

impl Outcome {
    pub(crate) fn served(&self) -> f64 {
        self.in_time / self.jobs
    }

    /// What machines cost: a move costs about as much as a second in a pool.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn cost(&self) -> f64 {
        self.moves as f64 + self.machine_seconds
    }
}

impl std::ops::Add for Outcome {
    type Output = Outcome;

    /// The sums over two runs; of the part in use, the mean weighted by jobs.
    fn add(self, other: Outcome) -> Outcome {
        let jobs = self.jobs + other.jobs;
        let used = self.use_of_accepting * self.jobs + other.use_of_accepting * other.jobs;
        Outcome {
            jobs,
            in_time: self.in_time + other.in_time,
            moves: self.moves + other.moves,
            machine_seconds: self.machine_seconds + other.machine_seconds,
            short_stays: self.short_stays + other.short_stays,
            use_of_accepting: used / jobs,
        }
    }
}

struct PendingRenewal {
    order: RenewalOrder,
    sent_at: Duration,
}

struct Job {
    submitted_at: Duration,
    objective: Duration,
    customer: &'static str,
    completed_at: Option<Duration>,
}

/// A machine, and when the worker of its current life starts.
struct SimulatedMachine {
    view: MachineView,
    up_at: Option<Duration>,
    worker_at: Option<Duration>,
    joined_at: Option<Duration>,
    lives: u32,
}

pub(crate) struct Fleet {
    pub(crate) state: ControlState,
    pub(crate) owner: Scheduler,
    pub(crate) now: Duration,
    scenario: Scenario,
    index: u64,
    random: u64,
    machines: IndexMap<Box<str>, SimulatedMachine>,
    workers: IndexMap<Box<str>, (SimulatedWorker, Option<PendingRenewal>)>,
    events: Vec<Event>,
    jobs: IndexMap<JobId, Job>,
    open: Vec<JobId>,
    /// The fraction of a job that each queue and customer has accrued.
    accrued: Vec<f64>,
    pub(crate) decisions: Vec<(Duration, Decision)>,
    outcome: Outcome,
    used: f64,
    accepting: f64,
}

fn queue_name(at: usize) -> String {
    format!("q{at}")
}

fn pool_name(at: usize) -> String {
    format!("p{at}")
}

impl Fleet {
    pub(crate) fn new(scenario: Scenario) -> Fleet {
        let queues = (0..QUEUES).map(|at| {
            let mut queue = queue(&queue_name(at), &pool_name(at));
            queue.stretch = STRETCH;
            queue.target_latency_ms = LATENCY_MS;
            queue
        });
        let pools = (0..QUEUES).map(|at| pool(&pool_name(at), false));
        let customers = scenario.customers.iter().map(|(name, _, share)| {
            let mut draft = customer(name, &[], 0);
            draft.customer.weight = *share;
            draft
        });
        let draft = CatalogueDraft {
            queues: queues.collect(),
            pools: pools.chain([pool("spare", true)]).collect(),
            customers: Some(customers.collect()),
            ..draft(1)
        };
        let catalogue = Catalogue::new(draft).expect("valid");
        let mut state = ControlState::default();
        state.apply(1, Command::Bootstrapped);
        state.apply(2, Command::Configure(Arc::new(catalogue)));
        state.apply(3, Command::TakeOver { member: 1 });
        let cfg = SchedulerConfig {
            features: scenario.features,
            ..SchedulerConfig::default()
        };
        let owner = Scheduler::new(cfg, &state, Duration::ZERO, 1).expect("the state has an owner");
        let mut fleet = Fleet {
            state,
            owner,
            now: Duration::ZERO,
            index: 3,
            random: scenario.seed,
            machines: IndexMap::new(),
            workers: IndexMap::new(),
            events: Vec::new(),
            jobs: IndexMap::new(),
            open: Vec::new(),
            accrued: vec![0.0; QUEUES * scenario.customers.len()],
            decisions: Vec::new(),
            outcome: Outcome::default(),
            used: 0.0,
            accepting: 0.0,
            scenario,
        };
        for at in 0..fleet.scenario.machines {
            let name: Box<str> = format!("m{at}").into();
            let view = MachineView {
                name: name.clone(),
                pool: match at % (QUEUES + 1) {
                    QUEUES => "spare".into(),
                    at => pool_name(at).into(),
                },
                state: MachineState::Up,
                worker: None,
                capacity: CAPACITY,
                labels: Vec::new(),
            };
            let machine = SimulatedMachine {
                view,
                up_at: None,
                worker_at: Some(Duration::ZERO),
                joined_at: None,
                lives: 0,
            };
            fleet.machines.insert(name, machine);
        }
        fleet
    }

    /// Plays the whole scenario.
    pub(crate) fn run(mut self) -> (Outcome, Fleet) {
        while self.now < self.scenario.duration {
            self.advance();
        }
        let settled = |job: &&Job| job.submitted_at + job.objective <= self.now;
        let mut outcome = self.outcome;
        for job in self.jobs.values().filter(settled) {
            outcome.jobs += 1.0;
            let due = job.submitted_at + job.objective;
            let in_time = job.completed_at.is_some_and(|at| at <= due);
            outcome.in_time += f64::from(u8::from(in_time));
        }
        outcome.use_of_accepting = self.used / self.accepting.max(1.0);
        (outcome, self)
    }

    /// The part of a customer's jobs that ended in time.
    pub(crate) fn served_for(&self, customer: &str) -> f64 {
        let of_customer = self.jobs.values().filter(|job| job.customer == customer);
        let settled = of_customer.filter(|job| job.submitted_at + job.objective <= self.now);
        let (mut jobs, mut in_time) = (0.0, 0.0);
        for job in settled {
            jobs += 1.0;
            let due = job.submitted_at + job.objective;
            in_time += f64::from(u8::from(job.completed_at.is_some_and(|at| at <= due)));
        }
        in_time / jobs
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }

    fn advance(&mut self) {
        self.now += STEP;
        let wall_ms = 1 + u64::try_from(self.now.as_millis()).expect("value out of range");
        self.advance_machines();
        self.submit_jobs();
        self.events.push(Event::Tick { wall_ms });
        self.answer_renewals();
        let events = std::mem::take(&mut self.events);
        for effect in self.owner.handle(&self.state, events, self.now) {
            self.execute(effect);
        }
        self.measure();
    }

    #[allow(clippy::cast_precision_loss)]
    fn measure(&mut self) {
        let in_pools = self.machines.values().filter(|m| *m.view.pool != *"spare");
        self.outcome.machine_seconds += in_pools.count() as f64 * STEP.as_secs_f64();
        let workers = self.workers.values();
        let in_pools = workers.filter(|(model, _)| *model.record.pool != *"spare");
        for (model, _) in in_pools {
            let used: u64 = model.runs.values().map(|run| run.size.cpu_milli).sum();
            self.used += used as f64;
            self.accepting += CAPACITY.cpu_milli as f64;
        }
    }

    fn advance_machines(&mut self) {
        let names: Vec<Box<str>> = self.machines.keys().cloned().collect();
        for name in names {
            let start_ms = self.random(MAX_WORKER_START_MS);
            let now = self.now;
            let machine = &mut self.machines[&name];
            if machine.up_at.take_if(|at| *at <= now).is_some() {
                machine.view.state = MachineState::Up;
                machine.worker_at = Some(now + Duration::from_millis(start_ms));
            }
            if machine.worker_at.take_if(|at| *at <= now).is_none() {
                continue;
            }
            machine.lives += 1;
            machine.joined_at = (machine.lives > 1).then_some(now);
            let worker: Box<str> = format!("w-{name}-{}", machine.lives).into();
            machine.view.worker = Some(worker.clone());
            let mut record = record(&worker, &machine.view.pool);
            record.machine = Some(name.clone());
            record.capacity = CAPACITY;
            let model = SimulatedWorker::new(record.clone(), 100, 1_000);
            self.workers.insert(worker, (model, None));
            self.events.push(Event::Heartbeat(Heartbeat {
                record,
                draining: false,
                sequence: 1,
            }));
        }
    }

    fn submit_jobs(&mut self) {
        let cycle_ms = PEAK.as_millis() * QUEUES as u128;
        let phase = self.now.as_millis() % cycle_ms / PEAK.as_millis();
        for at in 0..QUEUES {
            let level = if at as u128 == phase { 1.0 } else { 0.01 };
            for number in 0..self.scenario.customers.len() {
                let (name, rate, _) = self.scenario.customers[number];
                let slot = at * self.scenario.customers.len() + number;
                let mean = rate * level * STEP.as_secs_f64();
                #[allow(clippy::cast_precision_loss)]
                let noise = self.random(2_000) as f64 / 1_000.0;
                self.accrued[slot] += mean * noise;
                while self.accrued[slot] >= 1.0 {
                    self.accrued[slot] -= 1.0;
                    self.submit(at, name);
                }
            }
        }
    }

    fn submit(&mut self, at: usize, customer: &'static str) {
        let id = JobId(self.jobs.len() as u64);
        let queue = self.state.catalogue.as_ref().expect("configured").queues[at].clone();
        let (estimate_ms, cpu_milli, steps_of_ten) = SHAPES[at];
        let steps = if self.random(10) < steps_of_ten - 10 {
            2
        } else {
            1
        };
        let spec = |after: Vec<u16>| StepSpec {
            estimate_ms,
            after,
            ..step(8, cpu_milli)
        };
        let specs = match steps {
            1 => vec![spec(vec![])],
            _ => vec![spec(vec![]), spec(vec![0])],
        };
        let chain_ms = estimate_ms * steps;
        let objective =
            Duration::from_millis(chain_ms).mul_f64(STRETCH) + Duration::from_millis(LATENCY_MS);
        let submitted = Job {
            submitted_at: self.now,
            objective,
            customer,
            completed_at: None,
        };
        self.jobs.insert(id, submitted);
        self.open.push(id);
        self.apply(Command::Submit {
            id,
            queue,
            customer: Some(customer.into()),
            spec: job(specs),
            arrived_ms: 0,
        });
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.state.apply(self.index, command.clone());
        if matches!(command, Command::RecordEnds { .. }) {
            let (state, jobs, now) = (&self.state, &mut self.jobs, self.now);
            self.open.retain(|id| {
                let completed = state.job_state(*id) == Some(JobState::Completed);
                if completed {
                    jobs[id].completed_at = Some(now);
                }
                !completed
            });
        }
        let command = Arc::new(command);
        self.events.push(Event::Applied { command });
    }

    fn answer_renewals(&mut self) {
        let now = self.now;
        for (name, (model, pending)) in &mut self.workers {
            let due = |pending: &PendingRenewal| now >= pending.sent_at + pending.order.wait;
            model.advance(now);
            let answers = !model.ended.is_empty() || pending.as_ref().is_some_and(due);
            if let Some(renewal) = pending.take_if(|_| answers) {
                self.events.push(Event::RenewalAnswered {
                    worker: name.clone(),
                    sent_at: renewal.sent_at,
                    acked: renewal.order.acked,
                    answer: model.report(now),
                });
            }
        }
    }

    fn execute(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Propose(command) => self.apply(command),
            Effect::Log(decision) => self.decisions.push((now, decision)),
            Effect::ListMachines => self.events.push(Event::MachinesListed {
                sent_at: now,
                machines: Some(self.machines.values().map(|m| m.view.clone()).collect()),
            }),
            Effect::OrderMachine { machine, order, .. } => self.order_machine(machine, order),
            Effect::Renew { worker, order, .. } => {
                let Some((model, pending)) = self.workers.get_mut(&worker) else {
                    return self.events.push(Event::RenewalFailed {
                        worker,
                        other_life: true,
                    });
                };
                model.renew(now, &order);
                let sent_at = now;
                *pending = Some(PendingRenewal { order, sent_at });
            }
            Effect::Order {
                worker,
                token,
                order,
                ..
            } => {
                let spread = 80 + self.random(40);
                let (size, run_ms) = match &order.order {
                    Order::Start { spec, .. } => {
                        let step = &spec.steps[usize::from(order.task.step.step)];
                        (step.footprint(), step.estimate_ms * spread / 100)
                    }
                    Order::Stop | Order::Throttle(_) => (Size::default(), 0),
                };
                let planned = SimulatedRun {
                    run: order.run,
                    ends_at: now + Duration::from_millis(run_ms),
                    end_kind: EndKind::Done,
                    size,
                };
                let Some((model, _)) = self.workers.get_mut(&worker) else {
                    return;
                };
                let answer = model.execute_order(now, token, &order, &planned);
                self.events.push(Event::Ordered {
                    worker,
                    order,
                    answer,
                });
            }
            _ => {}
        }
    }

    fn order_machine(&mut self, name: Box<str>, order: MachineOrder) {
        let now = self.now;
        let machine = &mut self.machines[&name];
        if let MachineOrder::Move { pool } = &order
            && machine.view.state == MachineState::Up
        {
            self.outcome.moves += 1;
            let stayed = machine.joined_at.take().map(|at| now - at);
            let short = stayed.is_some_and(|stayed| stayed < MOVE_TIME);
            self.outcome.short_stays += usize::from(short && *machine.view.pool != *"spare");
            machine.view.pool = pool.clone();
            machine.view.state = MachineState::Moving;
            machine.up_at = Some(now + MOVE_TIME);
            machine.worker_at = None;
            if let Some(worker) = machine.view.worker.take() {
                self.workers.swap_remove(&worker);
            }
        }
        self.events.push(Event::MachineOrdered {
            machine: name,
            order,
            answer: MachineAnswer::Done,
        });
    }
}
