//! Throttling of tasks that fill spare processor time next to latency-sensitive tasks.

mod support;

use std::time::Duration;

use cleat_jobs::{RenewalAnswer, Run, RunningTask, StepSpec};
use support::{Harness, starts, step, task, throttles};

const TARGET_MS: u64 = 100;
const SETTLED: Duration = Duration::from_millis(700);

/// A worker with one serving task, which has a latency target, and one filling task.
fn harness_with_shared_worker() -> Harness {
    let serving = StepSpec {
        long_running: true,
        target_ms: Some(TARGET_MS),
        ..step(1, 1_000)
    };
    let filling = StepSpec {
        fills: true,
        ..step(1, 7_500)
    };
    let mut harness = Harness::with_workers(&["w1"]);
    harness.submit(1, vec![serving]);
    let started = starts(&harness.submit(2, vec![filling]));
    assert_eq!(
        started.len(),
        1,
        "the filling task was not started beside the serving one"
    );
    harness
}

fn list_runs(harness: &mut Harness, tail_ms: u64, percent: u64) -> Vec<u8> {
    harness.now += SETTLED;
    let run = |task, percent, load| RunningTask {
        task,
        run: Run(1),
        checkpoint: "".into(),
        percent,
        load,
    };
    let answer = RenewalAnswer {
        running: vec![
            run(task(1, 0, 0), 100, tail_ms),
            run(task(2, 0, 0), percent, 4_000),
        ],
        ..RenewalAnswer::default()
    };
    let effects = harness.answer_renewal("w1", answer);
    throttles(&effects)
        .into_iter()
        .map(|(_, percent)| percent)
        .collect()
}

#[test]
fn throttle_falls_before_the_target_is_reached() {
    let mut harness = harness_with_shared_worker();
    assert_eq!(list_runs(&mut harness, TARGET_MS * 9 / 10, 100), vec![50]);
    assert_eq!(list_runs(&mut harness, TARGET_MS * 2, 50), vec![25]);
}

#[test]
fn throttle_falls_to_zero() {
    let mut harness = harness_with_shared_worker();
    let mut percent = 100;
    for _ in 0..6 {
        if let [next] = list_runs(&mut harness, TARGET_MS * 3, percent)[..] {
            percent = u64::from(next);
        }
    }
    assert_eq!(percent, 0);
}

#[test]
fn throttle_rises_slowly_below_the_target() {
    let mut harness = harness_with_shared_worker();
    assert_eq!(list_runs(&mut harness, TARGET_MS, 100), vec![50]);
    assert_eq!(list_runs(&mut harness, TARGET_MS / 4, 50), vec![65]);
    assert_eq!(
        list_runs(&mut harness, TARGET_MS * 7 / 10, 65),
        Vec::<u8>::new(),
        "the throttle changed although the load fits the target"
    );
}

#[test]
fn throttle_waits_for_measurements_to_settle() {
    let mut harness = harness_with_shared_worker();
    assert_eq!(list_runs(&mut harness, TARGET_MS, 100), vec![50]);
    harness.now -= SETTLED;
    assert_eq!(
        list_runs(&mut harness, TARGET_MS * 2, 100),
        Vec::<u8>::new()
    );
}
