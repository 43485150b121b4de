//! How long starts wait behind others that were decided before them.
//!
//! Guards against a queue of orders behind the scheduler, which is in the order of decision. An
//! owner whose processor was used up kept hundreds of starts there, so that an urgent one waited
//! 0.3 to 0.7 s behind work that could have waited.

mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{
    Catalogue, Effect, Event, OrderAnswer, RenewalAnswer, SchedulerConfig, Size, StepSpec,
    TaskOrder, WorkerRecord,
};
use support::{Harness, draft, queue, record, starts, step};

/// The interval in which the sender sends some orders.
const STEP: Duration = Duration::from_millis(10);
/// The interval of the ticks, in steps.
const STEPS_PER_TICK: usize = 5;
/// The orders that the sender carries out in a step: 1,000 a second.
const ORDERS_PER_STEP: usize = 10;
/// How long an order may wait until it is given up.
const ORDER_LIMIT: Duration = Duration::from_millis(250);
/// How long after it was sent an order is answered by a worker of the owner's data centre.
const NEAR: Duration = Duration::from_millis(10);
/// How long the way between two regions, 20 ms there and back each, delays an answer.
const FAR: Duration = Duration::from_millis(40);
/// How much later a slow worker answers.
const SLOW: Duration = Duration::from_millis(150);
/// After how long an order without an answer ends.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// What a start may take beside its run (`DISPATCH_OVERHEAD`), so that urgent work can end its
/// first run within its aim of 600 ms.
const MAX_URGENT_WAIT: Duration = Duration::from_millis(50);
/// The part of the sender's rate that has to be in use while there is work, in percent.
const MIN_USE_PERCENT: usize = 95;
/// The steps after which the number of starts without an answer has settled: 2 s.
const SETTLING_STEPS: usize = 200;
const STEPS_PER_SECOND: usize = 100;
/// The label of the workers for each of the jobs in turn; also the beginning of their names.
const LABELS: [&str; 4] = ["near", "far", "near", "slow"];
/// The tasks of a job.
const TASKS: u32 = 10;
const WORKERS: usize = 40;
/// The queue of urgent jobs, and that of the others, by their index in the catalogue.
const URGENT: usize = 0;
const OTHERS: usize = 1;

/// A start on its way back from its worker.
struct Answer {
    at: Duration,
    worker: Box<str>,
    order: TaskOrder,
    answer: OrderAnswer,
}

/// An owner whose orders are sent one after the other, at a limited rate.
struct LimitedSender {
    harness: Harness,
    steps: usize,
    /// The orders that are not sent yet, with the time of the decision.
    queue: VecDeque<(Duration, Box<str>, TaskOrder)>,
    answers: Vec<Answer>,
    /// The starts that were sent.
    sent: Vec<(Box<str>, TaskOrder)>,
    /// Answers of a worker come this much later than [`NEAR`]; `None` if it is silent.
    distance: fn(&str) -> Option<Duration>,
}

impl LimitedSender {
    /// With work for many seconds.
    fn new(distance: fn(&str) -> Option<Duration>) -> LimitedSender {
        let mut draft = draft(1);
        draft.queues = vec![queue("urgent", "a"), queue("others", "a")];
        draft.queues[OTHERS].priority = 1;
        let catalogue = Arc::new(Catalogue::new(draft).expect("valid"));
        let mut sender = LimitedSender {
            harness: Harness::with_config(SchedulerConfig::default(), catalogue, &[]),
            steps: 0,
            queue: VecDeque::new(),
            answers: Vec::new(),
            sent: Vec::new(),
            distance,
        };
        (0..WORKERS).for_each(|at| sender.add_worker(at));
        for id in 1..=1_000 {
            sender.submit(OTHERS, id, TASKS);
        }
        sender
    }

    fn add_worker(&mut self, at: usize) {
        let label = LABELS[at % LABELS.len()];
        let name = format!("{label}{at}");
        let data_centre = if label == "far" { "dc2" } else { "dc1" };
        self.harness.heartbeat(WorkerRecord {
            data_centre: data_centre.into(),
            labels: vec![label.into()],
            ..record(&name, "a")
        });
        let effects = self.harness.answer_renewal(&name, RenewalAnswer::default());
        self.harness.commit(&effects);
    }

    fn submit(&mut self, queue: usize, id: u64, count: u32) {
        let size = Size {
            cpu_milli: 1,
            memory_mb: 1,
            gpu: 0,
        };
        let at = usize::try_from(id).expect("value out of range");
        let label = LABELS[at % LABELS.len()];
        let small = StepSpec {
            size,
            required_label: Some(label.into()),
            ..step(count, 1)
        };
        let effects = self.harness.submit_to(queue, id, vec![small]);
        self.enqueue(&effects);
    }

    fn enqueue(&mut self, effects: &[Effect]) {
        let now = self.harness.now;
        let starts = starts(effects).into_iter();
        self.queue
            .extend(starts.map(|(worker, order)| (now, worker, order)));
    }

    /// Sends the orders of one step, and handles the answers that have come.
    fn step(&mut self) {
        self.harness.now += STEP;
        self.steps += 1;
        for _ in 0..ORDERS_PER_STEP {
            self.send_next();
        }
        let mut events = self.take_answers();
        if self.steps.is_multiple_of(STEPS_PER_TICK) {
            events.insert(0, Event::Tick { wall_ms: 1 });
        }
        let (state, now) = (&self.harness.state, self.harness.now);
        let effects = self.harness.owner.handle(state, events, now);
        self.enqueue(&effects);
    }

    fn send_next(&mut self) {
        let now = self.harness.now;
        while let Some((decided_at, worker, order)) = self.queue.pop_front() {
            let (at, answer) = match (self.distance)(&worker) {
                _ if now > decided_at + ORDER_LIMIT => (now, OrderAnswer::NotSent),
                Some(distance) => (now + NEAR + distance, OrderAnswer::Done),
                None => (now + ANSWER_LIMIT, OrderAnswer::Unknown),
            };
            let is_sent = answer != OrderAnswer::NotSent;
            if is_sent {
                self.sent.push((worker.clone(), order.clone()));
            }
            self.answers.push(Answer {
                at,
                worker,
                order,
                answer,
            });
            if is_sent {
                return;
            }
        }
    }

    fn take_answers(&mut self) -> Vec<Event> {
        let now = self.harness.now;
        let due = self.answers.extract_if(.., |answer| answer.at <= now);
        let event = |answer: Answer| Event::Ordered {
            worker: answer.worker,
            order: answer.order,
            answer: answer.answer,
        };
        due.map(event).collect()
    }

    fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    /// How long it takes until the start of an urgent job that is handed in now is sent.
    fn urgent_wait(&mut self, id: u64) -> Duration {
        let since = self.harness.now;
        self.submit(URGENT, id, 1);
        let is_sent = |(_, order): &(Box<str>, TaskOrder)| order.task.job().0 == id;
        while !self.sent.iter().any(is_sent) {
            self.step();
        }
        self.harness.now - since
    }

    /// The starts sent in the next second to workers that match.
    fn sent_in_a_second(&mut self, matches: fn(&str) -> bool) -> usize {
        let before = self.sent.len();
        self.run(STEPS_PER_SECOND);
        let sent = self.sent[before..].iter();
        sent.filter(|(worker, _)| matches(worker)).count()
    }
}

fn is_near(worker: &str) -> bool {
    worker.starts_with("near")
}

fn all_near(_: &str) -> Option<Duration> {
    Some(Duration::ZERO)
}

fn some_far(worker: &str) -> Option<Duration> {
    let is_far = worker.starts_with("far");
    Some(if is_far { FAR } else { Duration::ZERO })
}

fn some_far_some_slow(worker: &str) -> Option<Duration> {
    let slowness = if worker.starts_with("slow") {
        SLOW
    } else {
        Duration::ZERO
    };
    some_far(worker).map(|distance| distance + slowness)
}

fn half_silent(worker: &str) -> Option<Duration> {
    is_near(worker).then_some(Duration::ZERO)
}

const FULL_USE: usize = ORDERS_PER_STEP * STEPS_PER_SECOND;

/// Asserts how long urgent starts wait at workers with these distances, the longest of ten.
fn assert_urgent_start_is_sent_soon(distance: fn(&str) -> Option<Duration>) {
    let mut sender = LimitedSender::new(distance);
    sender.run(SETTLING_STEPS);
    let wait = (10_000..10_010).map(|id| sender.urgent_wait(id)).max();
    let wait = wait.expect("jobs were handed in");
    assert!(wait <= MAX_URGENT_WAIT, "an urgent start waits {wait:?}");
}

/// Asserts how much of the sender's rate is in use at workers with these distances.
fn assert_sender_is_in_use(distance: fn(&str) -> Option<Duration>) {
    let mut sender = LimitedSender::new(distance);
    sender.run(SETTLING_STEPS);
    let sent = sender.sent_in_a_second(|_| true);
    let least = FULL_USE * MIN_USE_PERCENT / 100;
    assert!(sent >= least, "{sent} of {FULL_USE} orders were sent");
}

#[test]
fn urgent_start_is_sent_soon_behind_a_full_queue() {
    assert_urgent_start_is_sent_soon(all_near);
}

/// A quarter of the answers take 40 ms longer by the distance alone.
#[test]
fn urgent_start_is_sent_soon_with_a_far_data_centre() {
    assert_urgent_start_is_sent_soon(some_far);
}

/// A short queue must not leave the sender without orders.
#[test]
fn sender_is_in_use_while_there_is_work() {
    assert_sender_is_in_use(all_near);
}

/// The distance to workers must not pass for a queue.
#[test]
fn sender_is_in_use_with_a_far_data_centre() {
    assert_sender_is_in_use(some_far);
}

/// Late answers of some workers must not pass for a queue.
#[test]
fn sender_is_in_use_with_slow_workers() {
    assert_sender_is_in_use(some_far_some_slow);
}

/// Starts without an answer must not hold back those for workers that answer. These would get
/// half of the sender's rate; they lose less than half of that while the silence is not noticed.
#[test]
fn answering_workers_are_served_beside_silent_ones() {
    let mut sender = LimitedSender::new(all_near);
    sender.run(SETTLING_STEPS);
    sender.distance = half_silent;
    let sent = sender.sent_in_a_second(is_near);
    let least = FULL_USE / 2 / 2;
    assert!(sent >= least, "{sent} of {FULL_USE} orders were sent");
}
