//! Which jobs are refused under load, and whether accepted jobs are served in time.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cleat_control::{SimulatedRun, SimulatedWorker};
use cleat_jobs::{
    Admission, Catalogue, CatalogueDraft, Command, ControlState, Effect, EndKind, Event, Features,
    Heartbeat, JobId, JobState, MachineAnswer, MachineOrder, MachineState, MachineView, Order,
    RefusalReason, RenewalOrder, Scheduler, SchedulerConfig, Size, StepSpec, Submission,
};
use indexmap::IndexMap;
use support::{customer, draft, job, machine, record, step};

const STEP: Duration = Duration::from_millis(10);
/// How long a task runs.
const TASK_MS: u64 = 400;
/// The time limit of a job of one step: one and a half times as long as a task, plus
/// 500 ms.
const OBJECTIVE: Duration = Duration::from_millis(1_100);
/// By how much each further step extends the time limit.
const STEP_OBJECTIVE: Duration = Duration::from_millis(600);
/// After how many times its limit a result has no value.
const ZERO_VALUE_OBJECTIVES: u32 = 3;
/// How long the platform takes to move a machine.
const MOVE_TIME: Duration = Duration::from_millis(1_500);
/// How often a caller submits a job again after a refusal.
const MAX_RETRIES: u32 = 4;
/// Jobs a second that a worker of 8 cores completes: each has four tasks of one core.
const JOBS_PER_WORKER: f64 = 8_000.0 / (4.0 * TASK_MS as f64);

/// A caller's job.
#[derive(Clone, Debug)]
struct Call {
    customer: Option<&'static str>,
    submitted_at: Duration,
    accepted_at: Option<Duration>,
    completed_at: Option<Duration>,
    refusals: Vec<(Duration, Duration, RefusalReason)>,
}

struct Pending {
    order: RenewalOrder,
    sent_at: Duration,
}

/// An owner, workers, machines and callers on one clock.
struct Load {
    state: ControlState,
    cfg: SchedulerConfig,
    owner: Scheduler,
    now: Duration,
    index: u64,
    workers: IndexMap<Box<str>, (SimulatedWorker, Option<Pending>)>,
    machines: IndexMap<Box<str>, MachineView>,
    /// Moves in progress, with the time at which the machine arrives.
    moves: Vec<(Duration, Box<str>, Box<str>)>,
    events: Vec<Event>,
    calls: IndexMap<JobId, Call>,
    /// The number of steps of each job, of which each waits for the one before.
    steps: u16,
    /// Whether refused callers submit again.
    callers_return: bool,
    /// Callers that will submit again.
    returning: Vec<(Duration, JobId)>,
    refusals_logged: Vec<(Duration, u64)>,
}

impl Load {
    /// Workers `w1` to `wN` in pool `a`, and idle machines in the spare pool.
    fn new(workers: u32, spare: u32, shares: &[(&'static str, f64)]) -> Load {
        let weighted = |(name, weight): &(&'static str, f64)| {
            let mut draft = customer(name, &[], 0);
            draft.customer.weight = *weight;
            draft
        };
        let customers = shares.iter().map(weighted).collect();
        let draft = CatalogueDraft {
            customers: (!shares.is_empty()).then_some(customers),
            ..draft(1)
        };
        let mut state = ControlState::default();
        state.apply(1, Command::Bootstrapped);
        let catalogue = Catalogue::new(draft).expect("valid");
        state.apply(2, Command::Configure(Arc::new(catalogue)));
        state.apply(3, Command::TakeOver { member: 1 });
        let cfg = SchedulerConfig {
            features: Features {
                admission: true,
                ..Features::default()
            },
            ..SchedulerConfig::default()
        };
        let owner = Scheduler::new(cfg, &state, Duration::ZERO, 1).expect("the state has an owner");
        let mut load = Load {
            state,
            cfg,
            owner,
            now: Duration::ZERO,
            index: 3,
            workers: IndexMap::new(),
            machines: IndexMap::new(),
            moves: Vec::new(),
            events: Vec::new(),
            calls: IndexMap::new(),
            steps: 1,
            callers_return: true,
            returning: Vec::new(),
            refusals_logged: Vec::new(),
        };
        for at in 1..=workers {
            load.start_worker(&format!("w{at}"), "a");
        }
        for at in 1..=spare {
            load.start_worker(&format!("s{at}"), "spare");
        }
        load.run_until(Duration::from_millis(500));
        load
    }

    /// Starts a worker on the machine of the same number.
    fn start_worker(&mut self, name: &str, pool: &str) {
        let record = record(name, pool);
        let machine_name = record.machine.clone().expect("it has a machine");
        let view = machine(&machine_name, pool, Some(name));
        self.machines.insert(machine_name, view);
        self.events.push(Event::Heartbeat(Heartbeat {
            record: record.clone(),
            draining: false,
            sequence: 1,
        }));
        let worker = SimulatedWorker::new(record, 100, 1_000);
        self.workers.insert(name.into(), (worker, None));
    }

    fn submit(&mut self, customer: Option<&'static str>) -> JobId {
        let id = JobId(self.calls.len() as u64);
        let call = Call {
            customer,
            submitted_at: self.now,
            accepted_at: None,
            completed_at: None,
            refusals: Vec::new(),
        };
        self.calls.insert(id, call);
        self.call(id);
        id
    }

    /// Submits a job, for the first time or again.
    fn call(&mut self, id: JobId) {
        let queue = self.state.catalogue.as_ref().expect("configured").queues[0].clone();
        let step = |at: u16| StepSpec {
            estimate_ms: TASK_MS,
            after: at.checked_sub(1).into_iter().collect(),
            ..step(4, 1_000)
        };
        let spec = job((0..self.steps).map(step).collect());
        let customer = self.calls[&id].customer;
        let submission = Submission {
            id,
            queue: &queue,
            customer,
            spec: &spec,
            age: Duration::ZERO,
        };
        let now = self.now;
        match self.owner.admit(&self.state, &submission) {
            Admission::Accept { .. } => {
                self.calls[&id].accepted_at = Some(now);
                self.apply(Command::Submit {
                    id,
                    queue,
                    customer: customer.map(Into::into),
                    spec,
                    arrived_ms: 0,
                });
            }
            Admission::Refuse {
                retry_after,
                reason,
            } => {
                let call = &mut self.calls[&id];
                call.refusals.push((now, retry_after, reason));
                if self.callers_return && call.refusals.len() <= MAX_RETRIES as usize {
                    self.returning.push((now + retry_after, id));
                }
            }
        }
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.state.apply(self.index, command.clone());
        let command = Arc::new(command);
        self.events.push(Event::Applied { command });
        for (id, call) in &mut self.calls {
            if self.state.job_state(*id) == Some(JobState::Completed) {
                call.completed_at.get_or_insert(self.now);
            }
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.advance();
        }
    }

    /// Advances the clock by 10 ms.
    fn advance(&mut self) {
        self.now += STEP;
        let now = self.now;
        let wall_ms = 1 + u64::try_from(now.as_millis()).expect("value out of range");
        self.events.push(Event::Tick { wall_ms });
        let arrived = self.moves.extract_if(.., |(at, ..)| *at <= now);
        for (_, name, pool) in arrived.collect::<Vec<_>>() {
            let worker = format!("{}-{}", &name[2..], now.as_millis());
            self.machines[&name].state = MachineState::Up;
            self.start_worker_on(&worker, &name, &pool);
        }
        let back = self.returning.extract_if(.., |(at, _)| *at <= now);
        for (_, id) in back.collect::<Vec<_>>() {
            self.call(id);
        }
        self.answer_renewals();
        let events = std::mem::take(&mut self.events);
        for effect in self.owner.handle(&self.state, events, now) {
            self.execute(effect);
        }
    }

    fn start_worker_on(&mut self, name: &str, machine_name: &str, pool: &str) {
        let mut record = record(name, pool);
        record.machine = Some(machine_name.into());
        self.machines
            .insert(machine_name.into(), machine(machine_name, pool, Some(name)));
        self.events.push(Event::Heartbeat(Heartbeat {
            record: record.clone(),
            draining: false,
            sequence: 1,
        }));
        let worker = SimulatedWorker::new(record, 100, 1_000);
        self.workers.insert(name.into(), (worker, None));
    }

    fn answer_renewals(&mut self) {
        let now = self.now;
        for (name, (model, pending)) in &mut self.workers {
            let due = |pending: &Pending| now >= pending.sent_at + pending.order.wait;
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
            Effect::Renew { worker, order, .. } => {
                if let Some((model, pending)) = self.workers.get_mut(&worker) {
                    model.renew(now, &order);
                    let sent_at = now;
                    *pending = Some(Pending { order, sent_at });
                }
            }
            Effect::Order {
                worker,
                token,
                order,
                ..
            } => {
                assert!(!matches!(order.order, Order::Stop), "no job is cancelled");
                let planned = SimulatedRun {
                    run: order.run,
                    ends_at: now + Duration::from_millis(TASK_MS),
                    end_kind: EndKind::Done,
                    size: Size {
                        cpu_milli: 1_000,
                        memory_mb: 100,
                        gpu: 0,
                    },
                };
                let (model, _) = &mut self.workers[&worker];
                let answer = model.execute_order(now, token, &order, &planned);
                self.events.push(Event::Ordered {
                    worker,
                    order,
                    answer,
                });
            }
            Effect::ListMachines => self.events.push(Event::MachinesListed {
                sent_at: now,
                machines: Some(self.machines.values().cloned().collect()),
            }),
            Effect::OrderMachine { machine, order, .. } => {
                let MachineOrder::Move { pool } = &order else {
                    panic!("no machine is maintained");
                };
                let view = &mut self.machines[&machine];
                view.pool.clone_from(pool);
                view.state = MachineState::Moving;
                if let Some(worker) = view.worker.take() {
                    self.workers.swap_remove(&worker);
                }
                self.moves
                    .push((now + MOVE_TIME, machine.clone(), pool.clone()));
                let answer = MachineAnswer::Done;
                self.events.push(Event::MachineOrdered {
                    machine,
                    order,
                    answer,
                });
            }
            Effect::Log(cleat_jobs::Decision::Refused { count, .. }) => {
                self.refusals_logged.push((now, count));
            }
            _ => {}
        }
    }

    /// Sends jobs at these rates, in jobs a second, for `span`.
    fn send(&mut self, span: Duration, rates: &[(Option<&'static str>, f64)]) {
        let began = self.now;
        let mut sent = vec![0.0; rates.len()];
        while self.now < began + span {
            self.advance();
            for ((customer, rate), sent) in rates.iter().zip(&mut sent) {
                while *sent < rate * (self.now - began).as_secs_f64() {
                    *sent += 1.0;
                    self.submit(*customer);
                }
            }
        }
    }

    /// Lets the accepted jobs complete and the refused callers return.
    fn settle(&mut self) {
        self.run_until(self.now + Duration::from_secs(30));
    }

    fn of(&self, customer: Option<&str>) -> impl Iterator<Item = &Call> {
        self.calls
            .values()
            .filter(move |call| call.customer == customer)
    }

    fn summary(&self, customer: Option<&str>) -> Summary {
        let mut sum = Summary::default();
        for call in self.of(customer) {
            sum.jobs += 1;
            sum.accepted += usize::from(call.accepted_at.is_some());
            sum.refused_first += usize::from(!call.refusals.is_empty());
            let ended_within = |span: Duration| {
                let both = call.accepted_at.zip(call.completed_at);
                both.is_some_and(|(accepted, completed)| completed <= accepted + span)
            };
            let objective = OBJECTIVE + STEP_OBJECTIVE * u32::from(self.steps - 1);
            let has_value = ended_within(objective * ZERO_VALUE_OBJECTIVES);
            sum.in_time += usize::from(ended_within(objective));
            sum.worthless += usize::from(call.accepted_at.is_some() && !has_value);
        }
        sum
    }
}

/// What the callers of one customer got.
#[derive(Clone, Copy, Debug, Default)]
struct Summary {
    jobs: usize,
    accepted: usize,
    refused_first: usize,
    /// Completed in time after the submission that was accepted.
    in_time: usize,
    /// Accepted, and completed too late for the result to have any value.
    worthless: usize,
}

impl Summary {
    fn accepted_in_time(self) -> f64 {
        self.in_time as f64 / self.accepted.max(1) as f64
    }
}

/// Guards against refusing or delaying a customer within its share because of another
/// one that sends ten times its share.
#[test]
fn customer_within_share_is_not_refused_beside_one_at_ten_times() {
    let mut load = Load::new(2, 0, &[("large", 2.0), ("small", 2.0)]);
    load.send(
        Duration::from_secs(10),
        &[(Some("large"), 20.0), (Some("small"), 1.9)],
    );
    load.settle();
    let (small, large) = (load.summary(Some("small")), load.summary(Some("large")));
    eprintln!("small {small:?}\nlarge {large:?}");
    assert_eq!(small.refused_first, 0, "{small:?}");
    assert!(small.accepted_in_time() >= 0.95, "{small:?}");
    assert!(large.refused_first > 0, "{large:?}");
    assert!(large.accepted_in_time() >= 0.9, "{large:?}");
    for (at, count) in &load.refusals_logged {
        assert!(*count > 0, "an event without refusals at {at:?}");
    }
    let events = load.refusals_logged.len() as u64;
    assert!(events <= load.now.as_secs() * 2, "too many events");
}

/// Guards against the same in demand that comes in peaks of five times the mean, for which
/// machines are moved to the pool and back.
#[test]
fn customers_within_shares_are_served_in_recurring_peaks() {
    let shares = [("large", 10.0), ("small", 20.0), ("other", 20.0)];
    let mut load = Load::new(2, 8, &shares);
    for _ in 0..3 {
        // In sum 1.4 times what all machines complete, most of it beyond shares.
        let peak = [
            (Some("large"), 40.0),
            (Some("small"), 15.0),
            (Some("other"), 15.0),
        ];
        load.send(Duration::from_millis(4_500), &peak);
        let between = [
            (Some("large"), 4.0),
            (Some("small"), 0.5),
            (Some("other"), 0.5),
        ];
        load.send(Duration::from_millis(6_000), &between);
    }
    load.settle();
    let within = ["small", "other"].map(|name| load.summary(Some(name)));
    let large = load.summary(Some("large"));
    eprintln!("within {within:?}\nlarge {large:?}");
    for small in within {
        assert!(small.refused_first * 10 <= small.jobs, "{small:?}");
        assert!(small.accepted_in_time() >= 0.9, "{small:?}");
    }
    assert!(large.refused_first > 0, "{large:?}");
    assert!(large.accepted_in_time() >= 0.9, "{large:?}");
}

/// Guards against refusing a customer within its share because running work beyond other
/// customers' shares uses the capacity.
#[test]
fn running_work_beyond_shares_does_not_count_for_work_within() {
    let mut load = Load::new(2, 0, &[("large", 1.0), ("small", 6.0)]);
    for _ in 0..8 {
        load.submit(Some("large"));
    }
    load.run_until(load.now + Duration::from_millis(100));
    for _ in 0..6 {
        load.submit(Some("small"));
    }
    let small = load.summary(Some("small"));
    assert_eq!(small.refused_first, 0, "{small:?}");
}

/// Guards against an estimate without the steps that wait for others.
#[test]
fn later_steps_of_accepted_jobs_are_counted() {
    let mut load = Load::new(2, 0, &[]);
    load.steps = 3;
    let rate = 2.0 * JOBS_PER_WORKER;
    load.send(Duration::from_secs(8), &[(None, rate)]);
    load.settle();
    let all = load.summary(None);
    eprintln!("{all:?}");
    assert!(all.refused_first > 0, "{all:?}");
    assert_eq!(all.worthless, 0, "{all:?}");
    assert!(all.accepted_in_time() >= 0.9, "{all:?}");
}

/// Guards against accepting work that then waits until its result has no value, and
/// against refusing so much that capacity is left unused.
#[test]
fn overloaded_pool_serves_what_it_accepts() {
    let mut load = Load::new(2, 0, &[]);
    load.send(
        Duration::from_secs(8),
        &[(None, 3.0 * 2.0 * JOBS_PER_WORKER)],
    );
    let during = load.summary(None);
    load.settle();
    let all = load.summary(None);
    eprintln!("during {during:?}\nall {all:?}");
    assert!(all.refused_first > 0, "{all:?}");
    assert_eq!(all.worthless, 0, "{all:?}");
    assert!(all.accepted_in_time() >= 0.9, "{all:?}");
    let possible = 2.0 * JOBS_PER_WORKER * 8.0;
    assert!(
        during.in_time as f64 >= 0.7 * possible,
        "{} of {possible}",
        during.in_time
    );
}

/// Guards against refusing the first jobs of a peak for which machines join while the
/// results still have value.
#[test]
fn peak_is_accepted_if_machines_come_in_time() {
    let mut load = Load::new(1, 8, &[]);
    load.send(Duration::from_secs(2), &[(None, 0.2 * JOBS_PER_WORKER)]);
    load.send(Duration::from_secs(4), &[(None, 5.0 * JOBS_PER_WORKER)]);
    load.settle();
    let all = load.summary(None);
    eprintln!("{all:?}");
    assert!(
        all.refused_first * 10 <= all.jobs,
        "refused although machines come: {all:?}"
    );
    assert_eq!(all.worthless, 0, "{all:?}");
}

/// Guards against an estimate without the machines that can be ordered, and against one
/// that counts machines that do not exist: the jobs arrive before any machine can have
/// been ordered for them.
#[test]
fn burst_is_accepted_as_far_as_machines_can_be_obtained() {
    let accepted_at_once = |spare| {
        let mut load = Load::new(1, spare, &[]);
        load.send(Duration::from_secs(2), &[(None, 0.2 * JOBS_PER_WORKER)]);
        let before = load.calls.len();
        for _ in 0..30 {
            load.submit(None);
        }
        let burst = load.calls.values().skip(before);
        let accepted = burst.filter(|call| call.refusals.is_empty()).count();
        load.settle();
        let all = load.summary(None);
        eprintln!("{spare} spare machines: {accepted} accepted at once, {all:?}");
        assert_eq!(all.worthless, 0, "{all:?}");
        accepted
    };
    let (with_machines, without) = (accepted_at_once(8), accepted_at_once(0));
    // A worker completes 5 jobs a second, and results have value for 3.3 s.
    assert!(without <= 15, "{without}");
    assert!(with_machines >= 2 * without, "{with_machines}, {without}");
}

/// Guards against telling callers a time at which they are refused again.
#[test]
fn returning_callers_are_accepted_in_their_window() {
    let mut load = Load::new(2, 0, &[]);
    load.send(
        Duration::from_secs(2),
        &[(None, 3.0 * 2.0 * JOBS_PER_WORKER)],
    );
    // Later callers would fill the capacity that was booked for the refused ones.
    load.send(Duration::from_secs(4), &[(None, 2.0 * JOBS_PER_WORKER)]);
    load.settle();
    let early: Vec<&Call> = load
        .calls
        .values()
        .filter(|call| call.submitted_at < Duration::from_millis(2_500))
        .filter(|call| {
            call.refusals
                .first()
                .is_some_and(|(_, retry, _)| retry.as_secs() < 4)
        })
        .collect();
    let at_first_return = early.iter().filter(|call| call.refusals.len() == 1).count();
    eprintln!(
        "{at_first_return} of {} accepted at the first return",
        early.len()
    );
    assert!(early.len() >= 10, "{}", early.len());
    assert!(
        at_first_return * 10 >= early.len() * 9,
        "{at_first_return} of {}",
        early.len()
    );
}

/// Guards against capacity that is withheld for callers who never return.
#[test]
fn callers_that_never_return_withhold_no_capacity() {
    let mut load = Load::new(2, 0, &[]);
    load.callers_return = false;
    let rate = 3.0 * 2.0 * JOBS_PER_WORKER;
    load.send(Duration::from_secs(10), &[(None, rate)]);
    let warm_up = load.summary(None).accepted;
    load.send(Duration::from_secs(10), &[(None, rate)]);
    let accepted = load.summary(None).accepted - warm_up;
    let possible = 2.0 * JOBS_PER_WORKER * 10.0;
    eprintln!("{accepted} of {possible} in the second half");
    assert!(
        accepted as f64 >= 0.8 * possible,
        "{accepted} of {possible}"
    );
}

/// Guards against a retry wave: after an outage all callers submit at once, and must not
/// all be told the same time.
#[test]
fn retry_wave_after_an_outage_is_spread() {
    let mut load = Load::new(2, 0, &[]);
    for _ in 0..100 {
        load.submit(None);
    }
    let told = load.calls.values().filter_map(|call| call.refusals.first());
    let mut by_time: IndexMap<Duration, usize> = IndexMap::new();
    for (_, retry, _) in told {
        *by_time.entry(*retry).or_default() += 1;
    }
    eprintln!("{by_time:?}");
    let most = by_time.values().max().copied().unwrap_or_default();
    let in_a_second = 2.0 * JOBS_PER_WORKER;
    assert!(by_time.len() >= 4, "{by_time:?}");
    assert!(
        most as f64 <= in_a_second * OBJECTIVE.as_secs_f64() * 2.0,
        "{by_time:?}"
    );
    load.settle();
    let all = load.summary(None);
    eprintln!("{all:?}");
    assert_eq!(all.accepted, 100, "{all:?}");
    assert_eq!(all.worthless, 0, "{all:?}");
}

/// Guards against a new owner that refuses work because no worker has answered it yet.
#[test]
fn new_owner_counts_workers_that_have_not_answered() {
    let mut load = Load::new(2, 0, &[]);
    load.send(Duration::from_secs(1), &[(None, JOBS_PER_WORKER)]);
    load.index += 1;
    load.state
        .apply(load.index, Command::TakeOver { member: 2 });
    let owner = Scheduler::new(load.cfg, &load.state, load.now, 1);
    load.owner = owner.expect("the state has an owner");
    load.events.clear();
    for (_, pending) in load.workers.values_mut() {
        *pending = None;
    }
    let tick = Event::Tick { wall_ms: 1 };
    load.owner.handle(&load.state, [tick], load.now);
    let first = load.calls.len();
    for _ in 0..4 {
        load.submit(None);
    }
    let refused = load
        .calls
        .values()
        .skip(first)
        .filter(|call| !call.refusals.is_empty());
    assert_eq!(refused.count(), 0, "the new owner refused work");
}

/// Guards against an untrue refusal: a job that was accepted and whose commit is in
/// progress must not be refused when it is submitted again, even if it was accepted
/// before the owner's first tick.
#[test]
fn unapplied_job_is_not_refused() {
    let mut load = Load::new(1, 0, &[]);
    let owner = Scheduler::new(load.cfg, &load.state, load.now, 1);
    load.owner = owner.expect("the state has an owner");
    let queue = load.state.catalogue.as_ref().expect("configured").queues[0].clone();
    let mut step = step(4, 1_000);
    step.estimate_ms = TASK_MS;
    let spec = job(vec![step]);
    let (state, now) = (&load.state, load.now);
    let admit = |owner: &mut Scheduler, id| {
        let submission = Submission {
            id: JobId(id),
            queue: &queue,
            customer: None,
            spec: &spec,
            age: Duration::ZERO,
        };
        let admission = owner.admit(state, &submission);
        matches!(admission, Admission::Accept { .. })
    };
    let owner = &mut load.owner;
    assert!(admit(owner, 0));
    owner.handle(state, [Event::Tick { wall_ms: 1 }], now);
    let after_tick = (1..200).find(|id| admit(owner, *id));
    let refused = (200..400).filter(|id| !admit(owner, *id)).count();
    assert!(refused > 100, "the pool is not full: {refused} refused");
    for id in [Some(0), after_tick].into_iter().flatten() {
        assert!(
            admit(owner, id),
            "job {id}, which may be stored, was refused"
        );
    }
}

/// Guards against refusals of work that has no objective, and of any work while nothing
/// is known of the pool.
#[test]
fn unlimited_and_unknown_work_is_accepted() {
    let mut load = Load::new(1, 0, &[]);
    for _ in 0..100 {
        load.submit(None);
    }
    let catalogue = load.state.catalogue.clone().expect("configured");
    let mut admit = |queue: usize, change: fn(&mut StepSpec), id| {
        let mut step = step(4, 1_000);
        change(&mut step);
        let submission = Submission {
            id: JobId(id),
            queue: &catalogue.queues[queue],
            customer: None,
            spec: &job(vec![step]),
            age: Duration::ZERO,
        };
        load.owner.admit(&load.state, &submission)
    };
    assert!(matches!(admit(0, |_| {}, 1_000), Admission::Refuse { .. }));
    let unlimited = Admission::Accept { wait: None };
    assert_eq!(admit(0, |step| step.long_running = true, 1_001), unlimited);
    assert_eq!(admit(0, |step| step.fills = true, 1_002), unlimited);
    for id in 2_000..2_200 {
        assert_eq!(admit(1, |_| {}, id), unlimited, "the pool was never seen");
    }
}

/// Guards against refusals because of accepted work that no worker can hold, and that will
/// use none of the capacity.
#[test]
fn work_that_no_worker_can_hold_causes_no_refusal() {
    let lasting = |spec: StepSpec| StepSpec {
        long_running: true,
        ..spec
    };
    let labelled = StepSpec {
        required_label: Some("missing".into()),
        ..step(4, 6_000)
    };
    for steps in [
        vec![lasting(step(4, 40_000))],
        vec![lasting(labelled.clone())],
        vec![step(4, 40_000)],
        vec![labelled],
    ] {
        let mut load = Load::new(2, 0, &[]);
        for id in 1_000..1_010 {
            load.apply(Command::Submit {
                id: JobId(id),
                queue: load.state.catalogue.as_ref().expect("configured").queues[0].clone(),
                customer: None,
                spec: job(steps.clone()),
                arrived_ms: 0,
            });
        }
        load.run_until(load.now + Duration::from_millis(200));
        let id = load.submit(None);
        assert!(load.calls[&id].accepted_at.is_some(), "{steps:?}");
    }
}

/// Guards against any effect of the decision while it is disabled.
#[test]
fn disabled_admission_accepts_everything() {
    let mut load = Load::new(1, 0, &[]);
    load.cfg.features.admission = false;
    load.owner = Scheduler::new(load.cfg, &load.state, load.now, 1).expect("an owner");
    load.run_until(load.now + Duration::from_millis(100));
    for _ in 0..300 {
        load.submit(None);
    }
    assert_eq!(load.summary(None).refused_first, 0);
}
