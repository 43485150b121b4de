//! Workers whose capacity shrinks and grows while they run.

mod support;

use std::sync::Arc;

use cleat_jobs::{
    Catalogue, CatalogueDraft, Command, Effect, Event, Heartbeat, JobId, Pool, RenewalAnswer,
    WorkerRecord,
};
use support::{Harness, draft, pool, record, running, starts, step, task};

/// Feeds a heartbeat of a worker of pool `a` that reports this CPU capacity.
fn heartbeat(harness: &mut Harness, name: &str, cpu_milli: u64, sequence: u64) -> Vec<Effect> {
    let mut record: WorkerRecord = record(name, "a");
    record.capacity.cpu_milli = cpu_milli;
    let effects = harness.feed(Event::Heartbeat(Heartbeat {
        record,
        draining: false,
        sequence,
    }));
    let committed = harness.commit(&effects);
    [effects, committed].concat()
}

/// A configuration in which the workers of pool `a` do not refuse starts beyond their
/// capacity.
fn pool_without_capacity_guard(version: u64) -> Command {
    let unguarded = Pool {
        enforces_capacity: false,
        ..pool("a", false)
    };
    let draft = CatalogueDraft {
        pools: vec![unguarded, pool("b", false), pool("spare", true)],
        ..draft(version)
    };
    Command::Configure(Arc::new(Catalogue::new(draft).expect("valid")))
}

/// Guards against using the capacity of a worker's first heartbeat for its whole life: a
/// worker that had shrunk from 8 cores to 2 was assigned 8 cores of tasks, and its pool
/// does not refuse starts beyond capacity.
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

/// A delayed heartbeat reports an outdated capacity.
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

/// The worker may have shrunk while there was no owner. Pools whose workers refuse starts
/// beyond their capacity do not need to wait for a heartbeat.
#[test]
fn capacity_in_an_unguarded_pool_is_reported_before_the_next_owner_starts_tasks() {
    let mut harness = Harness::with_workers(&["w1"]);
    harness.apply(pool_without_capacity_guard(2));
    harness.replace_owner();
    harness.answer_renewal("w1", RenewalAnswer::default());
    assert!(starts(&harness.submit(1, vec![step(8, 1_000)])).is_empty());
    assert_eq!(starts(&heartbeat(&mut harness, "w1", 2_000, 2)).len(), 2);
}

/// A task of a cancelled job runs until its worker lists the end. A new owner learns of
/// the run only from the worker's list.
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
