//! Work that lasts, left on more machines than it needs.

mod scaffold;

use std::time::Duration;

use cleat_jobs::{EndKind, MachineView, RenewalAnswer, StepSpec, TaskOrder};
use scaffold::{Bed, end, list_machines, machine, moved, running, starts, step, stops, task};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn machine_of(worker: &str) -> MachineView {
    machine(&format!("m-{worker}"), "a", Some(worker))
}

fn lasting(count: u32, max_unavailable: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        ..step(count, 1_000)
    }
}

/// Tasks of one step, one on each worker, as a new owner finds them.
fn spread(workers: &[&str], max_unavailable: u32) -> Bed {
    let mut bed = Bed::with_workers(workers);
    let count = u32::try_from(workers.len()).expect("few");
    bed.submit(1, vec![lasting(count, max_unavailable)]);
    bed.replace_owner();
    list(&mut bed, workers);
    let machines = workers.iter().map(|worker| machine_of(worker));
    list_machines(&mut bed, machines.collect());
    bed
}

/// Each worker lists its task as at work.
fn list(bed: &mut Bed, workers: &[&str]) {
    for (at, worker) in (0..).zip(workers) {
        let answer = RenewalAnswer {
            running: vec![running(task(1, 0, at), 1)],
            ..RenewalAnswer::default()
        };
        bed.answer_renewal(worker, answer);
    }
}

/// The first stop within some seconds, at 50 ms a tick.
fn first_stop(bed: &mut Bed, workers: &[&str], within: Duration) -> Option<(Box<str>, TaskOrder)> {
    let end = bed.now + within;
    while bed.now < end {
        let effects = bed.tick(ms(50));
        if let Some(stop) = stops(&effects).into_iter().next() {
            return Some(stop);
        }
        list(bed, workers);
    }
    None
}

#[test]
fn gather_empties_a_machine_and_sends_it_back() {
    let workers = ["w1", "w2"];
    let mut bed = spread(&workers, 1);
    let (from, stop) = first_stop(&mut bed, &workers, ms(4_000)).expect("one is enough");
    let answer = RenewalAnswer {
        ended: vec![end(1, stop.task, stop.run.0, EndKind::Stopped)],
        ..RenewalAnswer::default()
    };
    let ended = bed.answer_renewal(&from, answer);
    let again = starts(&bed.commit(&ended));
    assert_ne!(again[0].0, from, "it goes on beside the other");
    bed.confirm_renewal(&from, 1, RenewalAnswer::default());
    let effects = bed.tick(ms(50));
    assert_eq!(
        moved(&effects),
        vec![(format!("m-{from}").into(), "spare".into())]
    );
}

/// One machine is emptied at a time, and no more tasks are away than may be.
#[test]
fn gather_interrupts_one_task_at_a_time() {
    let workers = ["w1", "w2", "w3"];
    let mut bed = spread(&workers, 1);
    let stop = first_stop(&mut bed, &workers, ms(4_000));
    assert!(stop.is_some());
    let more = bed.tick(ms(50));
    assert_eq!(stops(&more), vec![]);
}

#[test]
fn gather_leaves_tasks_that_may_not_be_away() {
    let workers = ["w1", "w2"];
    let mut bed = spread(&workers, 0);
    assert!(first_stop(&mut bed, &workers, ms(4_000)).is_none());
}

/// What has to be on two workers stays there.
#[test]
fn gather_keeps_apart_what_has_to_be_apart() {
    let workers = ["w1", "w2"];
    let mut bed = Bed::with_workers(&workers);
    let apart = StepSpec {
        max_per_worker: Some(1),
        ..lasting(2, 1)
    };
    bed.submit(1, vec![apart]);
    bed.replace_owner();
    list(&mut bed, &workers);
    list_machines(&mut bed, workers.map(machine_of).to_vec());
    assert!(first_stop(&mut bed, &workers, ms(4_000)).is_none());
}

/// Right after demand fell it may rise again, and what runs is left alone.
#[test]
fn gather_waits_before_it_interrupts() {
    let workers = ["w1", "w2"];
    let mut bed = spread(&workers, 1);
    assert!(first_stop(&mut bed, &workers, ms(1_000)).is_none());
}
