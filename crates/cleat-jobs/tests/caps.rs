//! Customer caps, and how runs in an unknown state count against them.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{
    Catalogue, CatalogueDraft, Command, Effect, EndKind, JobId, OrderAnswer, RenewalAnswer,
    StepSpec,
};
use support::{Harness, copying, customer, draft, end, ended, running, starts, step, stops, task};

/// A harness with 16 cores in pool `a` and a customer `c` with this cap.
fn capped(cpu_milli: u64) -> Harness {
    let mut harness = Harness::new();
    configure(&mut harness, 2, cpu_milli);
    harness
}

fn configure(harness: &mut Harness, version: u64, cpu_milli: u64) -> Vec<Effect> {
    let draft = CatalogueDraft {
        customers: Some(vec![
            customer("c", &["k"], cpu_milli),
            customer("d", &[], 0),
        ]),
        ..draft(version)
    };
    let catalogue = Catalogue::new(draft).expect("valid");
    harness.apply(Command::Configure(Arc::new(catalogue)))
}

fn submit(harness: &mut Harness, id: u64, steps: Vec<StepSpec>) -> Vec<Effect> {
    harness.submit_for(Some("c"), 0, id, steps)
}

fn gang(count: u32, cpu_milli: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu_milli)
    }
}

/// The worker lists no runs and these ends, which are then committed.
fn finish(harness: &mut Harness, worker: &str, ends: Vec<cleat_jobs::TaskEnd>) -> Vec<Effect> {
    let listed = harness.answer_renewal(worker, ended(ends));
    let committed = harness.commit(&listed);
    [listed, committed].concat()
}

#[test]
fn cap_holds_back_tasks_despite_free_capacity() {
    let mut harness = capped(3_000);
    assert_eq!(
        starts(&submit(&mut harness, 1, vec![step(5, 1_000)])).len(),
        3
    );
    let other = harness.submit_for(Some("d"), 0, 2, vec![step(5, 1_000)]);
    assert_eq!(
        starts(&other).len(),
        5,
        "the cap was applied to another customer"
    );
}

#[test]
fn cap_counts_all_pools() {
    let mut harness = capped(3_000);
    harness.add_worker("v1", "b");
    submit(&mut harness, 1, vec![step(2, 1_000)]);
    let effects = harness.submit_for(Some("c"), 1, 2, vec![step(2, 1_000)]);
    assert_eq!(starts(&effects).len(), 1);
}

#[test]
fn cap_admits_a_start_in_another_pool_once_a_run_ends() {
    let mut harness = capped(1_000);
    harness.add_worker("v1", "b");
    let first = starts(&submit(&mut harness, 1, vec![step(1, 1_000)]));
    let worker = first[0].0.clone();
    let waiting = harness.submit_for(Some("c"), 1, 2, vec![step(1, 1_000)]);
    assert!(starts(&waiting).is_empty());
    let done = vec![end(1, task(1, 0, 0), 1, EndKind::Done)];
    let after = finish(&mut harness, &worker, done);
    assert_eq!(starts(&after).len(), 1);
}

#[test]
fn lowered_cap_stops_no_run_and_admits_no_start() {
    let mut harness = capped(6_000);
    submit(&mut harness, 1, vec![step(4, 1_000)]);
    let lowered = configure(&mut harness, 3, 2_000);
    assert!(stops(&lowered).is_empty());
    let more = submit(&mut harness, 2, vec![step(1, 1_000)]);
    assert!(starts(&more).is_empty());
    let raised = configure(&mut harness, 4, 5_000);
    assert_eq!(starts(&raised).len(), 1);
}

#[test]
fn cap_smaller_than_a_task_admits_one_at_a_time() {
    let mut harness = capped(1_500);
    let started = starts(&submit(&mut harness, 1, vec![step(3, 2_000)]));
    assert_eq!(
        started.len(),
        1,
        "a task larger than the cap was not started alone"
    );
}

#[test]
fn cap_admits_a_gang_whole_or_not_at_all() {
    let mut harness = capped(3_000);
    let large = submit(&mut harness, 1, vec![gang(4, 1_000)]);
    assert!(starts(&large).is_empty());
    let small = submit(&mut harness, 2, vec![gang(3, 1_000)]);
    assert_eq!(starts(&small).len(), 3);
}

#[test]
fn unanswered_start_counts_until_stopped_and_not_listed() {
    let mut harness = capped(1_000);
    let started = starts(&submit(&mut harness, 1, vec![step(2, 1_000)]));
    let (worker, order) = &started[0];
    let unanswered = harness.answer(worker, order, OrderAnswer::Unknown);
    assert!(starts(&unanswered).is_empty());
    let (_, stop) = &stops(&unanswered)[0];
    let stop_answered = harness.answer(worker, stop, OrderAnswer::Done);
    assert!(
        starts(&stop_answered).is_empty(),
        "a task started before the worker listed its runs"
    );
    harness.now += Duration::from_millis(50);
    let listed = harness.answer_renewal(worker, RenewalAnswer::default());
    assert_eq!(starts(&listed).len(), 1);
}

#[test]
fn refused_start_no_longer_counts() {
    let mut harness = capped(1_000);
    let started = starts(&submit(&mut harness, 1, vec![step(1, 1_000)]));
    let (worker, order) = &started[0];
    let refused = harness.answer(worker, order, OrderAnswer::NoRoom);
    assert_eq!(starts(&refused).len(), 1, "the refused start still counts");
}

#[test]
fn new_owner_counts_runs_not_yet_reported() {
    let mut harness = capped(2_000);
    harness.add_worker("v1", "b");
    submit(&mut harness, 1, vec![step(2, 1_000)]);
    harness.replace_owner();
    harness.answer_renewal("v1", RenewalAnswer::default());
    let other = harness.submit_for(Some("c"), 1, 2, vec![step(1, 1_000)]);
    assert!(
        starts(&other).is_empty(),
        "two runs that may exist on w1 and w2 were not counted"
    );
    let runs = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 1)],
        ..RenewalAnswer::default()
    };
    harness.answer_renewal("w1", runs);
    let effects = harness.answer_renewal("w2", RenewalAnswer::default());
    assert_eq!(
        starts(&effects).len(),
        1,
        "a run that no worker lists is still counted"
    );
}

#[test]
fn new_owner_counts_cancelled_jobs_until_none_of_their_tasks_runs() {
    let mut harness = capped(1_000);
    submit(&mut harness, 1, vec![step(1, 1_000)]);
    harness.apply(Command::Cancel { id: JobId(1) });
    harness.replace_owner();
    submit(&mut harness, 2, vec![step(1, 1_000)]);
    let runs = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 1)],
        ..RenewalAnswer::default()
    };
    let effects = harness.answer_renewal("w1", runs);
    assert!(starts(&effects).is_empty());
    let effects = harness.answer_renewal("w2", RenewalAnswer::default());
    assert!(
        starts(&effects).is_empty(),
        "the cancelled task on w1 was not counted"
    );
    let effects = harness.answer_renewal("w1", RenewalAnswer::default());
    assert_eq!(starts(&effects).len(), 1);
    let settled = harness.tick(Duration::from_millis(50));
    harness.commit(&settled);
    assert!(harness.state.stopping.is_empty());
}

#[test]
fn cancelled_job_counts_until_its_worker_lists_the_end() {
    let mut harness = capped(1_000);
    let started = starts(&submit(&mut harness, 1, vec![step(1, 1_000)]));
    let (worker, order) = &started[0];
    harness.answer(worker, order, OrderAnswer::Done);
    harness.apply(Command::Cancel { id: JobId(1) });
    assert!(starts(&submit(&mut harness, 2, vec![step(1, 1_000)])).is_empty());
    let stopped = vec![end(1, task(1, 0, 0), 1, EndKind::Stopped)];
    assert_eq!(starts(&finish(&mut harness, worker, stopped)).len(), 1);
}

/// A harness whose copies may use the whole capacity, and a customer `c` with this cap.
fn capped_with_copies(cpu_milli: u64) -> Harness {
    let catalogue = support::catalogue(1);
    let mut harness = Harness::with_config(copying(100), catalogue, &["w1", "w2"]);
    configure(&mut harness, 2, cpu_milli);
    harness
}

/// A task on `w1` that is expected to take 500 ms is copied to `w2` after `late_ms`, which
/// completes it. The run on `w1` has not stopped when the owner changes.
fn complete_by_copy_and_replace_owner(harness: &mut Harness, steps: Vec<StepSpec>, late_ms: u64) {
    let started = starts(&submit(harness, 1, steps));
    let (first, order) = &started[0];
    harness.answer(first, order, OrderAnswer::Done);
    let copies = starts(&harness.tick(Duration::from_millis(late_ms)));
    let (second, copy) = &copies[0];
    assert_eq!([&**first, &**second], ["w1", "w2"]);
    harness.answer(second, copy, OrderAnswer::Done);
    let done = end(1, copy.task, copy.run.0, EndKind::Done);
    let listed = harness.answer_renewal("w2", ended(vec![done]));
    harness.commit(&listed);
    harness.replace_owner();
    harness.answer_renewal("w2", RenewalAnswer::default());
}

fn copied(cpu_milli: u64) -> StepSpec {
    StepSpec {
        speculative: true,
        ..step(1, cpu_milli)
    }
}

/// Guards against starts beyond a customer's cap. The run of a task that its copy had
/// completed went on, and the next owner did not count it, since the job was over.
#[test]
fn new_owner_counts_the_run_that_a_copy_left_behind() {
    let mut harness = capped_with_copies(2_000);
    complete_by_copy_and_replace_owner(&mut harness, vec![copied(1_000)], 760);
    let other = submit(&mut harness, 2, vec![step(2, 1_000)]);
    let started = starts(&other).len();
    assert_eq!(started, 1, "the run on w1 does not count");
    let effects = harness.answer_renewal("w1", RenewalAnswer::default());
    assert_eq!(starts(&effects).len(), 1, "no run is left, but it counts");
    let settled = harness.tick(Duration::from_millis(50));
    harness.commit(&settled);
    assert!(harness.state.stopping.is_empty());
}

/// As above, but the job goes on with its next step, which counts as well.
#[test]
fn new_owner_counts_the_run_that_a_copy_left_behind_in_an_active_job() {
    let mut harness = capped_with_copies(2_500);
    let next = StepSpec {
        after: vec![0],
        ..step(1, 500)
    };
    complete_by_copy_and_replace_owner(&mut harness, vec![copied(1_000), next], 1_300);
    let other = submit(&mut harness, 2, vec![step(2, 1_000)]);
    assert_eq!(starts(&other).len(), 1, "the run on w1 does not count");
}

/// Guards against starts beyond a customer's cap. Each task of a cancelled job may have two
/// runs if it may be copied, and the next owner counted one.
#[test]
fn new_owner_counts_both_runs_of_a_cancelled_copied_task() {
    let mut harness = capped_with_copies(2_000);
    let started = starts(&submit(&mut harness, 1, vec![copied(1_000)]));
    let (first, order) = &started[0];
    harness.answer(first, order, OrderAnswer::Done);
    assert_eq!(starts(&harness.tick(Duration::from_millis(760))).len(), 1);
    harness.apply(Command::Cancel { id: JobId(1) });
    harness.replace_owner();
    let other = submit(&mut harness, 2, vec![step(1, 1_000)]);
    assert!(starts(&other).is_empty());
    let effects = harness.answer_renewal("w2", RenewalAnswer::default());
    assert!(starts(&effects).is_empty(), "one run counts of two");
}

#[test]
fn silent_workers_run_counts_until_its_lease_expires() {
    let mut harness = capped(1_000);
    let started = starts(&submit(&mut harness, 1, vec![step(2, 1_000)]));
    let silent = &*started[0].0;
    let other = if silent == "w1" { "w2" } else { "w1" };
    harness.answer(silent, &started[0].1, OrderAnswer::Done);
    for _ in 0..10 {
        harness.fail_renewal(silent);
        harness.answer_renewal(other, RenewalAnswer::default());
        let waiting = harness.tick(Duration::from_millis(100));
        assert!(starts(&waiting).is_empty());
    }
    assert_eq!(starts(&harness.let_lease_expire(silent, &[other])).len(), 1);
}

#[test]
fn accounts_match_the_sum_of_running_tasks() {
    let mut harness = capped(3_000);
    let started = starts(&submit(&mut harness, 1, vec![step(5, 1_000)]));
    harness.answer(&started[0].0, &started[0].1, OrderAnswer::Unknown);
    harness.apply(Command::Cancel { id: JobId(1) });
    for (name, kept, counted) in harness.owner.recount_usage() {
        assert_eq!(kept, counted, "{name}");
        assert_eq!(kept.cpu_milli, 3_000);
    }
}
