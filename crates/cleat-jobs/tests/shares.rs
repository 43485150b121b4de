//! What callers get where one customer sends far more than its share.

mod scaffold;

use std::sync::Arc;
use std::time::Duration;

use cleat_control::{SimulatedRun, SimulatedWorker};
use cleat_jobs::{
    Catalogue, CatalogueDraft, Command, ControlState, Effect, EndKind, Event, Heartbeat, JobId,
    JobState, RenewalOrder, Scheduler, SchedulerConfig, SharePolicy, Size,
};
use indexmap::IndexMap;
use scaffold::{customer, draft, job, record, step};

const PACE: Duration = Duration::from_millis(10);
const DAY: Duration = Duration::from_secs(12);
/// What a task takes, and how much it may take to be in time: half as much again,
/// and 500 ms.
const RUN: Duration = Duration::from_millis(400);
const OBJECTIVE: Duration = Duration::from_millis(1_100);
/// Both may count on 2 jobs a second; the room is for 10.
const SHARE: f64 = 2.0;

/// A renewal that a worker holds back until it has something to tell.
struct Held {
    order: RenewalOrder,
    sent_at: Duration,
}

/// A pool of 16 cores, and two customers.
struct Play {
    state: ControlState,
    owner: Scheduler,
    now: Duration,
    index: u64,
    workers: IndexMap<Box<str>, (SimulatedWorker, Option<Held>)>,
    events: Vec<Event>,
    came: IndexMap<JobId, (&'static str, Duration)>,
    done: IndexMap<JobId, Duration>,
}

impl Play {
    fn new(sharing: SharePolicy) -> Play {
        let weighed = |name| {
            let mut draft = customer(name, &[], 0);
            draft.customer.weight = SHARE;
            draft
        };
        let draft = CatalogueDraft {
            customers: Some(vec![weighed("large"), weighed("small")]),
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
        let owner = Scheduler::new(cfg, &state, Duration::ZERO, 1).expect("owned");
        let names = ["w1", "w2"].into_iter();
        let worker = |name: &str| {
            let model = SimulatedWorker::new(record(name, "a"), 100, 1_000);
            (Box::from(name), (model, None))
        };
        let mut play = Play {
            state,
            owner,
            now: Duration::ZERO,
            index: 3,
            workers: names.map(worker).collect(),
            events: Vec::new(),
            came: IndexMap::new(),
            done: IndexMap::new(),
        };
        for (model, _) in play.workers.values() {
            play.events.push(Event::Heartbeat(Heartbeat {
                record: model.record.clone(),
                draining: false,
                sequence: 1,
            }));
        }
        play
    }

    fn submit(&mut self, customer: &'static str) {
        let id = JobId(self.came.len() as u64);
        let queue = self.state.catalogue.as_ref().expect("configured").queues[0].clone();
        let mut step = step(4, 1_000);
        step.estimate_ms = u64::try_from(RUN.as_millis()).expect("short");
        self.came.insert(id, (customer, self.now));
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
        for id in self.came.keys() {
            if self.state.job_state(*id) == Some(JobState::Completed) {
                self.done.entry(*id).or_insert(self.now);
            }
        }
    }

    /// Lets 10 ms pass.
    fn pass(&mut self) {
        self.now += PACE;
        let wall_ms = 1 + u64::try_from(self.now.as_millis()).expect("short");
        self.events.push(Event::Tick { wall_ms });
        self.answer_renewals();
        let events = std::mem::take(&mut self.events);
        for effect in self.owner.handle(&self.state, events, self.now) {
            self.carry_out(effect);
        }
    }

    fn answer_renewals(&mut self) {
        let now = self.now;
        for (name, (model, held)) in &mut self.workers {
            let due = |held: &Held| now >= held.sent_at + held.order.wait;
            model.advance(now);
            let speaks = !model.ended.is_empty() || held.as_ref().is_some_and(due);
            if let Some(answered) = held.take_if(|_| speaks) {
                self.events.push(Event::RenewalAnswered {
                    worker: name.clone(),
                    sent_at: answered.sent_at,
                    acked: answered.order.acked,
                    answer: model.report(now),
                });
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Propose(command) => self.apply(command),
            Effect::Renew { worker, order, .. } => {
                let (model, held) = &mut self.workers[&worker];
                model.renew(now, &order);
                let sent_at = now;
                *held = Some(Held { order, sent_at });
            }
            Effect::Order {
                worker,
                token,
                order,
                ..
            } => {
                let planned = SimulatedRun {
                    run: order.run,
                    ends_at: now + RUN,
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

    /// Which share of a customer's jobs was done in time.
    fn in_time(&self, customer: &str) -> f64 {
        let jobs = self.came.iter().filter(|(_, (name, _))| *name == customer);
        let (mut all, mut good) = (0.0, 0.0);
        for (id, (_, came)) in jobs {
            all += 1.0;
            let done = self.done.get(id);
            good += f64::from(done.is_some_and(|done| *done <= *came + OBJECTIVE));
        }
        good / all
    }
}

/// Plays customers that send so many jobs a second each.
fn play(sharing: SharePolicy, large: u32, small: u32) -> Play {
    let mut play = Play::new(sharing);
    let mut tick = 0;
    let sends = |tick: u32, rate: u32| tick * rate / 100 < (tick + 1) * rate / 100;
    while play.now < DAY {
        play.pass();
        // The last jobs find the time to end.
        if play.now + OBJECTIVE * 2 < DAY {
            (0..u32::from(sends(tick, large))).for_each(|_| play.submit("large"));
            (0..u32::from(sends(tick, small))).for_each(|_| play.submit("small"));
        }
        tick += 1;
    }
    play
}

#[test]
fn share_is_kept_beside_one_that_sends_ten_times_its_own() {
    let before = play(SharePolicy::DeadlineFirst, 20, 2);
    let after = play(SharePolicy::ArrivalRate, 20, 2);
    eprintln!(
        "before {} {} after {} {}",
        before.in_time("small"),
        before.in_time("large"),
        after.in_time("small"),
        after.in_time("large")
    );
    assert!(before.in_time("small") < 0.8, "{}", before.in_time("small"));
    assert!(after.in_time("small") > 0.99, "{}", after.in_time("small"));
}

#[test]
fn share_is_kept_by_room_in_use() {
    let after = play(SharePolicy::ResourceUse, 20, 2);
    assert!(after.in_time("small") > 0.95, "{}", after.in_time("small"));
}

#[test]
fn share_beyond_is_served_where_there_is_room() {
    for sharing in [
        SharePolicy::DeadlineFirst,
        SharePolicy::ArrivalRate,
        SharePolicy::ResourceUse,
    ] {
        let play = play(sharing, 7, 2);
        assert!(play.in_time("large") > 0.99, "{sharing:?}");
        assert!(play.in_time("small") > 0.99, "{sharing:?}");
    }
}

/// Whoever sends beyond its share still has what the others leave.
#[test]
fn share_beyond_gets_what_others_leave() {
    let after = play(SharePolicy::ArrivalRate, 20, 2);
    let large = after.came.values().filter(|(name, _)| *name == "large");
    let served = after.in_time("large") * f64::from(u32::try_from(large.count()).expect("few"));
    let seconds = (DAY - OBJECTIVE * 2).as_secs_f64();
    eprintln!("large {served} in {seconds}");
    assert!(served / seconds > 2.0 * SHARE, "{served} in {seconds} s");
}
