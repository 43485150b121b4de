//! Starts without an answer of tasks that run until they are cancelled.

mod scaffold;

use std::time::Duration;

use cleat_jobs::{Effect, OrderAnswer, RenewalAnswer, StepSpec, TaskOrder};
use scaffold::{Bed, running, starts, step, stops, task};

/// Two tasks, of which one may be away.
fn lasting() -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: Some(1),
        max_per_worker: Some(1),
        ..step(2, 1_000)
    }
}

/// Two starts without an answer.
struct InDoubt {
    bed: Bed,
    /// What the owner did about it.
    effects: Vec<Effect>,
    /// The starts, with their workers.
    orders: Vec<(Box<str>, TaskOrder)>,
}

/// Both tasks are started, and neither start is answered.
fn bed_in_doubt() -> InDoubt {
    let mut bed = Bed::new();
    let orders = starts(&bed.submit(1, vec![lasting()]));
    assert_eq!(orders.len(), 2);
    let mut effects = Vec::new();
    for (worker, order) in &orders {
        effects.extend(bed.answer(worker, order, OrderAnswer::Unknown));
    }
    InDoubt {
        bed,
        effects,
        orders,
    }
}

fn listing(order: &TaskOrder) -> RenewalAnswer {
    RenewalAnswer {
        running: vec![running(order.task, order.run.0)],
        ..RenewalAnswer::default()
    }
}

/// A stop would end a task that has just begun its work, while the other may not
/// be there either.
#[test]
fn start_in_doubt_of_a_lasting_task_goes_on_if_it_runs() {
    let InDoubt {
        mut bed,
        mut effects,
        orders,
    } = bed_in_doubt();
    for (worker, order) in &orders {
        bed.now += Duration::from_millis(100);
        effects.extend(bed.answer_renewal(worker, listing(order)));
        effects.extend(bed.tick(Duration::from_millis(400)));
    }
    assert_eq!(stops(&effects), vec![]);
    assert_eq!(bed.owner.running_tasks(task(1, 0, 0).job()), 2);
}

/// It may still be carried out, later than anything that is sent now.
#[test]
fn start_in_doubt_of_a_lasting_task_is_stopped_if_it_does_not_run() {
    let InDoubt {
        mut bed,
        effects,
        orders,
    } = bed_in_doubt();
    assert_eq!(
        stops(&effects),
        vec![],
        "its worker has not listed its runs"
    );
    bed.now += Duration::from_millis(100);
    let (worker, order) = &orders[0];
    let listed = bed.answer_renewal(worker, RenewalAnswer::default());
    let stopped = stops(&listed);
    assert_eq!(stopped.len(), 1, "{stopped:?}");
    assert!(
        starts(&listed).is_empty(),
        "not before the stop is answered"
    );
    bed.answer(worker, &stopped[0].1, OrderAnswer::Old);
    bed.now += Duration::from_millis(100);
    let again = starts(&bed.answer_renewal(worker, RenewalAnswer::default()));
    assert_eq!(again.len(), 1);
    assert!(again[0].1.run > order.run);
}

/// A list that was asked for before the start was given up says nothing of it.
#[test]
fn start_in_doubt_of_a_lasting_task_waits_for_a_later_list() {
    let InDoubt {
        mut bed, orders, ..
    } = bed_in_doubt();
    let listed = bed.answer_renewal(&orders[0].0, RenewalAnswer::default());
    assert_eq!(stops(&listed), vec![]);
}

/// How long the renewals among effects may wait for an end.
fn waits(effects: &[Effect]) -> Vec<Duration> {
    let wait = |effect: &Effect| match effect {
        Effect::Renew { order, .. } => Some(order.wait),
        _ => None,
    };
    effects.iter().filter_map(wait).collect()
}

/// A task that ends by itself, whose start has no answer.
fn bed_with_a_task_in_doubt() -> (Bed, Box<str>, TaskOrder) {
    let mut bed = Bed::new();
    let (worker, order) = starts(&bed.submit(1, vec![step(1, 1_000)])).remove(0);
    let stopped = stops(&bed.answer(&worker, &order, OrderAnswer::Unknown));
    assert_eq!(stopped.len(), 1);
    (bed, worker, stopped[0].1.clone())
}

/// Once the stop is answered, the next list tells what became of the run.
#[test]
fn renewal_of_a_worker_whose_run_was_closed_waits_for_nothing() {
    let (mut bed, worker, stop) = bed_with_a_task_in_doubt();
    bed.answer(&worker, &stop, OrderAnswer::Old);
    let next = bed.answer_renewal(&worker, RenewalAnswer::default());
    assert_eq!(waits(&next), vec![Duration::ZERO]);
    bed.now += Duration::from_millis(3);
    let settled = bed.answer_renewal(&worker, RenewalAnswer::default());
    assert_eq!(starts(&settled).len(), 1, "it is started again");
    assert!(waits(&settled)[0] > Duration::ZERO, "nothing is in doubt");
}

/// While the stop has no answer, a list tells nothing, but the one that does has
/// to be asked for soon.
#[test]
fn renewal_of_a_worker_with_a_run_in_doubt_waits_briefly() {
    let (mut bed, worker, _) = bed_with_a_task_in_doubt();
    let next = bed.answer_renewal(&worker, RenewalAnswer::default());
    let wait = waits(&next)[0];
    let brief = Duration::from_millis(1)..=Duration::from_millis(200);
    assert!(brief.contains(&wait), "{wait:?}");
}
