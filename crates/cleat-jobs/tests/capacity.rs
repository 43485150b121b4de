//! Workers whose capacity shrinks and grows while they run.

mod scaffold;

use cleat_jobs::{Command, Effect, Event, Heartbeat, JobId, RenewalAnswer, WorkerRecord};
use scaffold::{Bed, record, running, starts, step, task};

/// A heartbeat of a worker of pool `a` that offers so much.
fn beat(bed: &mut Bed, name: &str, cpu_milli: u64, sequence: u64) -> Vec<Effect> {
    let mut record: WorkerRecord = record(name, "a");
    record.capacity.cpu_milli = cpu_milli;
    let heard = bed.feed(Event::Heartbeat(Heartbeat {
        record,
        draining: false,
        sequence,
    }));
    let follows = bed.commit(&heard);
    [heard, follows].concat()
}

/// What a worker said first was taken as what it offers for all of its life: one that
/// had shrunk from 8 cores to 2 was given 8 all the same, and its pool does not refuse
/// what is too much.
#[test]
fn capacity_that_shrank_is_not_given_out() {
    let mut bed = Bed::with_workers(&["w1"]);
    beat(&mut bed, "w1", 2_000, 2);
    let effects = bed.submit(1, vec![step(8, 1_000)]);
    assert_eq!(starts(&effects).len(), 2);
}

/// A cancelled job's task runs on until its worker lists the end, and a new owner
/// knows of it by the worker's list only.
#[test]
fn capacity_that_a_run_to_be_stopped_takes_up_is_not_given_out() {
    let mut bed = Bed::with_workers(&["w1"]);
    bed.submit(1, vec![step(1, 6_000)]);
    bed.apply(Command::Cancel { id: JobId(1) });
    bed.replace_owner();
    bed.submit(2, vec![step(1, 6_000)]);
    let listed = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 1)],
        ..RenewalAnswer::default()
    };
    assert!(starts(&bed.answer_renewal("w1", listed)).is_empty());
    let effects = bed.answer_renewal("w1", RenewalAnswer::default());
    assert_eq!(starts(&effects).len(), 1);
}
