//! The recorded traces end as stated, and each stated outcome notices the loss
//! of the protection that it is meant for.

use std::path::Path;

use cleat_place::Protections;

#[allow(dead_code)]
#[path = "../examples/measure/carry.rs"]
mod carry;
#[allow(dead_code)]
#[path = "../examples/measure/platform.rs"]
mod platform;
#[path = "../examples/measure/trace.rs"]
mod trace;
#[path = "../examples/measure/watch.rs"]
mod watch;

fn faults(name: &str, protections: Protections) -> Vec<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let path = folder.join(name).with_extension("jsonl");
    trace::replay(&path, protections).1
}

fn assert_holds(name: &str) {
    let faults = faults(name, Protections::ALL);
    assert!(faults.is_empty(), "{name}: {faults:?}");
}

/// Without a protection the outcome must not hold, and for the reason stated.
fn assert_notices(name: &str, fault: &str, turn_off: impl Fn(&mut Protections)) {
    let mut protections = Protections::ALL;
    turn_off(&mut protections);
    let faults = faults(name, protections);
    let found = faults.iter().any(|found| found.starts_with(fault));
    assert!(found, "{name}: {fault:?} is not among {faults:?}");
}

#[test]
fn replay_sizes_wrong_by_four() {
    let name = "sizes-wrong-by-four";
    assert_holds(name);
    assert_notices(name, "out of memory", |p| p.correction = false);
    assert_notices(name, "out of memory", |p| p.probing = false);
}

#[test]
fn replay_worker_failing_everything() {
    let name = "worker-failing-everything";
    assert_holds(name);
    assert_notices(name, "failures", |p| p.quarantine = false);
}

#[test]
fn replay_jobs_failing_everywhere() {
    let name = "jobs-failing-everywhere";
    assert_holds(name);
    assert_notices(name, "failures", |p| p.parking = false);
    assert_notices(name, "quarantines", |p| p.class_blame = false);
}

#[test]
fn replay_cancellation_wave() {
    let name = "cancellation-wave";
    assert_holds(name);
    assert_notices(name, "urgent start ms", |p| p.pacing = false);
}

#[test]
fn replay_urgent_under_full_load() {
    let name = "urgent-under-full-load";
    assert_holds(name);
    assert_notices(name, "urgent start ms", |p| p.urgent_lane = false);
    assert_notices(name, "urgent start ms", |p| p.preemption = false);
}

#[test]
fn replay_jobs_that_never_fit() {
    let name = "jobs-that-never-fit";
    assert_holds(name);
    assert_notices(name, "refused", |p| p.refusal = false);
}

#[test]
fn replay_pool_withdrawn() {
    let name = "pool-withdrawn";
    assert_holds(name);
    assert_notices(name, "a worker was not empty in time", |p| p.drain = false);
}

#[test]
fn replay_silent_workers() {
    let name = "silent-workers";
    assert_holds(name);
    assert_notices(name, "a job ran on two workers at once", |p| {
        p.lease_wait = false;
    });
    assert_notices(name, "a job ran on two workers at once", |p| {
        p.attempt_fence = false;
    });
}

#[test]
fn replay_one_greedy_team() {
    let name = "one-greedy-team";
    assert_holds(name);
    assert_notices(name, "finished of s", |p| p.fairness = false);
    assert_notices(name, "a task was started over its team's quota", |p| {
        p.quotas = false;
    });
}

#[test]
fn replay_large_job_behind_small() {
    let name = "large-job-behind-small";
    assert_holds(name);
    assert_notices(name, "finished of large", |p| p.holding = false);
}

#[test]
fn replay_last_of_its_kind() {
    let name = "last-of-its-kind";
    assert_holds(name);
    assert_notices(name, "finished of good", |p| p.keep_last = false);
}

#[test]
fn replay_move_that_pays() {
    assert_holds("move-that-pays");
}

#[test]
fn replay_move_that_does_not_pay() {
    let name = "move-that-does-not-pay";
    assert_holds(name);
    assert_notices(name, "moves", |p| p.paying_moves = false);
}
