//! What a new owner takes over, and what has to wait for it.

mod scaffold;

use std::time::Duration;

use cleat_jobs::{EndKind, JobId, JobState, RenewalAnswer, StepSpec};
use scaffold::{Bed, end, ended, record, running, starts, step, stops, task};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The end of a run that an earlier owner started is listed, but not in the
/// state yet.
#[test]
fn takeover_listed_end_keeps_its_task() {
    let mut bed = Bed::with_workers(&["w1"]);
    bed.submit(1, vec![step(1, 1_000)]);
    bed.replace_owner();
    let listed = vec![end(1, task(1, 0, 0), 1, EndKind::Done)];
    let effects = bed.answer_renewal("w1", ended(listed));
    assert!(starts(&effects).is_empty(), "its end is being committed");
}

#[test]
fn takeover_waits_for_every_worker_of_the_pool() {
    let mut bed = Bed::new();
    bed.submit(1, vec![step(1, 1_000)]);
    bed.replace_owner();
    let one = bed.answer_renewal("w1", RenewalAnswer::default());
    assert!(starts(&one).is_empty(), "w2 may run it");
    let listed = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 1)],
        ..RenewalAnswer::default()
    };
    let both = bed.answer_renewal("w2", listed);
    assert!(starts(&both).is_empty(), "it runs on w2");
}

/// A run whose lease ran out while its worker was cut off, and the task's next
/// run elsewhere.
fn listed_twice() -> (RenewalAnswer, RenewalAnswer) {
    let lapsed = ended(vec![end(1, task(1, 0, 0), 1, EndKind::Lapsed)]);
    let runs = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 2)],
        ..RenewalAnswer::default()
    };
    (lapsed, runs)
}

#[test]
fn takeover_adopts_a_run_listed_after_the_end_of_the_one_before() {
    let mut bed = Bed::new();
    bed.submit(1, vec![lasting(1)]);
    bed.replace_owner();
    let (lapsed, runs) = listed_twice();
    let noted = bed.answer_renewal("w1", lapsed);
    let adopted = bed.answer_renewal("w2", runs.clone());
    assert_eq!(stops(&adopted), vec![], "it is the task's latest run");
    let settled = bed.commit(&noted);
    let later = bed.answer_renewal("w2", runs);
    let effects = [settled, later].concat();
    assert_eq!((starts(&effects), stops(&effects)), (vec![], vec![]));
}

#[test]
fn takeover_adopts_a_run_listed_before_the_end_of_the_one_before() {
    let mut bed = Bed::new();
    bed.submit(1, vec![lasting(1)]);
    bed.replace_owner();
    let (lapsed, runs) = listed_twice();
    let adopted = bed.answer_renewal("w2", runs);
    let noted = bed.answer_renewal("w1", lapsed);
    let settled = bed.commit(&noted);
    let effects = [adopted, noted, settled].concat();
    assert_eq!((starts(&effects), stops(&effects)), (vec![], vec![]));
}

/// The earlier end is committed first, and says nothing of the later run.
#[test]
fn takeover_keeps_its_task_until_the_end_of_its_latest_run_is_noted() {
    let mut bed = Bed::new();
    bed.submit(1, vec![step(1, 1_000)]);
    bed.replace_owner();
    let (lapsed, _) = listed_twice();
    let first = bed.answer_renewal("w1", lapsed);
    let done = ended(vec![end(1, task(1, 0, 0), 2, EndKind::Done)]);
    let second = bed.answer_renewal("w2", done);
    let between = bed.commit(&first);
    assert_eq!(starts(&between), vec![], "its latest run is done");
    bed.commit(&second);
    assert_eq!(bed.state.job_state(JobId(1)), Some(JobState::Completed));
}

fn lasting(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: Some(1),
        ..step(count, 1_000)
    }
}

/// An earlier owner took its lease as over: nothing of the task runs there.
#[test]
fn takeover_lapsed_worker_holds_up_nothing() {
    let mut bed = Bed::new();
    let lapsed = bed.let_lapse("w2", &["w1"]);
    bed.commit(&lapsed);
    assert_eq!(starts_once_w1_answers(&mut bed), 1);
}

#[test]
fn takeover_worker_that_never_answered_holds_up_nothing() {
    let mut bed = Bed::with_workers(&["w1"]);
    let effects = bed.beat(record("w2", "a"));
    bed.commit(&effects);
    assert_eq!(starts_once_w1_answers(&mut bed), 1);
}

/// How many tasks a new owner starts of a job of one that it inherits, once
/// `w1` has answered.
fn starts_once_w1_answers(bed: &mut Bed) -> usize {
    bed.submit(1, vec![step(1, 1_000)]);
    bed.replace_owner();
    let effects = bed.answer_renewal("w1", RenewalAnswer::default());
    starts(&effects).len()
}

#[test]
fn takeover_new_jobs_need_not_wait() {
    let mut bed = Bed::new();
    bed.replace_owner();
    bed.answer_renewal("w1", RenewalAnswer::default());
    let started = starts(&bed.submit(1, vec![step(1, 1_000)]));
    assert_eq!(started.len(), 1, "no earlier owner can have started it");
}

/// What came long before the takeover can't be in time any more; what came
/// since can.
#[test]
fn takeover_late_work_lets_new_work_pass() {
    let mut bed = Bed::with_workers(&[]);
    bed.wall_ms = 1_000_000;
    bed.submit(1, vec![step(1, 8_000)]);
    bed.tick(ms(5_000));
    bed.replace_owner();
    bed.submit(2, vec![step(1, 8_000)]);
    let started = starts(&bed.add_worker("w1", "a"));
    assert_eq!(started[0].1.task.job(), JobId(2));
}

/// Its caller came just before the takeover: it is served in its turn.
#[test]
fn takeover_work_in_time_keeps_its_turn() {
    let mut bed = Bed::with_workers(&[]);
    bed.wall_ms = 1_000_000;
    bed.submit(1, vec![step(1, 8_000)]);
    bed.tick(ms(300));
    bed.replace_owner();
    bed.submit(2, vec![step(1, 8_000)]);
    let started = starts(&bed.add_worker("w1", "a"));
    assert_eq!(started[0].1.task.job(), JobId(1));
}

#[test]
fn takeover_run_numbers_rise() {
    let mut bed = Bed::with_workers(&["w1"]);
    let first = starts(&bed.submit(1, vec![step(1, 1_000)]))[0].1.run;
    bed.replace_owner();
    let second = starts(&bed.answer_renewal("w1", RenewalAnswer::default()))[0]
        .1
        .run;
    assert!(second > first, "{second} after {first}");
}
