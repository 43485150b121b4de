//! Workers whose capacity shrinks and grows while they run.

mod support;

use std::sync::Arc;

use cleat_jobs::{
    Catalogue, Command, Draft, Effect, Event, Heartbeat, JobId, Pool, RenewalAnswer, WorkerRecord,
};
use support::{Harness, draft, pool, record, running, starts, step, task};

/// A heartbeat of a worker of pool `a` that offers so much.
fn heartbeat(harness: &mut Harness, name: &str, cpu_milli: u64, sequence: u64) -> Vec<Effect> {
    let mut record: WorkerRecord = record(name, "a");
    record.capacity.cpu_milli = cpu_milli;
    let heard = harness.feed(Event::Heartbeat(Heartbeat {
        record,
        draining: false,
        sequence,
    }));
    let follows = harness.commit(&heard);
    [heard, follows].concat()
}

/// A state whose pool `a` starts whatever it is told to start.
fn pool_without_capacity_guard(version: u64) -> Command {
    let trusting = Pool {
        guards_capacity: false,
        ..pool("a", false)
    };
    let draft = Draft {
        pools: vec![trusting, pool("b", false), pool("spare", true)],
        ..draft(version)
    };
    Command::Configure(Arc::new(Catalogue::new(draft).expect("valid")))
}

/// What a worker said first was taken as what it offers for all of its life: one that
/// had shrunk from 8 cores to 2 was given 8 all the same, and its pool does not refuse
/// what is too much.
#[test]
fn capacity_that_shrank_is_not_assigned() {
    let mut harness = Harness::with_workers(&["w1"]);
    heartbeat(&mut harness, "w1", 2_000, 2);
    let effects = harness.submit(1, vec![step(8, 1_000)]);
    assert_eq!(starts(&effects).len(), 2);
}

#[test]
fn capacity_that_shrank_below_use_accepts_no_start() {
    let mut harness = Harness::with_workers(&["w1"]);
    harness.submit(1, vec![step(4, 1_000)]);
    heartbeat(&mut harness, "w1", 2_000, 2);
    assert!(starts(&harness.submit(2, vec![step(1, 500)])).is_empty());
}

#[test]
fn capacity_that_grew_again_is_used_at_once() {
    let mut harness = Harness::with_workers(&["w1"]);
    heartbeat(&mut harness, "w1", 2_000, 2);
    harness.submit(1, vec![step(8, 1_000)]);
    assert_eq!(starts(&heartbeat(&mut harness, "w1", 8_000, 3)).len(), 6);
}

/// What was held up on its way says what was, not what is.
#[test]
fn capacity_of_a_late_heartbeat_is_ignored() {
    let mut harness = Harness::with_workers(&["w1"]);
    heartbeat(&mut harness, "w1", 2_000, 3);
    heartbeat(&mut harness, "w1", 8_000, 2);
    assert_eq!(starts(&harness.submit(1, vec![step(8, 1_000)])).len(), 2);
}

#[test]
fn capacity_that_shrank_is_known_to_the_next_owner() {
    let mut harness = Harness::with_workers(&["w1"]);
    heartbeat(&mut harness, "w1", 2_000, 3);
    harness.replace_owner();
    harness.answer_renewal("w1", RenewalAnswer::default());
    heartbeat(&mut harness, "w1", 8_000, 2);
    assert_eq!(starts(&harness.submit(1, vec![step(8, 1_000)])).len(), 2);
}

/// It may have shrunk while nobody owned it. A pool that refuses what is too much
/// needs no such care.
#[test]
fn capacity_in_an_unguarded_pool_is_reported_before_the_next_owner_starts_tasks() {
    let mut harness = Harness::with_workers(&["w1"]);
    harness.apply(pool_without_capacity_guard(2));
    harness.replace_owner();
    harness.answer_renewal("w1", RenewalAnswer::default());
    assert!(starts(&harness.submit(1, vec![step(8, 1_000)])).is_empty());
    assert_eq!(starts(&heartbeat(&mut harness, "w1", 2_000, 2)).len(), 2);
}

/// A cancelled job's task runs on until its worker lists the end, and a new owner
/// knows of it by the worker's list only.
#[test]
fn capacity_of_a_run_to_be_stopped_is_not_assigned() {
    let mut harness = Harness::with_workers(&["w1"]);
    harness.submit(1, vec![step(1, 6_000)]);
    harness.apply(Command::Cancel { id: JobId(1) });
    harness.replace_owner();
    harness.submit(2, vec![step(1, 6_000)]);
    let listed = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 1)],
        ..RenewalAnswer::default()
    };
    assert!(starts(&harness.answer_renewal("w1", listed)).is_empty());
    let effects = harness.answer_renewal("w1", RenewalAnswer::default());
    assert_eq!(starts(&effects).len(), 1);
}
