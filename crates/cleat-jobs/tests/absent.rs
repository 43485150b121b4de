//! Workers that do not answer renewals, and machine lists that show whether they are gone.

mod support;

use std::time::Duration;

use cleat_jobs::{Effect, Event, MachineState, MachineView, RenewalAnswer};
use support::{Harness, list_machines, starts, step};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn machine(name: &str, state: MachineState, worker: Option<&str>) -> MachineView {
    let view = support::machine(name, "a", worker);
    MachineView { state, ..view }
}

/// Advances the time by 100 ms and feeds a machine list requested at that time.
fn feed_list(harness: &mut Harness, machines: &[MachineView]) -> Vec<Effect> {
    harness.now += ms(100);
    list_machines(harness, machines.to_vec())
}

/// A new owner that `w1` has answered. `w2` has not, and the job's task may run on it.
fn harness_after_takeover() -> Harness {
    let mut harness = Harness::new();
    harness.submit(1, vec![step(1, 1_000)]);
    harness.replace_owner();
    harness.answer_renewal("w1", RenewalAnswer::default());
    harness
}

/// The number of tasks that start after two machine lists with this one entry.
fn starts_after(entry: &MachineView) -> usize {
    let mut harness = harness_after_takeover();
    let first = feed_list(&mut harness, std::slice::from_ref(entry));
    assert!(
        starts(&first).is_empty(),
        "a task started after a single list"
    );
    let second = feed_list(&mut harness, std::slice::from_ref(entry));
    starts(&second).len()
}

#[test]
fn absent_worker_of_a_machine_that_is_down_delays_nothing() {
    assert_eq!(starts_after(&machine("m-w2", MachineState::Down, None)), 1);
}

#[test]
fn absent_worker_of_a_moving_machine_delays_nothing() {
    assert_eq!(
        starts_after(&machine("m-w2", MachineState::Moving, None)),
        1
    );
}

#[test]
fn absent_worker_of_a_machine_with_another_life_delays_nothing() {
    let entry = machine("m-w2", MachineState::Up, Some("w9"));
    assert_eq!(starts_after(&entry), 1);
}

/// The platform still sees the worker, so it may only be cut off from its owner.
#[test]
fn absent_worker_that_is_listed_may_still_run_tasks() {
    let entry = machine("m-w2", MachineState::Up, Some("w2"));
    assert_eq!(starts_after(&entry), 0);
}

/// The machine list entry does not say which worker the machine runs.
#[test]
fn absent_worker_of_a_machine_that_names_no_worker_may_still_run_tasks() {
    assert_eq!(starts_after(&machine("m-w2", MachineState::Up, None)), 0);
}

#[test]
fn absent_worker_named_by_a_second_entry_may_still_run_tasks() {
    let mut harness = harness_after_takeover();
    let entries = [
        machine("m-w2", MachineState::Down, None),
        machine("m-w2", MachineState::Up, Some("w2")),
    ];
    let effects = [
        feed_list(&mut harness, &entries),
        feed_list(&mut harness, &entries),
    ]
    .concat();
    assert!(starts(&effects).is_empty());
}

#[test]
fn absent_worker_of_an_unlisted_machine_may_still_run_tasks() {
    assert_eq!(starts_after(&machine("m-w8", MachineState::Down, None)), 0);
}

/// The list was requested before the worker's first heartbeat arrived.
#[test]
fn absent_worker_that_joined_after_the_list_request_stays() {
    let mut harness = Harness::with_workers(&["w1"]);
    let sent_at = harness.now;
    harness.now += ms(10);
    harness.add_worker("w2", "a");
    harness.fail_renewal("w2");
    for _ in 0..2 {
        let machines = Some(vec![machine("m-w2", MachineState::Moving, None)]);
        harness.feed(Event::MachinesListed { sent_at, machines });
    }
    assert_eq!(harness.owner.workers().count(), 2);
}

/// The worker's tasks start elsewhere once it counts as silent and two machine lists show
/// it as absent, long before its lease expires. A worker counts as silent once renewals to
/// it have failed for more than 800 ms.
#[test]
fn absent_worker_loses_its_tasks_at_once() {
    let mut harness = Harness::new();
    let (first_worker, _) = starts(&harness.submit(1, vec![step(1, 1_000)])).remove(0);
    let other = if *first_worker == *"w1" { "w2" } else { "w1" };
    let entry = machine(&format!("m-{first_worker}"), MachineState::Down, None);
    harness.fail_renewal(&first_worker);
    // Long enough for the worker to count as silent.
    harness.now += ms(900);
    harness.answer_renewal(other, RenewalAnswer::default());
    harness.tick(ms(1));
    let effects = [
        feed_list(&mut harness, std::slice::from_ref(&entry)),
        feed_list(&mut harness, std::slice::from_ref(&entry)),
    ]
    .concat();
    assert!(
        starts(&effects).is_empty(),
        "a task started before the absent worker's crash was committed"
    );
    let started = starts(&harness.commit(&effects));
    assert_eq!(started.len(), 1);
    assert_eq!(&*started[0].0, other);
}
