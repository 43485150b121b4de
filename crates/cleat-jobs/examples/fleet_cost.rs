//! Measures the processor time that the owner needs to manage the machines of a fleet. The
//! machines of the other pools are idle and move back to the spare pool; then one pool needs
//! a tenth of the machines. Prints the processor time per tick without changes, while
//! machines move back, and while machines move to the pool.
//!
//! `cargo run --release -p cleat-jobs --example fleet_cost -- [--plan] [MACHINES]...`
//!
//! `--plan` enables the machine plan.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cleat_jobs::{
    Catalogue, CatalogueDraft, Command, ControlState, Effect, Event, Features, Heartbeat, JobId,
    JobSpec, MachineAnswer, MachineState, MachineView, Pool, Queue, RenewalAnswer, Scheduler,
    SchedulerConfig, Size, StepSpec, WorkerHistory, WorkerRecord,
};

const POOLS: usize = 5;
const SPARE: &str = "pool0";
const TICK: Duration = Duration::from_millis(50);
const TICKS: u32 = 100;
const CAPACITY: Size = Size {
    cpu_milli: 32_000,
    memory_mb: 65_536,
    gpu: 0,
};

struct World {
    now: Duration,
    state: ControlState,
    index: u64,
    owner: Scheduler,
    machines: Vec<MachineView>,
    decision_time: Duration,
    moves: usize,
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .flat_map(|arg| arg.parse())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![350, 1_200, 6_000, 12_000]
    } else {
        sizes
    };
    let machine_plan = std::env::args().any(|arg| arg == "--plan");
    println!("machines  at rest us  going back us (moves)  coming us (moves)");
    for size in sizes {
        let mut world = World::new(size, machine_plan);
        world.list();
        world.pass_settling_time();
        world.answer_list(machine_plan);
        let (back_us, back_moves) = world.run_ticks();
        world.list();
        world.pass_settling_time();
        world.answer_list(machine_plan);
        let (idle_us, _) = world.run_ticks();
        world.answer_list(machine_plan);
        world.submit(size / 10);
        let (demand_us, demand_moves) = world.run_ticks();
        println!(
            "{size:>8}  {idle_us:>10}  {back_us:>13} ({back_moves:>5})  {demand_us:>9} ({demand_moves:>5})"
        );
    }
}

impl World {
    fn new(size: usize, machine_plan: bool) -> World {
        let mut state = ControlState::default();
        state.apply(1, Command::Bootstrapped);
        state.apply(2, Command::Configure(Arc::new(catalogue())));
        state.apply(3, Command::TakeOver { member: 1 });
        let features = Features {
            machine_plan,
            ..Features::default()
        };
        let cfg = SchedulerConfig {
            features,
            ..SchedulerConfig::default()
        };
        let owner = Scheduler::new(cfg, &state, Duration::ZERO, 0);
        let mut world = World {
            now: Duration::ZERO,
            state,
            index: 3,
            owner: owner.expect("the state has an owner"),
            machines: (0..size).map(machine).collect(),
            decision_time: Duration::ZERO,
            moves: 0,
        };
        for at in 0..size {
            world.add_worker(at, 0);
        }
        world
    }

    /// Starts a worker on a machine; it sends a heartbeat and answers a renewal.
    fn add_worker(&mut self, at: usize, life: u64) {
        let view = &self.machines[at];
        let name: Box<str> = format!("w{at}-{life}").into();
        let record = WorkerRecord {
            name: name.clone(),
            address: format!("10.0.0.1:{at}").into(),
            pool: view.pool.clone(),
            machine: Some(view.name.clone()),
            data_centre: "dc1".into(),
            capacity: CAPACITY,
            labels: Vec::new(),
            rack: None,
            history: WorkerHistory::default(),
        };
        self.machines[at].worker = Some(name.clone());
        self.feed(Event::Heartbeat(Heartbeat {
            record,
            draining: false,
            sequence: 1,
        }));
        self.feed(Event::RenewalAnswered {
            worker: name,
            sent_at: self.now,
            acked: 0,
            answer: RenewalAnswer::default(),
        });
    }

    fn list(&mut self) {
        self.feed(Event::MachinesListed {
            sent_at: self.now,
            machines: Some(self.machines.clone()),
        });
    }

    /// Answers a list for the machine plan, which orders nothing while the platform has not
    /// answered for some seconds.
    fn answer_list(&mut self, machine_plan: bool) {
        if machine_plan {
            self.list();
        }
    }

    /// Advances the clock until all orders are settled.
    fn pass_settling_time(&mut self) {
        self.now += Duration::from_secs(7);
    }

    /// Runs `TICKS` ticks, and returns the processor time per tick in microseconds and the number
    /// of moves.
    fn run_ticks(&mut self) -> (u128, usize) {
        self.decision_time = Duration::ZERO;
        self.moves = 0;
        for _ in 0..TICKS {
            self.now += TICK;
            let began = Instant::now();
            let effects = self
                .owner
                .handle(&self.state, [Event::Tick { wall_ms: 1 }], self.now);
            self.decision_time += began.elapsed();
            self.execute(effects);
        }
        (
            self.decision_time.as_micros() / u128::from(TICKS),
            self.moves,
        )
    }

    fn feed(&mut self, event: Event) {
        let effects = self.owner.handle(&self.state, [event], self.now);
        self.execute(effects);
    }

    /// Commits commands and executes orders immediately.
    fn execute(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Propose(command) => {
                    self.index += 1;
                    self.state.apply(self.index, command.clone());
                    let command = Arc::new(command);
                    self.feed(Event::Applied { command });
                }
                Effect::OrderMachine { machine, order, .. } => {
                    self.moves += 1;
                    self.feed(Event::MachineOrdered {
                        machine,
                        order,
                        answer: MachineAnswer::Done,
                    });
                }
                _ => {}
            }
        }
    }

    fn submit(&mut self, machines: usize) {
        let queue = self.state.catalogue.as_ref().expect("configured").queues[0].clone();
        let step = StepSpec {
            count: u32::try_from(machines).expect("value out of range"),
            size: CAPACITY,
            estimate_ms: 1_000,
            ..StepSpec::default()
        };
        self.index += 1;
        let command = Command::Submit {
            id: JobId(1),
            queue,
            customer: None,
            spec: Arc::new(JobSpec {
                specification: "".into(),
                steps: vec![step],
                repeat: None,
            }),
            arrived_ms: 0,
        };
        self.state.apply(self.index, command.clone());
        let command = Arc::new(command);
        self.feed(Event::Applied { command });
    }
}

fn machine(at: usize) -> MachineView {
    MachineView {
        name: format!("m{at}").into(),
        pool: format!("pool{}", at % POOLS).into(),
        state: MachineState::Up,
        worker: None,
        capacity: CAPACITY,
        labels: Vec::new(),
    }
}

fn catalogue() -> Catalogue {
    let queue = |at: usize| Queue {
        name: format!("queue{at}").into(),
        host: "host".into(),
        prefix: format!("/queue{at}/").into(),
        pool: format!("pool{at}").into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        public: false,
        advice: None,
    };
    let pool = |at: usize| {
        let name: Box<str> = format!("pool{at}").into();
        Pool {
            enforces_capacity: true,
            spare: *name == *SPARE,
            health_path: "/health".into(),
            name,
        }
    };
    let draft = CatalogueDraft {
        version: 1,
        queues: (1..POOLS).map(queue).collect(),
        pools: (0..POOLS).map(pool).collect(),
        customers: None,
        document: "{}".into(),
    };
    Catalogue::new(draft).expect("a valid catalogue")
}
