//! Workers that reported that they are draining.

mod support;

use cleat_jobs::{Command, ControlState, Event, RenewalAnswer};
use support::{Harness, record, starts, step};

/// The workers on which a job of one task starts after these workers have answered.
fn starts_after_answers(harness: &mut Harness, workers: &[&str]) -> Vec<Box<str>> {
    for worker in workers {
        let effects = harness.answer_renewal(worker, RenewalAnswer::default());
        harness.commit(&effects);
    }
    let effects = harness.submit(9, vec![step(1, 1_000)]);
    starts(&effects).into_iter().map(|(at, _)| at).collect()
}

#[test]
fn draining_worker_takes_no_work() {
    let mut harness = Harness::new();
    harness.heartbeat_draining("w1", 2);
    let started = starts_after_answers(&mut harness, &["w1", "w2"]);
    assert_eq!(started, vec!["w2".into()]);
}

/// The next owner knows that the worker drains before the worker's next heartbeat.
#[test]
fn draining_worker_takes_no_work_from_the_next_owner() {
    let mut harness = Harness::new();
    harness.heartbeat_draining("w1", 2);
    harness.replace_owner();
    let started = starts_after_answers(&mut harness, &["w1", "w2"]);
    assert_eq!(started, vec!["w2".into()]);
}

/// A delayed heartbeat from before the worker drained does not put it back in use.
#[test]
fn draining_worker_takes_no_work_after_an_earlier_heartbeat() {
    let mut harness = Harness::new();
    harness.heartbeat_draining("w1", 2);
    harness.replace_owner();
    harness.heartbeat(record("w1", "a"));
    let started = starts_after_answers(&mut harness, &["w1", "w2"]);
    assert_eq!(started, vec!["w2".into()]);
}

/// The worker was removed, and then sends another heartbeat.
#[test]
fn draining_worker_takes_no_work_when_it_becomes_known_again() {
    let mut harness = Harness::with_workers(&["w1"]);
    harness.heartbeat_draining("w1", 2);
    let worker = "w1".into();
    let over = harness.feed(Event::Left { worker });
    harness.commit(&over);
    harness.add_worker("w1", "a");
    let started = starts_after_answers(&mut harness, &["w1"]);
    assert!(started.is_empty());
}

#[test]
fn apply_draining_remembers_the_latest_of_many() {
    let mut state = ControlState::default();
    for at in 0..10_000 {
        let name = format!("w{at}").into();
        state.apply(at, Command::Draining { name });
    }
    assert!(state.draining.contains("w9999") && !state.draining.contains("w0"));
    assert!(state.draining.len() < 10_000, "{}", state.draining.len());
}
