//! Lists of machines that were asked for before something changed, or that leave
//! a worker out: nothing that runs may be ended by what they say.

mod scaffold;

use std::time::Duration;

use cleat_jobs::{
    Command, Effect, Event, MachineAnswer, MachineOrder, MachineView, OrderAnswer, RenewalAnswer,
};
use scaffold::{Bed, list_machines, machine, moved, running, starts, step};

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

/// `m-w2` has moved to pool `a`, and its worker runs a task. Gives when a list was
/// asked for before the move.
fn bed_with_a_moved_machine() -> (Bed, Duration) {
    let mut bed = Bed::with_workers(&["w1"]);
    list_machines(&mut bed, before_the_move());
    let first = bed.submit(1, vec![step(3, 4_000)]);
    for (worker, order) in starts(&first) {
        bed.answer(&worker, &order, OrderAnswer::Done);
    }
    let ordered = bed.tick(ms(50));
    assert_eq!(moved(&ordered), vec![("m-w2".into(), "a".into())]);
    let asked_before = bed.now;
    bed.now += ms(20);
    bed.feed(Event::MachineOrdered {
        machine: "m-w2".into(),
        order: MachineOrder::Move { pool: "a".into() },
        answer: MachineAnswer::Done,
    });
    bed.now += ms(1_500);
    let third = bed.add_worker("w2", "a");
    let started = starts(&third);
    assert_eq!(started.len(), 1, "the task that found no room");
    bed.answer("w2", &started[0].1, OrderAnswer::Done);
    bed.tick(ms(50));
    (bed, asked_before)
}

/// What `w2` lists while its task runs.
fn at_work(bed: &mut Bed) {
    let task = scaffold::task(1, 0, 2);
    let listed = RenewalAnswer {
        running: vec![running(task, 1)],
        ..RenewalAnswer::default()
    };
    bed.answer_renewal("w2", listed);
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

/// Asks for the maintenance of `m-w2`; gives what is done within half a second.
fn start_wave(bed: &mut Bed) -> Vec<Effect> {
    bed.apply(Command::StartWave {
        wave: 1,
        machines: vec!["m-w2".into()],
        duration_ms: 10_000,
        max_at_once: 1,
    });
    // Waves begin some time after a takeover.
    bed.now += ms(3_000);
    let ticks = (0..10).flat_map(|_| {
        at_work(bed);
        bed.tick(ms(50))
    });
    ticks.collect()
}

#[test]
fn list_asked_for_before_a_move_ends_no_task_by_a_wave() {
    let (mut bed, sent_at) = bed_with_a_moved_machine();
    let machines = Some(before_the_move());
    bed.feed(Event::MachinesListed { sent_at, machines });
    let effects = start_wave(&mut bed);
    assert!(maintained(&effects).is_empty(), "a task runs there");
}

#[test]
fn list_without_a_worker_ends_no_task_by_a_wave() {
    let (mut bed, _) = bed_with_a_moved_machine();
    let own = machine("m-w1", "a", Some("w1"));
    list_machines(&mut bed, vec![own, machine("m-w2", "a", None)]);
    let effects = start_wave(&mut bed);
    assert!(maintained(&effects).is_empty(), "a task runs there");
}

/// A worker that no list names is emptied for a wave as any other.
#[test]
fn list_without_a_worker_keeps_no_machine_from_its_wave() {
    let (mut bed, _) = bed_with_a_moved_machine();
    let own = machine("m-w1", "a", Some("w1"));
    list_machines(&mut bed, vec![own, machine("m-w2", "a", None)]);
    start_wave(&mut bed);
    let started = starts(&bed.submit(2, vec![step(1, 2_000)]));
    assert!(started.is_empty(), "the only room is on w2: {started:?}");
}

#[test]
fn list_asked_for_before_a_move_ends_no_task_by_another_move() {
    let (mut bed, sent_at) = bed_with_a_moved_machine();
    let machines = Some(before_the_move());
    bed.feed(Event::MachinesListed { sent_at, machines });
    at_work(&mut bed);
    let lacking = bed.submit_to(1, 3, vec![step(1, 4_000)]);
    let effects = [lacking, bed.tick(ms(50))].concat();
    assert!(moved(&effects).is_empty(), "a task runs there");
}
