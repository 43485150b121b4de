//! Measures the processor time of the owner's decisions: one scheduler with a fleet of
//! simulated workers on a simulated clock, where each pool in turn has a demand peak.
//! Prints the processor time per start and per event, and the fraction of one core.
//!
//! `cargo run --release -p cleat-jobs --example decision_cost -- [WORKERS] [SECONDS] [CUSTOMERS] [FEATURE]...`
//!
//! `FEATURE` is `worker_speed`, to estimate the speed of workers, `speculation`, to copy
//! tasks, or `admission`: each job is first accepted or refused, and refused jobs are not
//! submitted again. `machines` lists the machines of the workers, whose balances are then computed
//! at each tick; all moves are refused. `load=PERCENT` changes the arrival rate: from 200 on, jobs pile up.
//! `unplaced=COUNT` adds jobs of a higher priority that no worker can hold, which run until
//! they are cancelled, or end by themselves with `finite`. `confined=COUNT` adds jobs of a higher
//! priority that one worker of each pool can run, one at a time. `large=COUNT` adds jobs of a higher
//! priority, each of one task that needs half of a worker, in the middle of a demand peak, and
//! prints how long they wait.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cleat_control::{SimulatedRun, SimulatedWorker};
use cleat_jobs::{
    Admission, Cap, Catalogue, CatalogueDraft, Command, ControlState, Customer, CustomerDraft,
    Decision, Effect, EndKind, Event, Features, Heartbeat, JobId, JobSpec, MachineAnswer,
    MachineState, MachineView, Order, OrderAnswer, Pool, Queue, RenewalOrder, Scheduler,
    SchedulerConfig, Size, StepSpec, Submission, TaskOrder, WorkerHistory, WorkerRecord,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const POOLS: usize = 4;
/// How long the demand peak of a pool lasts.
const PEAK_DURATION: Duration = Duration::from_secs(5);
/// Demand at a peak and between peaks, in percent of the mean.
const PEAK_PERCENT: u64 = 800;
const BASE_PERCENT: u64 = 15;
/// The mean arrival rate of jobs per hundred workers. Each job has one or two steps of
/// eight tasks.
const JOBS_PER_SECOND_PER_100_WORKERS: u64 = 28;
/// When jobs begin to arrive. What is decided before is not measured.
const WARM_UP: Duration = Duration::from_secs(1);
/// When the large jobs arrive: in the peak of the second pool.
const LARGE_JOBS_AT: Duration = Duration::from_millis(6_500);
/// The label that one worker of each pool has.
const CONFINING_LABEL: &str = "confining";
const CALL_LATENCY: Duration = Duration::from_millis(3);
const COMMIT_LATENCY: Duration = Duration::from_millis(12);
const TICK: Duration = Duration::from_millis(50);
const CAPACITY: Size = Size {
    cpu_milli: 32_000,
    memory_mb: 131_072,
    gpu: 0,
};

enum SimEvent {
    Tick,
    Submit(usize),
    Commit(Command),
    /// A renewal sent at this time arrives at the worker with this index.
    Renew(usize, RenewalOrder, Duration),
    /// A worker answers a renewal that acknowledged the ends up to this number.
    RenewalDue(usize, u64, Duration),
    /// An order with the fencing token of its owner arrives at a worker.
    Order(usize, u64, TaskOrder),
    Deliver(Event),
}

struct World {
    rng: StdRng,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    sim_events: Vec<Option<SimEvent>>,
    state: ControlState,
    index: u64,
    owner: Scheduler,
    workers: Vec<SimulatedWorker>,
    jobs: u64,
    /// The number of customers that submit the jobs in turn; 0 for jobs without a customer.
    customers: u64,
    /// The arrival rate in percent of the usual one.
    load_percent: u64,
    /// Whether the platform lists the machines.
    lists_machines: bool,
    starts: u64,
    events: u64,
    decision_time: Duration,
    refused: u64,
    admission_time: Duration,
    longest_admission: Duration,
    /// The numbers of the large jobs.
    large_jobs: Range<u64>,
    /// How long those of them waited that started, in milliseconds.
    large_waits: Vec<u64>,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let workers = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(350);
    let seconds = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(30);
    let customers = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(0);
    let enabled: Vec<String> = args.collect();
    let is_enabled = |name: &str| enabled.iter().any(|feature| feature == name);
    let features = Features {
        worker_speed: is_enabled("worker_speed"),
        admission: is_enabled("admission"),
        speculation_percent: if is_enabled("speculation") { 5 } else { 0 },
        ..Features::default()
    };
    let load = enabled.iter().find_map(|arg| arg.strip_prefix("load="));
    let load_percent = load.and_then(|load| load.parse().ok()).unwrap_or(100);
    let count_of = |prefix: &str| {
        let mut counts = enabled.iter().filter_map(|arg| arg.strip_prefix(prefix));
        counts
            .next()
            .and_then(|count| count.parse().ok())
            .unwrap_or(0)
    };
    let long_running = !is_enabled("finite");
    let end = Duration::from_secs(seconds);
    let mut world = World::new(workers, customers, features);
    world.load_percent = load_percent;
    world.lists_machines = is_enabled("machines");
    let unplaced = count_of("unplaced=");
    world.submit_early(
        COMMIT_LATENCY,
        unplaced,
        2 * CAPACITY.cpu_milli,
        long_running,
        None,
    );
    let confined = count_of("confined=");
    let cpu_milli = CAPACITY.cpu_milli / 3 * 2;
    world.submit_early(
        COMMIT_LATENCY,
        confined,
        cpu_milli,
        false,
        Some(CONFINING_LABEL),
    );
    let large = count_of("large=");
    let earlier = unplaced + confined;
    world.large_jobs = earlier + 1..earlier + 1 + large;
    world.submit_early(LARGE_JOBS_AT, large, CAPACITY.cpu_milli / 2, false, None);
    while let Some(Reverse((at, slot))) = world.queue.pop() {
        if at > end {
            break;
        }
        if world.now < WARM_UP && at >= WARM_UP {
            world.decision_time = Duration::ZERO;
        }
        world.now = at;
        if let Some(sim_event) = world.sim_events[slot].take() {
            world.dispatch(sim_event);
        }
    }
    let starts = world.starts.max(1);
    println!(
        "{workers} workers, {customers} customers, {seconds} s: {} jobs, {} starts, {} events; {:.1} us a start, {:.1} us an event, {:.3} of a core",
        world.jobs,
        world.starts,
        world.events,
        world.decision_time.as_secs_f64() * 1e6 / starts as f64,
        world.decision_time.as_secs_f64() * 1e6 / world.events as f64,
        world.decision_time.as_secs_f64() / end.as_secs_f64(),
    );
    if !world.large_jobs.is_empty() {
        let waits = &world.large_waits;
        println!(
            "{} of {} large tasks started, after {} ms on average and {} ms at most",
            waits.len(),
            world.large_jobs.end - world.large_jobs.start,
            waits.iter().sum::<u64>() / waits.len().max(1) as u64,
            waits.iter().max().copied().unwrap_or_default(),
        );
    }
    if features.admission {
        println!(
            "{} refused; {:.1} us to accept or refuse a job, {:.0} us at most",
            world.refused,
            world.admission_time.as_secs_f64() * 1e6 / world.jobs.max(1) as f64,
            world.longest_admission.as_secs_f64() * 1e6,
        );
    }
}

impl World {
    fn new(workers: usize, customers: u64, features: Features) -> World {
        let mut state = ControlState::default();
        state.apply(1, Command::Bootstrapped);
        state.apply(2, Command::Configure(Arc::new(catalogue(customers))));
        state.apply(3, Command::TakeOver { member: 1 });
        let cfg = SchedulerConfig {
            features,
            ..SchedulerConfig::default()
        };
        let owner = Scheduler::new(cfg, &state, Duration::ZERO, 0);
        let mut world = World {
            rng: StdRng::seed_from_u64(7),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            sim_events: Vec::new(),
            state,
            index: 3,
            owner: owner.expect("the state has an owner"),
            workers: Vec::new(),
            jobs: 0,
            customers,
            load_percent: 100,
            lists_machines: false,
            starts: 0,
            events: 0,
            decision_time: Duration::ZERO,
            refused: 0,
            admission_time: Duration::ZERO,
            longest_admission: Duration::ZERO,
            large_jobs: 0..0,
            large_waits: Vec::new(),
        };
        for at in 0..workers {
            let worker = SimulatedWorker::new(record(at), 100, 1_000);
            let heartbeat = Heartbeat {
                record: worker.record.clone(),
                draining: false,
                sequence: 1,
            };
            world.workers.push(worker);
            world.feed(Event::Heartbeat(heartbeat));
        }
        world.schedule(Duration::ZERO, SimEvent::Tick);
        for pool in 0..POOLS {
            world.schedule(WARM_UP, SimEvent::Submit(pool));
        }
        world
    }

    fn schedule(&mut self, delay: Duration, sim_event: SimEvent) {
        let slot = self.sim_events.len();
        self.sim_events.push(Some(sim_event));
        self.queue.push(Reverse((self.now + delay, slot)));
    }

    fn dispatch(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Tick => {
                self.schedule(TICK, SimEvent::Tick);
                self.feed(Event::Tick { wall_ms: 1 });
            }
            SimEvent::Submit(pool) => self.submit(pool),
            SimEvent::Commit(command) => self.apply(command),
            SimEvent::Renew(at, order, sent) => self.renew(at, &order, sent),
            SimEvent::RenewalDue(at, acked, sent_at) => {
                let worker = &mut self.workers[at];
                let event = Event::RenewalAnswered {
                    worker: worker.record.name.clone(),
                    sent_at,
                    acked,
                    answer: worker.report(self.now),
                };
                self.schedule(CALL_LATENCY, SimEvent::Deliver(event));
            }
            SimEvent::Order(at, token, order) => self.deliver_order(at, token, order),
            SimEvent::Deliver(event) => self.feed(event),
        }
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.state.apply(self.index, command.clone());
        let command = Arc::new(command);
        self.feed(Event::Applied { command });
    }

    fn feed(&mut self, event: Event) {
        let began = Instant::now();
        let effects = self.owner.handle(&self.state, [event], self.now);
        self.decision_time += began.elapsed();
        self.events += 1;
        for effect in effects {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Renew { worker, order, .. } => {
                let sent = self.now;
                self.schedule(
                    CALL_LATENCY,
                    SimEvent::Renew(worker_index(&worker), order, sent),
                );
            }
            Effect::Order {
                worker,
                token,
                order,
                ..
            } => {
                self.starts += u64::from(matches!(order.order, Order::Start { .. }));
                self.schedule(
                    CALL_LATENCY,
                    SimEvent::Order(worker_index(&worker), token, order),
                );
            }
            Effect::Propose(command) => self.schedule(COMMIT_LATENCY, SimEvent::Commit(command)),
            Effect::Log(Decision::Start {
                task, waited_ms, ..
            }) => self.record_wait(&task, waited_ms),
            Effect::ListMachines if self.lists_machines => self.list_machines(),
            Effect::OrderMachine { machine, order, .. } => self.schedule(
                CALL_LATENCY,
                SimEvent::Deliver(Event::MachineOrdered {
                    machine,
                    order,
                    answer: MachineAnswer::Refused,
                }),
            ),
            Effect::Fenced { .. }
            | Effect::Departed { .. }
            | Effect::Log(_)
            | Effect::Advise { .. }
            | Effect::ListMachines => {}
        }
    }

    /// Answers a list of the machines, each of which has a worker.
    fn list_machines(&mut self) {
        let machines = self.workers.iter().map(|worker| machine(&worker.record));
        let event = Event::MachinesListed {
            sent_at: self.now,
            machines: Some(machines.collect()),
        };
        self.schedule(CALL_LATENCY, SimEvent::Deliver(event));
    }

    fn record_wait(&mut self, task: &str, waited_ms: u64) {
        let job = task.split('.').next();
        let job = job.and_then(|job| u64::from_str_radix(job, 16).ok());
        if job.is_some_and(|job| self.large_jobs.contains(&job)) {
            self.large_waits.push(waited_ms);
        }
    }

    fn submit(&mut self, pool: usize) {
        let peak_number = self.now.as_secs() / PEAK_DURATION.as_secs();
        let at_peak = peak_number % POOLS as u64 == pool as u64;
        let percent = if at_peak { PEAK_PERCENT } else { BASE_PERCENT };
        let jobs_per_second =
            JOBS_PER_SECOND_PER_100_WORKERS * self.workers.len() as u64 * percent / 100 / 100 / 4;
        let jobs_per_second = jobs_per_second * self.load_percent / 100;
        let interval = Duration::from_micros(1_000_000 / jobs_per_second.max(1));
        let interval = interval.mul_f64(self.rng.random_range(0.1..1.9));
        self.schedule(interval, SimEvent::Submit(pool));
        self.jobs += 1;
        let queue = self.state.catalogue.as_ref().expect("configured").queues[pool].clone();
        let steps = (0..self.rng.random_range(1..3u16)).map(|step| StepSpec {
            count: 8,
            size: Size {
                cpu_milli: self.rng.random_range(1_500..5_000),
                memory_mb: 8_000,
                gpu: 0,
            },
            estimate_ms: 640,
            after: if step > 0 { vec![step - 1] } else { Vec::new() },
            ..StepSpec::default()
        });
        let spec = JobSpec {
            specification: "".into(),
            steps: steps.collect(),
            repeat: None,
        };
        let (id, spec) = (JobId(self.jobs), Arc::new(spec));
        let customer = self.jobs.checked_rem(self.customers).map(customer);
        let submission = Submission {
            id,
            queue: &queue,
            customer: customer.as_deref(),
            spec: &spec,
            age: Duration::ZERO,
        };
        let began = Instant::now();
        let admission = self.owner.admit(&self.state, &submission);
        let took = began.elapsed();
        self.admission_time += took;
        self.longest_admission = self.longest_admission.max(took);
        if matches!(admission, Admission::Refuse { .. }) {
            self.refused += 1;
            return;
        }
        self.schedule(
            COMMIT_LATENCY,
            SimEvent::Commit(Command::Submit {
                id,
                queue,
                customer,
                spec,
                arrived_ms: 0,
            }),
        );
    }

    /// Submits jobs that go ahead of all others, each of one task of this size.
    fn submit_early(
        &mut self,
        at: Duration,
        count: u64,
        cpu_milli: u64,
        long_running: bool,
        label: Option<&str>,
    ) {
        for (number, pool) in (0..count).zip((0..POOLS).cycle()) {
            self.jobs += 1;
            let queues = &self.state.catalogue.as_ref().expect("configured").queues;
            let mut queue = Queue::clone(&queues[pool]);
            queue.priority = 0;
            let step = StepSpec {
                count: 1,
                size: Size {
                    // No two of them are alike.
                    cpu_milli: cpu_milli - number % 1_000,
                    memory_mb: 1_000 + number,
                    gpu: 0,
                },
                estimate_ms: 600_000,
                long_running,
                required_label: label.map(Into::into),
                ..StepSpec::default()
            };
            let spec = JobSpec {
                specification: "".into(),
                steps: vec![step],
                repeat: None,
            };
            self.schedule(
                at,
                SimEvent::Commit(Command::Submit {
                    id: JobId(self.jobs),
                    queue: Arc::new(queue),
                    customer: None,
                    spec: Arc::new(spec),
                    arrived_ms: 0,
                }),
            );
        }
    }

    fn renew(&mut self, at: usize, order: &RenewalOrder, sent: Duration) {
        let now = self.now;
        let worker = &mut self.workers[at];
        worker.renew(now, order);
        let wait = if worker.ended.is_empty() {
            let next = worker.runs.values().map(|run| run.ends_at).min();
            next.map_or(order.wait, |at| at.saturating_sub(now).min(order.wait))
        } else {
            Duration::ZERO
        };
        self.schedule(wait, SimEvent::RenewalDue(at, order.acked, sent));
    }

    fn deliver_order(&mut self, at: usize, token: u64, order: TaskOrder) {
        let span = Duration::from_millis(self.rng.random_range(200..1_100));
        let size = match &order.order {
            Order::Start { spec, .. } => spec.steps[usize::from(order.task.step.step)].footprint(),
            _ => Size::default(),
        };
        let planned = SimulatedRun {
            run: order.run,
            ends_at: self.now + span,
            end_kind: EndKind::Done,
            size,
        };
        let worker = &mut self.workers[at];
        let answer: OrderAnswer = worker.execute_order(self.now, token, &order, &planned);
        let event = Event::Ordered {
            worker: worker.record.name.clone(),
            order,
            answer,
        };
        self.schedule(CALL_LATENCY, SimEvent::Deliver(event));
    }
}

fn record(at: usize) -> WorkerRecord {
    WorkerRecord {
        name: format!("w{at}").into(),
        address: format!("10.0.0.1:{at}").into(),
        pool: format!("pool{}", at % POOLS).into(),
        machine: Some(format!("m{at}").into()),
        data_centre: "dc1".into(),
        capacity: CAPACITY,
        labels: match at < POOLS {
            true => vec!["kind".into(), CONFINING_LABEL.into()],
            false => vec!["kind".into()],
        },
        rack: Some(format!("rack{}", at / 20).into()),
        history: WorkerHistory::default(),
    }
}

/// The machine of a worker, as the platform lists it.
fn machine(record: &WorkerRecord) -> MachineView {
    MachineView {
        name: record.machine.clone().unwrap_or_default(),
        pool: record.pool.clone(),
        state: MachineState::Up,
        worker: Some(record.name.clone()),
        capacity: record.capacity,
        labels: record.labels.clone(),
    }
}

fn worker_index(name: &str) -> usize {
    name[1..]
        .parse()
        .expect("a worker name is `w` and a number")
}

fn customer(at: u64) -> Box<str> {
    format!("customer{at}").into()
}

/// Customers with a cap of twice an equal share of the capacity of 350 workers.
fn customers(count: u64) -> Vec<CustomerDraft> {
    let twice_equal_share = |all: u64| 2 * all * 350 / count.max(1);
    let cap = Cap(Size {
        cpu_milli: twice_equal_share(CAPACITY.cpu_milli),
        memory_mb: twice_equal_share(CAPACITY.memory_mb),
        gpu: 0,
    });
    let one = |at| Customer {
        name: customer(at),
        keys: Vec::new(),
        weight: 10.0,
        cap,
    };
    (0..count)
        .map(|at| CustomerDraft::new(one(at), &[]))
        .collect()
}

fn catalogue(count: u64) -> Catalogue {
    let queue = |at: usize| Queue {
        name: format!("queue{at}").into(),
        host: "host".into(),
        prefix: format!("/queue{at}/").into(),
        pool: format!("pool{at}").into(),
        priority: 1,
        max_attempts: 3,
        stretch: 1.5,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        public: false,
        advice: None,
    };
    let pool = |at: usize| Pool {
        name: format!("pool{at}").into(),
        enforces_capacity: true,
        spare: false,
        health_path: "/health".into(),
    };
    let draft = CatalogueDraft {
        version: 1,
        queues: (0..POOLS).map(queue).collect(),
        pools: (0..POOLS).map(pool).collect(),
        customers: (count > 0).then(|| customers(count)),
        document: "{}".into(),
    };
    Catalogue::new(draft).expect("a valid catalogue")
}
