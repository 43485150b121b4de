//! Ends that are held while the start of the task's other run has no answer.

mod support;

use std::time::Duration;

use cleat_jobs::{
    Effect, EndKind, Features, JobId, JobState, OrderAnswer, RenewalAnswer, SchedulerConfig,
    StepSpec, TaskOrder,
};
use support::{Harness, end, ended, running, starts, step, stops};

/// A run and the worker that it was started on.
type Placed = (Box<str>, TaskOrder);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An owner of `w1` and `w2` that may copy tasks up to the whole capacity.
fn harness() -> Harness {
    let features = Features {
        speculation_percent: 100,
        ..Features::default()
    };
    let cfg = SchedulerConfig {
        features,
        ..SchedulerConfig::default()
    };
    Harness::with_config(cfg, support::catalogue(1), &["w1", "w2"])
}

/// Starts a job of one task, which is expected to take 500 ms, and confirms its start.
fn run_job(harness: &mut Harness, id: u64) -> Placed {
    let spec = StepSpec {
        speculative: true,
        ..step(1, 3_000)
    };
    let (worker, order) = starts(&harness.submit(id, vec![spec])).remove(0);
    harness.answer(&worker, &order, OrderAnswer::Done);
    (worker, order)
}

fn lists(runs: &[&Placed]) -> RenewalAnswer {
    let runs = runs
        .iter()
        .map(|(_, order)| running(order.task, order.run.0));
    RenewalAnswer {
        running: runs.collect(),
        ..RenewalAnswer::default()
    }
}

/// One task runs on each worker, and its copy was ordered to the other one.
struct CrossedCopies {
    earlier: [Placed; 2],
    copies: [Placed; 2],
}

fn crossed_copies(harness: &mut Harness) -> CrossedCopies {
    let first = run_job(harness, 1);
    assert_eq!(&*first.0, "w1");
    // The second job starts on the other worker, since the first one does not answer.
    harness.fail_renewal("w1");
    let second = run_job(harness, 2);
    assert_eq!(&*second.0, "w2");
    harness.answer_renewal("w1", lists(&[&first]));
    let mut copies = starts(&harness.tick(ms(760)));
    copies.sort_by_key(|(_, order)| order.task);
    let copies: [Placed; 2] = copies.try_into().expect("a copy of each task");
    assert_eq!([&*copies[0].0, &*copies[1].0], ["w2", "w1"]);
    CrossedCopies {
        earlier: [first, second],
        copies,
    }
}

/// The answer of each copy's start is lost, and the stop that follows is confirmed.
fn stop_copies_in_doubt(harness: &mut Harness, copies: &[Placed; 2]) {
    for (worker, copy) in copies {
        let doubted = harness.answer(worker, copy, OrderAnswer::Unknown);
        let (stopped_on, stop) = stops(&doubted).remove(0);
        assert_eq!((&stopped_on, stop.run), (worker, copy.run));
        harness.answer(worker, &stop, OrderAnswer::Done);
    }
}

/// Both workers list the end of their task and no run, and what they propose is committed.
fn list_ends(harness: &mut Harness, crossed: &CrossedCopies) -> Vec<Effect> {
    let mut effects = Vec::new();
    harness.now += ms(10);
    for (worker, order) in &crossed.earlier {
        let done = end(1, order.task, order.run.0, EndKind::Done);
        effects.extend(harness.answer_renewal(worker, ended(vec![done])));
    }
    effects.extend(harness.commit(&effects));
    effects
}

/// Guards against jobs that never end: two workers each held the end of one task, whose copy
/// on the other worker was in doubt, and a list with a held end did not show that the copy
/// does not run. So each end waited for the other.
#[test]
fn ends_held_on_two_workers_for_each_other() {
    let mut harness = harness();
    let crossed = crossed_copies(&mut harness);
    stop_copies_in_doubt(&mut harness, &crossed.copies);
    let mut effects = Vec::new();
    for _ in 0..3 {
        effects.extend(list_ends(&mut harness, &crossed));
    }
    for id in [1, 2] {
        let state = harness.state.job_state(JobId(id));
        assert_eq!(state, Some(JobState::Completed), "job {id}");
    }
    assert!(starts(&effects).is_empty(), "a task was started again");
}

/// Guards against counting a run as lost because it is not running any more, while its end
/// is in the list and held behind an earlier one.
#[test]
fn run_whose_end_is_held_is_not_lost() {
    let mut harness = harness();
    let crossed = crossed_copies(&mut harness);
    let [(_, first), (_, second)] = &crossed.earlier;
    let (copy_worker, copy) = &crossed.copies[1];
    assert_eq!(&**copy_worker, "w1");
    harness.answer(copy_worker, copy, OrderAnswer::Done);
    harness.now += ms(10);
    // The start of the first task's copy on `w2` has no answer yet, so its end is held, and
    // the end of the second task's copy behind it.
    let held = vec![
        end(1, first.task, first.run.0, EndKind::Done),
        end(2, copy.task, copy.run.0, EndKind::Failed),
    ];
    let effects = harness.answer_renewal("w1", ended(held));
    assert!(starts(&effects).is_empty() && stops(&effects).is_empty());
    let both = harness.owner.running_tasks(second.task.job());
    assert_eq!(both, 2, "a run counts as lost although its end is listed");
}
