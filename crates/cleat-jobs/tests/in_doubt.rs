//! Unanswered starts, mainly of tasks that run until they are cancelled.

mod support;

use std::time::Duration;

use cleat_jobs::{Effect, OrderAnswer, RenewalAnswer, StepSpec, TaskOrder};
use support::{Harness, running, starts, step, stops, task};

/// Two long-running tasks, of which one may be unavailable.
fn long_running_step() -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: Some(1),
        max_per_worker: Some(1),
        ..step(2, 1_000)
    }
}

/// An owner with two unanswered starts.
struct InDoubt {
    harness: Harness,
    /// The effects of the missing answers.
    effects: Vec<Effect>,
    /// The start orders, with their workers.
    orders: Vec<(Box<str>, TaskOrder)>,
}

/// Starts both tasks and leaves both starts unanswered.
fn harness_in_doubt() -> InDoubt {
    let mut harness = Harness::new();
    let orders = starts(&harness.submit(1, vec![long_running_step()]));
    assert_eq!(orders.len(), 2);
    let mut effects = Vec::new();
    for (worker, order) in &orders {
        effects.extend(harness.answer(worker, order, OrderAnswer::Unknown));
    }
    InDoubt {
        harness,
        effects,
        orders,
    }
}

fn listing(order: &TaskOrder) -> RenewalAnswer {
    RenewalAnswer {
        running: vec![running(order.task, order.run.0)],
        ..RenewalAnswer::default()
    }
}

/// Stopping both runs could end a task that has just begun while the other is unavailable
/// as well.
#[test]
fn start_in_doubt_of_a_long_running_task_continues_if_it_runs() {
    let InDoubt {
        mut harness,
        mut effects,
        orders,
    } = harness_in_doubt();
    for (worker, order) in &orders {
        harness.now += Duration::from_millis(100);
        effects.extend(harness.answer_renewal(worker, listing(order)));
        effects.extend(harness.tick(Duration::from_millis(400)));
    }
    assert_eq!(stops(&effects), vec![]);
    assert_eq!(harness.owner.running_tasks(task(1, 0, 0).job()), 2);
}

/// The unanswered start may still be executed later, after any order sent now.
#[test]
fn start_in_doubt_of_a_long_running_task_is_stopped_if_it_does_not_run() {
    let InDoubt {
        mut harness,
        effects,
        orders,
    } = harness_in_doubt();
    assert_eq!(
        stops(&effects),
        vec![],
        "a run was stopped before its worker listed its runs"
    );
    harness.now += Duration::from_millis(100);
    let (worker, order) = &orders[0];
    let listed = harness.answer_renewal(worker, RenewalAnswer::default());
    let stopped = stops(&listed);
    assert_eq!(stopped.len(), 1, "{stopped:?}");
    assert!(
        starts(&listed).is_empty(),
        "the task started before the stop was answered"
    );
    harness.answer(worker, &stopped[0].1, OrderAnswer::Old);
    harness.now += Duration::from_millis(100);
    let again = starts(&harness.answer_renewal(worker, RenewalAnswer::default()));
    assert_eq!(again.len(), 1);
    assert!(again[0].1.run > order.run);
}

/// A list requested before the start was declared unanswered does not tell whether it runs.
#[test]
fn start_in_doubt_of_a_long_running_task_waits_for_a_later_list() {
    let InDoubt {
        mut harness,
        orders,
        ..
    } = harness_in_doubt();
    let listed = harness.answer_renewal(&orders[0].0, RenewalAnswer::default());
    assert_eq!(stops(&listed), vec![]);
}

/// The wait times of the renewals among the effects.
fn waits(effects: &[Effect]) -> Vec<Duration> {
    let wait = |effect: &Effect| match effect {
        Effect::Renew { order, .. } => Some(order.wait),
        _ => None,
    };
    effects.iter().filter_map(wait).collect()
}

/// A task that ends by itself and whose start is unanswered.
fn harness_with_a_task_in_doubt() -> (Harness, Box<str>, TaskOrder) {
    let mut harness = Harness::new();
    let (worker, order) = starts(&harness.submit(1, vec![step(1, 1_000)])).remove(0);
    let stopped = stops(&harness.answer(&worker, &order, OrderAnswer::Unknown));
    assert_eq!(stopped.len(), 1);
    (harness, worker, stopped[0].1.clone())
}

/// Once the stop is answered, the next list shows whether the run ended, so the renewal
/// does not wait.
#[test]
fn renewal_after_an_answered_stop_does_not_wait() {
    let (mut harness, worker, stop) = harness_with_a_task_in_doubt();
    harness.answer(&worker, &stop, OrderAnswer::Old);
    let next = harness.answer_renewal(&worker, RenewalAnswer::default());
    assert_eq!(waits(&next), vec![Duration::ZERO]);
    harness.now += Duration::from_millis(3);
    let settled = harness.answer_renewal(&worker, RenewalAnswer::default());
    assert_eq!(
        starts(&settled).len(),
        1,
        "the stopped task was not started again"
    );
    assert!(
        waits(&settled)[0] > Duration::ZERO,
        "the renewal does not wait although no start is in doubt"
    );
}

/// Until the stop is answered, a list does not settle the start, but the list after the
/// answer has to be requested soon.
#[test]
fn renewal_of_a_worker_with_a_run_in_doubt_waits_briefly() {
    let (mut harness, worker, _) = harness_with_a_task_in_doubt();
    let next = harness.answer_renewal(&worker, RenewalAnswer::default());
    let wait = waits(&next)[0];
    let brief = Duration::from_millis(1)..=Duration::from_millis(200);
    assert!(brief.contains(&wait), "{wait:?}");
}
