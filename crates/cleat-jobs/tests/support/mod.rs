//! Shared fixtures: small jobs, queues, workers and an owner.

#![allow(dead_code)]

pub(crate) mod crash_scenario;
pub(crate) mod crashing_pool;
pub(crate) mod fleet;

use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{
    Cap, Catalogue, CatalogueDraft, Command, ControlState, Customer, CustomerDraft, Effect, End,
    EndKind, Event, Features, Heartbeat, JobId, JobSpec, MachineOrder, MachineState, MachineView,
    Order, OrderAnswer, Pool, Queue, RenewalAnswer, Run, RunningTask, Scheduler, SchedulerConfig,
    Size, StepId, StepSpec, TaskEnd, TaskId, TaskOrder, WorkerHistory, WorkerRecord, WorkerState,
};

pub(crate) fn queue(name: &str, pool: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        pool: pool.into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        public: false,
        advice: None,
    }
}

pub(crate) fn pool(name: &str, spare: bool) -> Pool {
    Pool {
        name: name.into(),
        enforces_capacity: true,
        spare,
        health_path: "/health".into(),
    }
}

pub(crate) fn catalogue(version: u64) -> Arc<Catalogue> {
    Arc::new(Catalogue::new(draft(version)).expect("valid"))
}

/// Queue `q` of pool `a` and `r` of `b`, and a spare pool; no customers.
pub(crate) fn draft(version: u64) -> CatalogueDraft {
    CatalogueDraft {
        version,
        queues: vec![queue("q", "a"), queue("r", "b")],
        pools: vec![pool("a", false), pool("b", false), pool("spare", true)],
        customers: None,
        document: "{}".into(),
    }
}

/// A customer with these keys and a cap of `cpu_milli`; 0 means no cap.
pub(crate) fn customer(name: &str, keys: &[&str], cpu_milli: u64) -> CustomerDraft {
    let keys: Vec<Box<str>> = keys.iter().map(|key| (*key).into()).collect();
    let cap = Cap(Size {
        cpu_milli,
        ..Size::default()
    });
    let customer = Customer {
        name: name.into(),
        keys: Vec::new(),
        weight: 1.0,
        cap,
    };
    CustomerDraft::new(customer, &keys)
}

pub(crate) fn step(count: u32, cpu_milli: u64) -> StepSpec {
    StepSpec {
        count,
        size: Size {
            cpu_milli,
            memory_mb: 100,
            gpu: 0,
        },
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

pub(crate) fn job(steps: Vec<StepSpec>) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        specification: "what to do".into(),
        steps,
        repeat: None,
    })
}

pub(crate) fn task(job: u64, step: u16, index: u32) -> TaskId {
    let step = StepId {
        job: JobId(job),
        occurrence: 0,
        step,
    };
    step.task(index)
}

pub(crate) fn record(name: &str, pool: &str) -> WorkerRecord {
    WorkerRecord {
        name: name.into(),
        address: format!("{name}:1").into(),
        pool: pool.into(),
        machine: Some(format!("m-{name}").into()),
        data_centre: "dc1".into(),
        capacity: Size {
            cpu_milli: 8_000,
            memory_mb: 8_000,
            gpu: 0,
        },
        labels: vec!["kind".into(), "rack".into()],
        rack: Some("rack".into()),
        history: WorkerHistory::default(),
    }
}

pub(crate) fn end(number: u64, task: TaskId, run: u64, kind: EndKind) -> TaskEnd {
    let end = End {
        task,
        run: Run(run),
        kind,
        checkpoint: "".into(),
    };
    TaskEnd { number, end }
}

pub(crate) fn ends(worker: &str, ends: Vec<TaskEnd>) -> Command {
    let first = ends.first().map_or(1, |end| end.number);
    Command::RecordEnds {
        worker: worker.into(),
        after: first - 1,
        ends,
    }
}

/// Settings with which copies may use this part of each pool's capacity.
pub(crate) fn copying(speculation_percent: u32) -> SchedulerConfig {
    let features = Features {
        speculation_percent,
        ..Features::default()
    };
    SchedulerConfig {
        features,
        ..SchedulerConfig::default()
    }
}

/// A replicated state and its owner, driven one event at a time.
pub(crate) struct Harness {
    pub(crate) state: ControlState,
    pub(crate) owner: Scheduler,
    pub(crate) now: Duration,
    /// The wall-clock time; 0 in tests that do not depend on it.
    pub(crate) wall_ms: u64,
    index: u64,
    cfg: SchedulerConfig,
}

impl Harness {
    /// An owner with workers `w1` and `w2` of pool `a`, which have answered a renewal.
    pub(crate) fn new() -> Harness {
        Harness::with_workers(&["w1", "w2"])
    }

    pub(crate) fn with_workers(workers: &[&str]) -> Harness {
        Harness::with_config(SchedulerConfig::default(), catalogue(1), workers)
    }

    /// An owner with workers of pool `a`, which have answered a renewal.
    pub(crate) fn with_config(
        cfg: SchedulerConfig,
        catalogue: Arc<Catalogue>,
        workers: &[&str],
    ) -> Harness {
        let mut state = ControlState::default();
        state.apply(1, Command::Bootstrapped);
        state.apply(2, Command::Configure(catalogue));
        state.apply(3, Command::TakeOver { member: 1 });
        let owner = Scheduler::new(cfg, &state, Duration::ZERO, 0);
        let mut harness = Harness {
            state,
            owner: owner.expect("the state has an owner"),
            now: Duration::ZERO,
            wall_ms: 0,
            index: 3,
            cfg,
        };
        for worker in workers {
            harness.add_worker(worker, "a");
        }
        harness
    }

    /// Replaces the owner by one that knows only the replicated state.
    pub(crate) fn replace_owner(&mut self) {
        self.index += 1;
        self.state
            .apply(self.index, Command::TakeOver { member: 2 });
        let owner = Scheduler::new(self.cfg, &self.state, self.now, self.wall_ms);
        self.owner = owner.expect("the state has an owner");
    }

    /// Adds a worker that sent a heartbeat, answered a renewal and is recorded in the state.
    pub(crate) fn add_worker(&mut self, name: &str, pool: &str) -> Vec<Effect> {
        self.heartbeat(record(name, pool));
        let effects = self.answer_renewal(name, RenewalAnswer::default());
        self.commit(&effects)
    }

    pub(crate) fn heartbeat(&mut self, record: WorkerRecord) -> Vec<Effect> {
        let heartbeat = Heartbeat {
            record,
            draining: false,
            sequence: 1,
        };
        self.feed(Event::Heartbeat(heartbeat))
    }

    /// Feeds a heartbeat of a draining worker of pool `a` and commits the `Draining`
    /// command, as the control instance that receives the heartbeat does.
    pub(crate) fn heartbeat_draining(&mut self, name: &str, sequence: u64) -> Vec<Effect> {
        self.heartbeat_life_draining(record(name, "a"), sequence)
    }

    /// As [`Self::heartbeat_draining`], of the worker with this record.
    pub(crate) fn heartbeat_life_draining(
        &mut self,
        record: WorkerRecord,
        sequence: u64,
    ) -> Vec<Effect> {
        let name = record.name.clone();
        let heartbeat = Heartbeat {
            record,
            draining: true,
            sequence,
        };
        let effects = self.feed(Event::Heartbeat(heartbeat));
        let committed = self.apply(Command::Draining { name });
        [effects, committed].concat()
    }

    /// Commits the commands that the effects propose, and returns the resulting effects.
    pub(crate) fn commit(&mut self, effects: &[Effect]) -> Vec<Effect> {
        let commands = proposals(effects).into_iter();
        commands.flat_map(|command| self.apply(command)).collect()
    }

    /// Lets a worker's lease expire while the others answer, and returns the effects of
    /// the tick at which it expires.
    pub(crate) fn let_lease_expire(&mut self, silent: &str, others: &[&str]) -> Vec<Effect> {
        let mut effects = Vec::new();
        while !self.is_believed(silent, WorkerState::Lapsed) {
            self.fail_renewal(silent);
            for other in others {
                self.answer_renewal(other, RenewalAnswer::default());
            }
            effects = self.tick(Duration::from_millis(100));
        }
        effects
    }

    fn is_believed(&self, name: &str, state: WorkerState) -> bool {
        let mut views = self.owner.workers();
        views.any(|view| *view.record.name == *name && view.state == state)
    }

    pub(crate) fn feed(&mut self, event: Event) -> Vec<Effect> {
        self.owner.handle(&self.state, [event], self.now)
    }

    pub(crate) fn apply(&mut self, command: Command) -> Vec<Effect> {
        self.index += 1;
        self.state.apply(self.index, command.clone());
        let command = Arc::new(command);
        self.feed(Event::Applied { command })
    }

    pub(crate) fn submit(&mut self, id: u64, steps: Vec<StepSpec>) -> Vec<Effect> {
        self.submit_to(0, id, steps)
    }

    /// Submits a job to the queue at this index of the catalogue.
    pub(crate) fn submit_to(&mut self, at: usize, id: u64, steps: Vec<StepSpec>) -> Vec<Effect> {
        self.submit_for(None, at, id, steps)
    }

    /// Submits a customer's job to the queue at this index of the catalogue.
    pub(crate) fn submit_for(
        &mut self,
        customer: Option<&str>,
        at: usize,
        id: u64,
        steps: Vec<StepSpec>,
    ) -> Vec<Effect> {
        let catalogue = self.state.catalogue.as_ref().expect("configured");
        let queue = catalogue.queues[at].clone();
        let (id, spec) = (JobId(id), job(steps));
        self.apply(Command::Submit {
            id,
            queue,
            customer: customer.map(Into::into),
            spec,
            arrived_ms: self.wall_ms,
        })
    }

    pub(crate) fn tick(&mut self, later: Duration) -> Vec<Effect> {
        self.now += later;
        if self.wall_ms > 0 {
            self.wall_ms += u64::try_from(later.as_millis()).expect("value out of range");
        }
        let wall_ms = self.wall_ms.max(1);
        self.feed(Event::Tick { wall_ms })
    }

    pub(crate) fn answer_renewal(&mut self, worker: &str, answer: RenewalAnswer) -> Vec<Effect> {
        self.confirm_renewal(worker, 0, answer)
    }

    /// Answers a renewal that acknowledged the ends up to number `acked`.
    pub(crate) fn confirm_renewal(
        &mut self,
        worker: &str,
        acked: u64,
        mut answer: RenewalAnswer,
    ) -> Vec<Effect> {
        answer.clock_ms = 1_000 + u64::try_from(self.now.as_millis()).expect("value out of range");
        self.feed(Event::RenewalAnswered {
            worker: worker.into(),
            sent_at: self.now,
            acked,
            answer,
        })
    }

    pub(crate) fn fail_renewal(&mut self, worker: &str) -> Vec<Effect> {
        self.feed(Event::RenewalFailed {
            worker: worker.into(),
            other_life: false,
        })
    }

    pub(crate) fn answer(
        &mut self,
        worker: &str,
        order: &TaskOrder,
        answer: OrderAnswer,
    ) -> Vec<Effect> {
        self.feed(Event::Ordered {
            worker: worker.into(),
            order: order.clone(),
            answer,
        })
    }
}

pub(crate) fn running(task: TaskId, run: u64) -> RunningTask {
    RunningTask {
        task,
        run: Run(run),
        checkpoint: "".into(),
        percent: 100,
        load: 0,
    }
}

/// The start orders among the effects, with their workers.
pub(crate) fn starts(effects: &[Effect]) -> Vec<(Box<str>, TaskOrder)> {
    orders(effects, |order| matches!(order, Order::Start { .. }))
}

/// The stop orders among the effects, with their workers.
pub(crate) fn stops(effects: &[Effect]) -> Vec<(Box<str>, TaskOrder)> {
    orders(effects, |order| matches!(order, Order::Stop))
}

fn orders(effects: &[Effect], wanted: fn(&Order) -> bool) -> Vec<(Box<str>, TaskOrder)> {
    let order = |effect: &Effect| match effect {
        Effect::Order { worker, order, .. } if wanted(&order.order) => {
            Some((worker.clone(), order.clone()))
        }
        _ => None,
    };
    effects.iter().filter_map(order).collect()
}

/// The commands that the effects propose.
pub(crate) fn proposals(effects: &[Effect]) -> Vec<Command> {
    let command = |effect: &Effect| match effect {
        Effect::Propose(command) => Some(command.clone()),
        _ => None,
    };
    effects.iter().filter_map(command).collect()
}

/// The requests to the adviser among the effects: the step and the candidate workers.
pub(crate) fn advice(effects: &[Effect]) -> Vec<(StepId, Vec<Box<str>>)> {
    let asked = |effect: &Effect| match effect {
        Effect::Advise { step, workers } => Some((*step, workers.clone())),
        _ => None,
    };
    effects.iter().filter_map(asked).collect()
}

/// The throttle orders among the effects: the task and its percentage.
pub(crate) fn throttles(effects: &[Effect]) -> Vec<(TaskId, u8)> {
    let pace = |(_, order): (Box<str>, TaskOrder)| match order.order {
        Order::Throttle(percent) => Some((order.task, percent)),
        _ => None,
    };
    let all = orders(effects, |order| matches!(order, Order::Throttle(_)));
    all.into_iter().filter_map(pace).collect()
}

/// A machine of the pool that is up.
pub(crate) fn machine(name: &str, pool: &str, worker: Option<&str>) -> MachineView {
    MachineView {
        name: name.into(),
        pool: pool.into(),
        state: MachineState::Up,
        worker: worker.map(Into::into),
        capacity: record("any", pool).capacity,
        labels: Vec::new(),
    }
}

/// Feeds the platform's answer to a list requested now.
pub(crate) fn list_machines(harness: &mut Harness, machines: Vec<MachineView>) -> Vec<Effect> {
    let sent_at = harness.now;
    let machines = Some(machines);
    harness.feed(Event::MachinesListed { sent_at, machines })
}

/// The machine moves among the effects, with their destination pools.
pub(crate) fn moved(effects: &[Effect]) -> Vec<(Box<str>, Box<str>)> {
    let order = |effect: &Effect| match effect {
        Effect::OrderMachine {
            machine,
            order: MachineOrder::Move { pool },
            ..
        } => Some((machine.clone(), pool.clone())),
        _ => None,
    };
    effects.iter().filter_map(order).collect()
}

/// A renewal answer that lists these ends and no runs.
pub(crate) fn ended(ends: Vec<TaskEnd>) -> RenewalAnswer {
    RenewalAnswer {
        ended: ends,
        ..RenewalAnswer::default()
    }
}
