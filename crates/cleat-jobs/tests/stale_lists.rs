//! Machine lists that were requested before a change, or that leave out a worker. They must
//! not cause an order that ends a running task.

mod support;

use std::time::Duration;

use cleat_jobs::{
    Command, Effect, Event, MachineAnswer, MachineOrder, MachineView, OrderAnswer, RenewalAnswer,
};
use support::{Harness, list_machines, machine, moved, running, starts, step};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The two machines as they are before `m-w2` moves to pool `a`.
fn before_the_move() -> Vec<MachineView> {
    vec![
        machine("m-w1", "a", Some("w1")),
        machine("m-w2", "spare", None),
    ]
}

/// `m-w2` has moved to pool `a`, and its worker runs a task. Also returns a time before the
/// move at which a list was requested.
fn harness_with_a_moved_machine() -> (Harness, Duration) {
    let mut harness = Harness::with_workers(&["w1"]);
    list_machines(&mut harness, before_the_move());
    let first = harness.submit(1, vec![step(3, 4_000)]);
    for (worker, order) in starts(&first) {
        harness.answer(&worker, &order, OrderAnswer::Done);
    }
    let ordered = harness.tick(ms(50));
    assert_eq!(moved(&ordered), vec![("m-w2".into(), "a".into())]);
    let asked_before = harness.now;
    harness.now += ms(20);
    harness.feed(Event::MachineOrdered {
        machine: "m-w2".into(),
        order: MachineOrder::Move { pool: "a".into() },
        answer: MachineAnswer::Done,
    });
    harness.now += ms(1_500);
    let third = harness.add_worker("w2", "a");
    let started = starts(&third);
    assert_eq!(
        started.len(),
        1,
        "the task without free capacity was not started on the new worker"
    );
    harness.answer("w2", &started[0].1, OrderAnswer::Done);
    harness.tick(ms(50));
    (harness, asked_before)
}

/// `w2` lists its running task.
fn list_running_task(harness: &mut Harness) {
    let task = support::task(1, 0, 2);
    let listed = RenewalAnswer {
        running: vec![running(task, 1)],
        ..RenewalAnswer::default()
    };
    harness.answer_renewal("w2", listed);
}

fn maintained(effects: &[Effect]) -> Vec<Box<str>> {
    let order = |effect: &Effect| match effect {
        Effect::OrderMachine {
            machine,
            order: MachineOrder::Maintain { .. },
            ..
        } => Some(machine.clone()),
        _ => None,
    };
    effects.iter().filter_map(order).collect()
}

/// Starts a wave for `m-w2`, and returns the effects of the next half second.
fn start_wave(harness: &mut Harness) -> Vec<Effect> {
    harness.apply(Command::StartWave {
        wave: 1,
        machines: vec!["m-w2".into()],
        duration_ms: 10_000,
        max_at_once: 1,
    });
    // Waves begin only some time after a takeover.
    harness.now += ms(3_000);
    let ticks = (0..10).flat_map(|_| {
        list_running_task(harness);
        harness.tick(ms(50))
    });
    ticks.collect()
}

#[test]
fn list_requested_before_a_move_ends_no_task_by_a_wave() {
    let (mut harness, sent_at) = harness_with_a_moved_machine();
    let machines = Some(before_the_move());
    harness.feed(Event::MachinesListed { sent_at, machines });
    let effects = start_wave(&mut harness);
    assert!(
        maintained(&effects).is_empty(),
        "an order would end the running task"
    );
}

#[test]
fn list_without_a_worker_ends_no_task_by_a_wave() {
    let (mut harness, _) = harness_with_a_moved_machine();
    let own = machine("m-w1", "a", Some("w1"));
    list_machines(&mut harness, vec![own, machine("m-w2", "a", None)]);
    let effects = start_wave(&mut harness);
    assert!(
        maintained(&effects).is_empty(),
        "an order would end the running task"
    );
}

/// A worker that no list names is drained for a wave like any other.
#[test]
fn list_without_a_worker_does_not_block_the_wave() {
    let (mut harness, _) = harness_with_a_moved_machine();
    let own = machine("m-w1", "a", Some("w1"));
    list_machines(&mut harness, vec![own, machine("m-w2", "a", None)]);
    start_wave(&mut harness);
    let started = starts(&harness.submit(2, vec![step(1, 2_000)]));
    assert!(
        started.is_empty(),
        "a task started on the worker of a machine in the wave: {started:?}"
    );
}

#[test]
fn list_requested_before_a_move_ends_no_task_by_another_move() {
    let (mut harness, sent_at) = harness_with_a_moved_machine();
    let machines = Some(before_the_move());
    harness.feed(Event::MachinesListed { sent_at, machines });
    list_running_task(&mut harness);
    let lacking = harness.submit_to(1, 3, vec![step(1, 4_000)]);
    let effects = [lacking, harness.tick(ms(50))].concat();
    assert!(
        moved(&effects).is_empty(),
        "an order would end the running task"
    );
}
