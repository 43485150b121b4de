//! Which runs a new owner adopts, and which tasks have to wait for workers to answer it.

mod support;

use std::time::Duration;

use cleat_jobs::{EndKind, JobId, JobState, RenewalAnswer, StepSpec};
use support::{Harness, end, ended, record, running, starts, step, stops, task};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The end of a run that an earlier owner started is listed, but not committed yet.
#[test]
fn takeover_listed_end_keeps_its_task() {
    let mut harness = Harness::with_workers(&["w1"]);
    harness.submit(1, vec![step(1, 1_000)]);
    harness.replace_owner();
    let listed = vec![end(1, task(1, 0, 0), 1, EndKind::Done)];
    let effects = harness.answer_renewal("w1", ended(listed));
    assert!(
        starts(&effects).is_empty(),
        "the task was started again before its end was committed"
    );
}

#[test]
fn takeover_waits_for_every_worker_of_the_pool() {
    let mut harness = Harness::new();
    harness.submit(1, vec![step(1, 1_000)]);
    harness.replace_owner();
    let one = harness.answer_renewal("w1", RenewalAnswer::default());
    assert!(
        starts(&one).is_empty(),
        "a task that may run on w2 was started again"
    );
    let listed = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 1)],
        ..RenewalAnswer::default()
    };
    let both = harness.answer_renewal("w2", listed);
    assert!(
        starts(&both).is_empty(),
        "a task that runs on w2 was started again"
    );
}

/// Two renewal answers: the end of a run whose lease expired while its worker was cut off,
/// and the task's next run elsewhere.
fn expired_run_and_next_run() -> (RenewalAnswer, RenewalAnswer) {
    let lapsed = ended(vec![end(1, task(1, 0, 0), 1, EndKind::Lapsed)]);
    let runs = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 2)],
        ..RenewalAnswer::default()
    };
    (lapsed, runs)
}

#[test]
fn takeover_adopts_a_run_listed_after_the_end_of_the_one_before() {
    let mut harness = Harness::new();
    harness.submit(1, vec![long_running_step(1)]);
    harness.replace_owner();
    let (lapsed, runs) = expired_run_and_next_run();
    let end_listed = harness.answer_renewal("w1", lapsed);
    let adopted = harness.answer_renewal("w2", runs.clone());
    assert_eq!(
        stops(&adopted),
        vec![],
        "the latest run of the task was stopped"
    );
    let settled = harness.commit(&end_listed);
    let later = harness.answer_renewal("w2", runs);
    let effects = [settled, later].concat();
    assert_eq!((starts(&effects), stops(&effects)), (vec![], vec![]));
}

#[test]
fn takeover_adopts_a_run_listed_before_the_end_of_the_one_before() {
    let mut harness = Harness::new();
    harness.submit(1, vec![long_running_step(1)]);
    harness.replace_owner();
    let (lapsed, runs) = expired_run_and_next_run();
    let adopted = harness.answer_renewal("w2", runs);
    let end_listed = harness.answer_renewal("w1", lapsed);
    let settled = harness.commit(&end_listed);
    let effects = [adopted, end_listed, settled].concat();
    assert_eq!((starts(&effects), stops(&effects)), (vec![], vec![]));
}

/// The end of the earlier run is committed first, which does not affect the later run.
#[test]
fn takeover_keeps_its_task_until_the_end_of_its_latest_run_is_committed() {
    let mut harness = Harness::new();
    harness.submit(1, vec![step(1, 1_000)]);
    harness.replace_owner();
    let (lapsed, _) = expired_run_and_next_run();
    let first = harness.answer_renewal("w1", lapsed);
    let done = ended(vec![end(1, task(1, 0, 0), 2, EndKind::Done)]);
    let second = harness.answer_renewal("w2", done);
    let between = harness.commit(&first);
    assert_eq!(
        starts(&between),
        vec![],
        "the task was started again although its latest run is done"
    );
    harness.commit(&second);
    assert_eq!(harness.state.job_state(JobId(1)), Some(JobState::Completed));
}

fn long_running_step(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: Some(1),
        ..step(count, 1_000)
    }
}

/// An earlier owner recorded that the worker's lease expired, so no task runs there.
#[test]
fn takeover_lapsed_worker_delays_nothing() {
    let mut harness = Harness::new();
    let lapsed = harness.let_lease_expire("w2", &["w1"]);
    harness.commit(&lapsed);
    assert_eq!(starts_once_w1_answers(&mut harness), 1);
}

#[test]
fn takeover_worker_that_never_answered_delays_nothing() {
    let mut harness = Harness::with_workers(&["w1"]);
    let effects = harness.heartbeat(record("w2", "a"));
    harness.commit(&effects);
    assert_eq!(starts_once_w1_answers(&mut harness), 1);
}

/// The number of tasks of an inherited job of one task that a new owner starts once `w1`
/// has answered.
fn starts_once_w1_answers(harness: &mut Harness) -> usize {
    harness.submit(1, vec![step(1, 1_000)]);
    harness.replace_owner();
    let effects = harness.answer_renewal("w1", RenewalAnswer::default());
    starts(&effects).len()
}

#[test]
fn takeover_new_jobs_need_not_wait() {
    let mut harness = Harness::new();
    harness.replace_owner();
    harness.answer_renewal("w1", RenewalAnswer::default());
    let started = starts(&harness.submit(1, vec![step(1, 1_000)]));
    assert_eq!(
        started.len(),
        1,
        "a job that no earlier owner can have started was delayed"
    );
}

/// A job submitted long before the takeover can no longer complete in time, but one
/// submitted since then can. A job should be done 1,250 ms after its arrival: 1.5 times its
/// estimate of 500 ms, and the queue's 500 ms. Each task takes a whole worker (8,000
/// thousandths of a core), so only one of the jobs starts.
#[test]
fn takeover_serves_new_jobs_before_overdue_ones() {
    let mut harness = Harness::with_workers(&[]);
    harness.wall_ms = 1_000_000;
    harness.submit(1, vec![step(1, 8_000)]);
    harness.tick(ms(5_000));
    harness.replace_owner();
    harness.submit(2, vec![step(1, 8_000)]);
    let started = starts(&harness.add_worker("w1", "a"));
    assert_eq!(started[0].1.task.job(), JobId(2));
}

/// A job submitted just before the takeover can still complete in time and is served first:
/// 300 ms and its estimate of 500 ms are less than the 1,250 ms within which it should be
/// done. Each task takes a whole worker, as above.
#[test]
fn takeover_keeps_the_order_of_jobs_still_in_time() {
    let mut harness = Harness::with_workers(&[]);
    harness.wall_ms = 1_000_000;
    harness.submit(1, vec![step(1, 8_000)]);
    harness.tick(ms(300));
    harness.replace_owner();
    harness.submit(2, vec![step(1, 8_000)]);
    let started = starts(&harness.add_worker("w1", "a"));
    assert_eq!(started[0].1.task.job(), JobId(1));
}

#[test]
fn takeover_run_numbers_rise() {
    let mut harness = Harness::with_workers(&["w1"]);
    let first = starts(&harness.submit(1, vec![step(1, 1_000)]))[0].1.run;
    harness.replace_owner();
    let second = starts(&harness.answer_renewal("w1", RenewalAnswer::default()))[0]
        .1
        .run;
    assert!(second > first, "{second} after {first}");
}
