//! The service that customers get while one of them sends far more than its share.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cleat_control::{SimulatedRun, SimulatedWorker};
use cleat_jobs::{
    Catalogue, CatalogueDraft, Command, ControlState, Effect, EndKind, Event, Heartbeat, JobId,
    JobState, RenewalOrder, Scheduler, SchedulerConfig, SharePolicy, Size,
};
use indexmap::IndexMap;
use support::{customer, draft, job, record, step};

const STEP: Duration = Duration::from_millis(10);
const DURATION: Duration = Duration::from_secs(12);
/// How long a task runs, and the time limit of a job: one and a half times as long, plus
/// 500 ms.
const TASK_DURATION: Duration = Duration::from_millis(400);
const OBJECTIVE: Duration = Duration::from_millis(1_100);
/// The share of each customer: 2 jobs per second, of the 10 that the pool has capacity for.
const SHARE: f64 = 2.0;

/// A renewal that a worker answers when a run ends or the wait time is over.
struct PendingRenewal {
    order: RenewalOrder,
    sent_at: Duration,
}

/// A pool of 16 cores with two customers.
struct Simulation {
    state: ControlState,
    owner: Scheduler,
    now: Duration,
    index: u64,
    workers: IndexMap<Box<str>, (SimulatedWorker, Option<PendingRenewal>)>,
    events: Vec<Event>,
    submitted_at: IndexMap<JobId, (&'static str, Duration)>,
    completed_at: IndexMap<JobId, Duration>,
}

impl Simulation {
    fn new(sharing: SharePolicy) -> Simulation {
        let weighted_customer = |name| {
            let mut draft = customer(name, &[], 0);
            draft.customer.weight = SHARE;
            draft
        };
        let draft = CatalogueDraft {
            customers: Some(vec![weighted_customer("large"), weighted_customer("small")]),
            ..draft(1)
        };
        let catalogue = Catalogue::new(draft).expect("valid");
        let mut state = ControlState::default();
        state.apply(1, Command::Bootstrapped);
        state.apply(2, Command::Configure(Arc::new(catalogue)));
        state.apply(3, Command::TakeOver { member: 1 });
        let cfg = SchedulerConfig {
            share_policy: sharing,
            ..SchedulerConfig::default()
        };
        let owner = Scheduler::new(cfg, &state, Duration::ZERO, 1).expect("the state has an owner");
        let names = ["w1", "w2"].into_iter();
        let worker = |name: &str| {
            let model = SimulatedWorker::new(record(name, "a"), 100, 1_000);
            (Box::from(name), (model, None))
        };
        let mut simulation = Simulation {
            state,
            owner,
            now: Duration::ZERO,
            index: 3,
            workers: names.map(worker).collect(),
            events: Vec::new(),
            submitted_at: IndexMap::new(),
            completed_at: IndexMap::new(),
        };
        for (model, _) in simulation.workers.values() {
            simulation.events.push(Event::Heartbeat(Heartbeat {
                record: model.record.clone(),
                draining: false,
                sequence: 1,
            }));
        }
        simulation
    }

    fn submit(&mut self, customer: &'static str) {
        let id = JobId(self.submitted_at.len() as u64);
        let queue = self.state.catalogue.as_ref().expect("configured").queues[0].clone();
        let mut step = step(4, 1_000);
        step.estimate_ms = u64::try_from(TASK_DURATION.as_millis()).expect("value out of range");
        self.submitted_at.insert(id, (customer, self.now));
        self.apply(Command::Submit {
            id,
            queue,
            customer: Some(customer.into()),
            spec: job(vec![step]),
            arrived_ms: 0,
        });
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.state.apply(self.index, command.clone());
        let command = Arc::new(command);
        self.events.push(Event::Applied { command });
        for id in self.submitted_at.keys() {
            if self.state.job_state(*id) == Some(JobState::Completed) {
                self.completed_at.entry(*id).or_insert(self.now);
            }
        }
    }

    /// Advances the clock by 10 ms.
    fn advance(&mut self) {
        self.now += STEP;
        let wall_ms = 1 + u64::try_from(self.now.as_millis()).expect("value out of range");
        self.events.push(Event::Tick { wall_ms });
        self.answer_renewals();
        let events = std::mem::take(&mut self.events);
        for effect in self.owner.handle(&self.state, events, self.now) {
            self.execute(effect);
        }
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
            Effect::Renew { worker, order, .. } => {
                let (model, pending) = &mut self.workers[&worker];
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
                let planned = SimulatedRun {
                    run: order.run,
                    ends_at: now + TASK_DURATION,
                    end_kind: EndKind::Done,
                    size: Size {
                        cpu_milli: 1_000,
                        memory_mb: 100,
                        gpu: 0,
                    },
                };
                let answer = self.workers[&worker]
                    .0
                    .execute_order(now, token, &order, &planned);
                self.events.push(Event::Ordered {
                    worker,
                    order,
                    answer,
                });
            }
            _ => {}
        }
    }

    /// The fraction of a customer's jobs that completed in time.
    fn in_time(&self, customer: &str) -> f64 {
        let jobs = self
            .submitted_at
            .iter()
            .filter(|(_, (name, _))| *name == customer);
        let (mut total, mut in_time) = (0.0, 0.0);
        for (id, (_, submitted_at)) in jobs {
            total += 1.0;
            let completed_at = self.completed_at.get(id);
            in_time += f64::from(
                completed_at.is_some_and(|completed_at| *completed_at <= *submitted_at + OBJECTIVE),
            );
        }
        in_time / total
    }
}

/// Simulates two customers that each send this many jobs per second.
fn simulate(sharing: SharePolicy, large: u32, small: u32) -> Simulation {
    let mut simulation = Simulation::new(sharing);
    let mut tick = 0;
    let sends = |tick: u32, rate: u32| tick * rate / 100 < (tick + 1) * rate / 100;
    while simulation.now < DURATION {
        simulation.advance();
        // No jobs near the end, so that the last ones have time to complete.
        if simulation.now + OBJECTIVE * 2 < DURATION {
            (0..u32::from(sends(tick, large))).for_each(|_| simulation.submit("large"));
            (0..u32::from(sends(tick, small))).for_each(|_| simulation.submit("small"));
        }
        tick += 1;
    }
    simulation
}

#[test]
fn share_is_kept_beside_a_customer_at_ten_times_its_share() {
    let deadline_first = simulate(SharePolicy::DeadlineFirst, 20, 2);
    let arrival_rate = simulate(SharePolicy::ArrivalRate, 20, 2);
    eprintln!(
        "DeadlineFirst {} {} ArrivalRate {} {}",
        deadline_first.in_time("small"),
        deadline_first.in_time("large"),
        arrival_rate.in_time("small"),
        arrival_rate.in_time("large")
    );
    assert!(
        deadline_first.in_time("small") < 0.8,
        "{}",
        deadline_first.in_time("small")
    );
    assert!(
        arrival_rate.in_time("small") > 0.99,
        "{}",
        arrival_rate.in_time("small")
    );
}

#[test]
fn share_is_kept_by_resource_use() {
    let resource_use = simulate(SharePolicy::ResourceUse, 20, 2);
    assert!(
        resource_use.in_time("small") > 0.95,
        "{}",
        resource_use.in_time("small")
    );
}

#[test]
fn excess_is_served_from_free_capacity() {
    for sharing in [
        SharePolicy::DeadlineFirst,
        SharePolicy::ArrivalRate,
        SharePolicy::ResourceUse,
    ] {
        let simulation = simulate(sharing, 7, 2);
        assert!(simulation.in_time("large") > 0.99, "{sharing:?}");
        assert!(simulation.in_time("small") > 0.99, "{sharing:?}");
    }
}

/// A customer that exceeds its share still gets the capacity that the others do not use.
#[test]
fn excess_gets_what_other_customers_leave() {
    let arrival_rate = simulate(SharePolicy::ArrivalRate, 20, 2);
    let large = arrival_rate
        .submitted_at
        .values()
        .filter(|(name, _)| *name == "large");
    let served = arrival_rate.in_time("large")
        * f64::from(u32::try_from(large.count()).expect("value out of range"));
    let seconds = (DURATION - OBJECTIVE * 2).as_secs_f64();
    eprintln!("large {served} in {seconds}");
    assert!(served / seconds > 2.0 * SHARE, "{served} in {seconds} s");
}
