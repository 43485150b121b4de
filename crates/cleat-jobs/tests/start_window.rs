//! The limit of starts without an answer.
//!
//! Guards against an overload that keeps itself up: the owner decided more starts than it
//! could send, orders waited too long and were given up, and their tasks were decided again.
//! On a day of overload most of the decided starts were given up, also when no job had
//! arrived for ten seconds, and accepted jobs were left over beside free workers.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use cleat_jobs::{Effect, OrderAnswer, TaskOrder};
use support::{Harness, starts, step};

/// The interval of the ticks, at each of which some orders are answered.
const TICK: Duration = Duration::from_millis(50);
/// How long an order may wait until it is given up.
const ORDER_LIMIT: Duration = Duration::from_millis(250);
/// The number of workers; each has capacity for eight tasks.
const WORKERS: usize = 100;

/// The way from the owner to its workers, which carries a limited number of orders.
struct SlowWay {
    harness: Harness,
    waiting: VecDeque<(Duration, Box<str>, TaskOrder)>,
    /// The starts that were decided.
    decided: usize,
    /// The starts that reached their worker.
    arrived: usize,
}

impl SlowWay {
    fn new() -> SlowWay {
        let names: Vec<String> = (0..WORKERS).map(|at| format!("w{at}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        SlowWay {
            harness: Harness::with_workers(&names),
            waiting: VecDeque::new(),
            decided: 0,
            arrived: 0,
        }
    }

    fn send(&mut self, effects: &[Effect]) {
        let now = self.harness.now;
        for (worker, order) in starts(effects) {
            self.decided += 1;
            self.waiting.push_back((now, worker, order));
        }
    }

    fn submit(&mut self, id: u64) {
        let effects = self.harness.submit(id, vec![step(8, 1_000)]);
        self.send(&effects);
    }

    /// Answers `count` orders, after giving up those that have waited too long.
    fn tick(&mut self, count: usize) {
        let effects = self.harness.tick(TICK);
        self.send(&effects);
        let mut answered = 0;
        while answered < count
            && let Some((sent_at, worker, order)) = self.waiting.pop_front()
        {
            let answer = match self.harness.now > sent_at + ORDER_LIMIT {
                true => OrderAnswer::NotSent,
                false => OrderAnswer::Done,
            };
            if answer == OrderAnswer::Done {
                answered += 1;
                self.arrived += 1;
            }
            let effects = self.harness.answer(&worker, &order, answer);
            self.send(&effects);
        }
    }
}

/// A way that carries 200 orders a second gets 800 tasks at once.
#[test]
fn start_window_decides_few_orders_for_each_start_that_arrives() {
    let mut way = SlowWay::new();
    (1..=100).for_each(|id| way.submit(id));
    while way.arrived < 800 {
        way.tick(10);
    }
    let decided = way.decided;
    assert!(decided < 1_600, "{decided} starts were decided for 800");
}

/// The limit must not hold back an owner whose orders are answered at once.
#[test]
fn start_window_allows_many_starts_that_are_answered() {
    let mut way = SlowWay::new();
    (1..=100).for_each(|id| way.submit(id));
    for _ in 0..3 {
        way.tick(usize::MAX);
    }
    assert_eq!((way.decided, way.arrived), (800, 800));
}

/// A pool with many waiting tasks fills the window; a task of another pool must not wait until
/// all of them have started.
#[test]
fn start_window_is_shared_by_pools() {
    let mut way = SlowWay::new();
    way.harness.add_worker("v1", "b");
    (1..=100).for_each(|id| way.submit(id));
    way.tick(10);
    let effects = way.harness.submit_to(1, 200, vec![step(1, 1_000)]);
    way.send(&effects);
    while !way.waiting.iter().any(|(_, worker, _)| &**worker == "v1") {
        assert!(way.arrived < 100, "the task of pool b waits for those of a");
        way.tick(10);
    }
}
