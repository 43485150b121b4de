//! What a customer may have running, and where that is in doubt.

mod scaffold;

use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{
    Catalogue, CatalogueDraft, Command, Effect, EndKind, JobId, OrderAnswer, RenewalAnswer,
    StepSpec,
};
use scaffold::{Bed, customer, draft, end, ended, running, starts, step, stops, task};

/// A bed of 16 cores in pool `a`, whose customer `c` may have so much running.
fn capped(cpu_milli: u64) -> Bed {
    let mut bed = Bed::new();
    configure(&mut bed, 2, cpu_milli);
    bed
}

fn configure(bed: &mut Bed, version: u64, cpu_milli: u64) -> Vec<Effect> {
    let draft = CatalogueDraft {
        customers: Some(vec![
            customer("c", &["k"], cpu_milli),
            customer("d", &[], 0),
        ]),
        ..draft(version)
    };
    let catalogue = Catalogue::new(draft).expect("valid");
    bed.apply(Command::Configure(Arc::new(catalogue)))
}

fn submit(bed: &mut Bed, id: u64, steps: Vec<StepSpec>) -> Vec<Effect> {
    bed.submit_for(Some("c"), 0, id, steps)
}

fn gang(count: u32, cpu_milli: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu_milli)
    }
}

/// The worker says that it runs nothing any more and has ended these.
fn finish(bed: &mut Bed, worker: &str, ends: Vec<cleat_jobs::TaskEnd>) -> Vec<Effect> {
    let listed = bed.answer_renewal(worker, ended(ends));
    let noted = bed.commit(&listed);
    [listed, noted].concat()
}

#[test]
fn cap_holds_back_what_has_room() {
    let mut bed = capped(3_000);
    assert_eq!(starts(&submit(&mut bed, 1, vec![step(5, 1_000)])).len(), 3);
    let other = bed.submit_for(Some("d"), 0, 2, vec![step(5, 1_000)]);
    assert_eq!(starts(&other).len(), 5, "another customer has no cap");
}

#[test]
fn cap_counts_all_pools() {
    let mut bed = capped(3_000);
    bed.add_worker("v1", "b");
    submit(&mut bed, 1, vec![step(2, 1_000)]);
    let there = bed.submit_for(Some("c"), 1, 2, vec![step(2, 1_000)]);
    assert_eq!(starts(&there).len(), 1);
}

#[test]
fn cap_lets_on_in_another_pool_once_a_run_ends() {
    let mut bed = capped(1_000);
    bed.add_worker("v1", "b");
    let first = starts(&submit(&mut bed, 1, vec![step(1, 1_000)]));
    let worker = first[0].0.clone();
    let waits = bed.submit_for(Some("c"), 1, 2, vec![step(1, 1_000)]);
    assert!(starts(&waits).is_empty());
    let done = vec![end(1, task(1, 0, 0), 1, EndKind::Done)];
    let after = finish(&mut bed, &worker, done);
    assert_eq!(starts(&after).len(), 1);
}

#[test]
fn cap_that_is_cut_stops_nothing_and_starts_nothing() {
    let mut bed = capped(6_000);
    submit(&mut bed, 1, vec![step(4, 1_000)]);
    let cut = configure(&mut bed, 3, 2_000);
    assert!(stops(&cut).is_empty());
    let more = submit(&mut bed, 2, vec![step(1, 1_000)]);
    assert!(starts(&more).is_empty());
    let raised = configure(&mut bed, 4, 5_000);
    assert_eq!(starts(&raised).len(), 1);
}

#[test]
fn cap_smaller_than_a_task_lets_one_on_at_a_time() {
    let mut bed = capped(1_500);
    let begun = starts(&submit(&mut bed, 1, vec![step(3, 2_000)]));
    assert_eq!(begun.len(), 1, "it would never run otherwise");
}

#[test]
fn cap_takes_a_gang_whole_or_not_at_all() {
    let mut bed = capped(3_000);
    let large = submit(&mut bed, 1, vec![gang(4, 1_000)]);
    assert!(starts(&large).is_empty());
    let small = submit(&mut bed, 2, vec![gang(3, 1_000)]);
    assert_eq!(starts(&small).len(), 3);
}

#[test]
fn start_without_an_answer_counts_until_its_door_is_closed() {
    let mut bed = capped(1_000);
    let begun = starts(&submit(&mut bed, 1, vec![step(2, 1_000)]));
    let (worker, order) = &begun[0];
    let doubted = bed.answer(worker, order, OrderAnswer::Unknown);
    assert!(starts(&doubted).is_empty());
    let (_, stop) = &stops(&doubted)[0];
    let closed = bed.answer(worker, stop, OrderAnswer::Done);
    assert!(starts(&closed).is_empty(), "it may have ended before");
    bed.now += Duration::from_millis(50);
    let listed = bed.answer_renewal(worker, RenewalAnswer::default());
    assert_eq!(starts(&listed).len(), 1);
}

#[test]
fn refused_start_counts_no_more() {
    let mut bed = capped(1_000);
    let begun = starts(&submit(&mut bed, 1, vec![step(1, 1_000)]));
    let (worker, order) = &begun[0];
    let refused = bed.answer(worker, order, OrderAnswer::NoRoom);
    assert_eq!(starts(&refused).len(), 1, "on the other worker");
}

#[test]
fn new_owner_counts_what_it_has_not_heard_of() {
    let mut bed = capped(2_000);
    bed.add_worker("v1", "b");
    submit(&mut bed, 1, vec![step(2, 1_000)]);
    bed.replace_owner();
    bed.answer_renewal("v1", RenewalAnswer::default());
    let other = bed.submit_for(Some("c"), 1, 2, vec![step(1, 1_000)]);
    assert!(starts(&other).is_empty(), "two may run on w1 and w2");
    let runs = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 1)],
        ..RenewalAnswer::default()
    };
    bed.answer_renewal("w1", runs);
    let heard = bed.answer_renewal("w2", RenewalAnswer::default());
    assert_eq!(starts(&heard).len(), 1, "one of the two did not run");
}

#[test]
fn new_owner_counts_cancelled_jobs_until_nothing_of_them_runs() {
    let mut bed = capped(1_000);
    submit(&mut bed, 1, vec![step(1, 1_000)]);
    bed.apply(Command::Cancel { id: JobId(1) });
    bed.replace_owner();
    submit(&mut bed, 2, vec![step(1, 1_000)]);
    let runs = RenewalAnswer {
        running: vec![running(task(1, 0, 0), 1)],
        ..RenewalAnswer::default()
    };
    let stray = bed.answer_renewal("w1", runs);
    assert!(starts(&stray).is_empty());
    let whole = bed.answer_renewal("w2", RenewalAnswer::default());
    assert!(starts(&whole).is_empty(), "the cancelled task runs on w1");
    let gone = bed.answer_renewal("w1", RenewalAnswer::default());
    assert_eq!(starts(&gone).len(), 1);
    let settled = bed.tick(Duration::from_millis(50));
    bed.commit(&settled);
    assert!(bed.state.stopping.is_empty());
}

#[test]
fn cancelled_job_counts_until_its_worker_lists_the_end() {
    let mut bed = capped(1_000);
    let begun = starts(&submit(&mut bed, 1, vec![step(1, 1_000)]));
    let (worker, order) = &begun[0];
    bed.answer(worker, order, OrderAnswer::Done);
    bed.apply(Command::Cancel { id: JobId(1) });
    assert!(starts(&submit(&mut bed, 2, vec![step(1, 1_000)])).is_empty());
    let stopped = vec![end(1, task(1, 0, 0), 1, EndKind::Stopped)];
    assert_eq!(starts(&finish(&mut bed, worker, stopped)).len(), 1);
}

#[test]
fn silent_workers_run_counts_until_its_lease_is_over() {
    let mut bed = capped(1_000);
    let begun = starts(&submit(&mut bed, 1, vec![step(2, 1_000)]));
    let silent = &*begun[0].0;
    let other = if silent == "w1" { "w2" } else { "w1" };
    bed.answer(silent, &begun[0].1, OrderAnswer::Done);
    for _ in 0..10 {
        bed.fail_renewal(silent);
        bed.answer_renewal(other, RenewalAnswer::default());
        let waits = bed.tick(Duration::from_millis(100));
        assert!(starts(&waits).is_empty());
    }
    assert_eq!(starts(&bed.let_lapse(silent, &[other])).len(), 1);
}

#[test]
fn accounts_are_the_sum_of_what_runs() {
    let mut bed = capped(3_000);
    let begun = starts(&submit(&mut bed, 1, vec![step(5, 1_000)]));
    bed.answer(&begun[0].0, &begun[0].1, OrderAnswer::Unknown);
    bed.apply(Command::Cancel { id: JobId(1) });
    for (name, kept, counted) in bed.owner.recount_usage() {
        assert_eq!(kept, counted, "{name}");
        assert_eq!(kept.cpu_milli, 3_000);
    }
}
