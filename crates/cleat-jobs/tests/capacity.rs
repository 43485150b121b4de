//! Workers whose capacity shrinks and grows while they run.

mod scaffold;

use std::sync::Arc;

use cleat_jobs::{
    Catalogue, CatalogueDraft, Command, Effect, Event, Heartbeat, JobId, Pool, RenewalAnswer,
    WorkerRecord,
};
use scaffold::{Bed, draft, pool, record, running, starts, step, task};

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

/// A state whose pool `a` starts whatever it is told to start.
fn unguarded(version: u64) -> Command {
    let trusting = Pool {
        enforces_capacity: false,
        ..pool("a", false)
    };
    let draft = CatalogueDraft {
        pools: vec![trusting, pool("b", false), pool("spare", true)],
        ..draft(version)
    };
    Command::Configure(Arc::new(Catalogue::new(draft).expect("valid")))
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

#[test]
fn capacity_that_shrank_below_what_runs_takes_nothing_more() {
    let mut bed = Bed::with_workers(&["w1"]);
    bed.submit(1, vec![step(4, 1_000)]);
    beat(&mut bed, "w1", 2_000, 2);
    assert!(starts(&bed.submit(2, vec![step(1, 500)])).is_empty());
}

#[test]
fn capacity_that_grew_again_is_used_at_once() {
    let mut bed = Bed::with_workers(&["w1"]);
    beat(&mut bed, "w1", 2_000, 2);
    bed.submit(1, vec![step(8, 1_000)]);
    assert_eq!(starts(&beat(&mut bed, "w1", 8_000, 3)).len(), 6);
}

/// What was held up on its way says what was, not what is.
#[test]
fn capacity_of_a_late_heartbeat_says_nothing() {
    let mut bed = Bed::with_workers(&["w1"]);
    beat(&mut bed, "w1", 2_000, 3);
    beat(&mut bed, "w1", 8_000, 2);
    assert_eq!(starts(&bed.submit(1, vec![step(8, 1_000)])).len(), 2);
}

#[test]
fn capacity_that_shrank_is_known_to_the_next_owner() {
    let mut bed = Bed::with_workers(&["w1"]);
    beat(&mut bed, "w1", 2_000, 3);
    bed.replace_owner();
    bed.answer_renewal("w1", RenewalAnswer::default());
    beat(&mut bed, "w1", 8_000, 2);
    assert_eq!(starts(&bed.submit(1, vec![step(8, 1_000)])).len(), 2);
}

/// It may have shrunk while nobody owned it. A pool that refuses what is too much
/// needs no such care.
#[test]
fn capacity_in_an_unguarded_pool_is_heard_before_the_next_owner_starts() {
    let mut bed = Bed::with_workers(&["w1"]);
    bed.apply(unguarded(2));
    bed.replace_owner();
    bed.answer_renewal("w1", RenewalAnswer::default());
    assert!(starts(&bed.submit(1, vec![step(8, 1_000)])).is_empty());
    assert_eq!(starts(&beat(&mut bed, "w1", 2_000, 2)).len(), 2);
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
