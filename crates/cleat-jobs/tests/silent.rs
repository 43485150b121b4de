//! Workers that became silent before a change of owner, and which tasks have to wait for
//! them.

mod support;

use std::time::Duration;

use cleat_jobs::{Command, EndKind, RenewalAnswer, StepSpec};
use support::{Harness, end, ends, proposals, running, starts, step, task};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// `w2` leaves its renewals unanswered until the owner considers it silent, and the
/// `WorkerSilent` command is committed.
fn let_become_silent(harness: &mut Harness) {
    harness.fail_renewal("w2");
    harness.now += ms(850);
    harness.answer_renewal("w1", RenewalAnswer::default());
    let effects = harness.tick(ms(1));
    let proposed = proposals(&effects);
    assert!(
        matches!(proposed[..], [Command::WorkerSilent { .. }]),
        "{proposed:?}"
    );
    harness.commit(&effects);
}

/// The number of tasks that the next owner starts once `w1` has answered.
fn next_owner_starts(harness: &mut Harness) -> usize {
    harness.replace_owner();
    starts(&harness.answer_renewal("w1", RenewalAnswer::default())).len()
}

#[test]
fn silent_worker_delays_no_later_job() {
    let mut harness = Harness::new();
    let_become_silent(&mut harness);
    harness.submit(1, vec![step(1, 1_000)]);
    assert_eq!(
        next_owner_starts(&mut harness),
        1,
        "a job submitted after the worker became silent was delayed"
    );
}

#[test]
fn silent_worker_delays_earlier_jobs() {
    let mut harness = Harness::new();
    harness.submit(1, vec![step(1, 1_000)]);
    let_become_silent(&mut harness);
    assert_eq!(
        next_owner_starts(&mut harness),
        0,
        "a task that the silent worker may run was started again"
    );
}

/// The job is older, but its second step became ready after the worker became silent.
#[test]
fn silent_worker_delays_no_step_that_became_ready_later() {
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1_000)
    };
    let mut harness = Harness::new();
    let (first_worker, first) = starts(&harness.submit(1, vec![step(1, 1_000), second])).remove(0);
    assert_eq!(&*first_worker, "w1");
    let_become_silent(&mut harness);
    let done = end(1, first.task, first.run.0, EndKind::Done);
    harness.apply(ends("w1", vec![done]));
    assert_eq!(next_owner_starts(&mut harness), 1);
}

/// No earlier owner can have started a step that becomes ready under the new owner.
#[test]
fn worker_without_contact_delays_no_step_that_became_ready_since() {
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1_000)
    };
    let mut harness = Harness::new();
    let (_, first) = starts(&harness.submit(1, vec![step(1, 1_000), second])).remove(0);
    harness.replace_owner();
    harness.answer_renewal("w1", RenewalAnswer::default());
    let done = end(1, first.task, first.run.0, EndKind::Done);
    let effects = harness.apply(ends("w1", vec![done]));
    assert_eq!(starts(&effects)[0].1.task, task(1, 1, 0));
}

/// Otherwise the next owner would assume that nothing was started on this worker.
#[test]
fn silent_worker_is_recorded_again_before_it_gets_work() {
    let mut harness = Harness::new();
    let_become_silent(&mut harness);
    harness.submit(1, vec![step(4, 3_000)]);
    let back = harness.answer_renewal("w2", RenewalAnswer::default());
    assert!(
        starts(&back).is_empty(),
        "a task started before the use of the worker was committed"
    );
    assert_eq!(starts(&harness.commit(&back)).len(), 2);
}

#[test]
fn silent_worker_is_recorded_again_by_the_next_owner() {
    let mut harness = Harness::new();
    let_become_silent(&mut harness);
    harness.replace_owner();
    harness.answer_renewal("w1", RenewalAnswer::default());
    harness.submit(1, vec![step(4, 3_000)]);
    let back = harness.answer_renewal("w2", RenewalAnswer::default());
    assert!(
        starts(&back).is_empty(),
        "a task started before the use of the worker was committed"
    );
    assert_eq!(starts(&harness.commit(&back)).len(), 2);
}

/// A second owner dies before the worker answers it. The first owner's `WorkerSilent`
/// record is still valid and covers jobs that the second owner accepted.
#[test]
fn silent_worker_delays_no_later_job_after_two_owners() {
    let mut harness = Harness::new();
    let_become_silent(&mut harness);
    harness.replace_owner();
    harness.submit(1, vec![step(1, 1_000)]);
    assert_eq!(next_owner_starts(&mut harness), 1);
}

/// The worker answers again and gets tasks before the owner dies, which invalidates the
/// `WorkerSilent` record.
#[test]
fn silent_worker_that_came_back_delays_its_new_tasks() {
    let mut harness = Harness::new();
    let_become_silent(&mut harness);
    let back = harness.answer_renewal("w2", RenewalAnswer::default());
    harness.commit(&back);
    harness.submit(1, vec![step(4, 3_000)]);
    harness.replace_owner();
    let listed = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 1), running(task(1, 0, 1), 1)],
        ..RenewalAnswer::default()
    };
    let effects = harness.answer_renewal("w1", listed);
    assert!(
        starts(&effects).is_empty(),
        "tasks that w2 may run were started again"
    );
}

/// The worker had completed the task before its lease expired. By the time it answers, the
/// task waits for free capacity or runs elsewhere.
#[test]
fn lapsed_worker_that_had_done_its_task_leaves_it_done() {
    let mut harness = Harness::new();
    let (first_worker, first) = starts(&harness.submit(1, vec![step(2, 8_000)])).remove(0);
    let other = if *first_worker == *"w1" { "w2" } else { "w1" };
    let lapsed = harness.let_lease_expire(&first_worker, &[other]);
    harness.commit(&lapsed);
    let answer = RenewalAnswer {
        ended: vec![end(1, first.task, first.run.0, EndKind::Done)],
        ..RenewalAnswer::default()
    };
    let back = harness.answer_renewal(&first_worker, answer);
    let effects = harness.commit(&back);
    let again = starts(&effects).into_iter();
    let again = again.filter(|(_, order)| order.task == first.task);
    assert_eq!(again.count(), 0, "a task that is done was started again");
}

fn silent_after(token: u64, activations: u32) -> bool {
    let mut harness = Harness::new();
    harness.apply(Command::WorkerSilent {
        name: "w2".into(),
        token,
        activations,
    });
    harness.state.workers["w2"].history.silent_index.is_some()
}

#[test]
fn apply_silent_counts_for_the_current_owner_and_use_only() {
    let token = Harness::new().owner.owner().token;
    assert!(silent_after(token, 1));
    assert!(
        !silent_after(token - 1, 1),
        "the command of an earlier owner was applied"
    );
    assert!(
        !silent_after(token, 0),
        "the command for an earlier use was applied"
    );
}
