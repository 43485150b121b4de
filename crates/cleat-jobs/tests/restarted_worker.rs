//! Workers that start again under their id, and know nothing of before.

mod support;

use std::time::Duration;

use cleat_jobs::{
    Command, Decision, Effect, EndKind, Event, OrderAnswer, RenewalAnswer, RenewalOrder, TaskOrder,
    WorkerRecord, WorkerState, life_name, started_ms, worker_id,
};
use support::{Harness, end, ended, proposals, record, running, starts, step, stops, task};

const FIRST: &str = "w1@1000";
const SECOND: &str = "w1@2000";
const OTHER: &str = "w2@1000";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn life(name: &str) -> WorkerRecord {
    WorkerRecord {
        machine: Some(format!("m-{}", worker_id(name)).into()),
        ..record(name, "a")
    }
}

/// An owner whose workers are the first life of `w1`, and `w2` if `with_other`.
fn harness(with_other: bool) -> Harness {
    let mut harness = Harness::with_workers(&[]);
    join(&mut harness, FIRST);
    if with_other {
        join(&mut harness, OTHER);
    }
    harness
}

fn join(harness: &mut Harness, name: &str) -> Vec<Effect> {
    harness.heartbeat(life(name));
    let effects = harness.answer_renewal(name, RenewalAnswer::default());
    harness.commit(&effects)
}

/// Lets the second life answer a renewal that is meant for the first one.
fn restart(harness: &mut Harness) -> Vec<Effect> {
    harness.now += ms(10);
    harness.feed(Event::WorkerRestarted {
        worker: FIRST.into(),
        life: SECOND.into(),
    })
}

/// The first answer of the second life.
fn answer_second(harness: &mut Harness, answer: RenewalAnswer) -> Vec<Effect> {
    harness.now += ms(10);
    harness.answer_renewal(SECOND, answer)
}

fn renewals(effects: &[Effect], name: &str) -> Vec<RenewalOrder> {
    let renewal = |effect: &Effect| match effect {
        Effect::Renew { worker, order, .. } if **worker == *name => Some(order.clone()),
        _ => None,
    };
    effects.iter().filter_map(renewal).collect()
}

/// Starts the single task of a job on the first life. Returns the order.
fn start_on_first(harness: &mut Harness) -> TaskOrder {
    let effects = harness.submit(1, vec![step(1, 1_000)]);
    let (worker, order) = starts(&effects).remove(0);
    assert_eq!(&*worker, FIRST);
    order
}

/// Starts a task on the first life, whose end number 1 is recorded.
fn end_first_run(harness: &mut Harness) -> Vec<Effect> {
    let order = start_on_first(harness);
    harness.answer(FIRST, &order, OrderAnswer::Done);
    let listed = ended(vec![end(1, order.task, 1, EndKind::Done)]);
    let effects = harness.answer_renewal(FIRST, listed);
    harness.commit(&effects)
}

fn is_known(harness: &Harness, name: &str) -> bool {
    let mut views = harness.owner.workers();
    views.any(|view| *view.record.name == *name)
}

fn ends_recorded(effects: &[Effect], worker: &str) -> Vec<u64> {
    let commands = proposals(effects).into_iter();
    let numbers = commands.filter_map(|command| match command {
        Command::RecordEnds {
            worker: name, ends, ..
        } if *name == *worker => Some(ends.into_iter().map(|end| end.number)),
        _ => None,
    });
    numbers.flatten().collect()
}

#[test]
fn life_name_round_trip() {
    for (id, started) in [
        ("w1", Some(7)),
        ("w1", None),
        ("a@b", Some(7)),
        ("a@b", None),
    ] {
        let name = life_name(id, started);
        assert_eq!((worker_id(&name), started_ms(&name)), (id, started));
    }
}

/// Guards against ends that are acknowledged by the numbers of an earlier life.
#[test]
fn restarted_worker_ends_are_recorded_from_number_1() {
    let mut harness = harness(false);
    end_first_run(&mut harness);

    let effects = restart(&mut harness);
    assert_eq!(renewals(&effects, SECOND)[0].acked, 0);
    let effects = answer_second(&mut harness, RenewalAnswer::default());
    assert!(!is_known(&harness, FIRST));
    harness.commit(&effects);
    let effects = harness.submit(2, vec![step(1, 1_000)]);
    let (worker, order) = starts(&effects).remove(0);
    assert_eq!(&*worker, SECOND);
    harness.answer(SECOND, &order, OrderAnswer::Done);
    let listed = ended(vec![end(1, order.task, 1, EndKind::Done)]);
    let effects = harness.answer_renewal(SECOND, listed);
    assert_eq!(ends_recorded(&effects, SECOND), [1]);
}

/// Guards against a renewal that acknowledges ends of a life which it does not know.
#[test]
fn renewal_after_a_failure_acknowledges_no_end() {
    let mut harness = harness(false);
    let effects = end_first_run(&mut harness);
    assert_eq!(renewals(&effects, FIRST)[0].acked, 1);
    harness.fail_renewal(FIRST);
    let effects = harness.tick(ms(100));
    assert_eq!(renewals(&effects, FIRST)[0].acked, 0);
    let effects = harness.answer_renewal(FIRST, RenewalAnswer::default());
    assert_eq!(renewals(&effects, FIRST)[0].acked, 1);
}

/// Guards against a new owner that acknowledges ends of a life which it does not know.
#[test]
fn first_renewal_of_an_owner_acknowledges_no_end() {
    let mut harness = harness(false);
    end_first_run(&mut harness);
    harness.replace_owner();
    let effects = harness.tick(ms(1));
    assert_eq!(renewals(&effects, FIRST)[0].acked, 0);
}

/// Guards against an answer that lay unread while its worker started again.
#[test]
fn renewal_after_a_stall_acknowledges_no_end() {
    let mut harness = harness(false);
    end_first_run(&mut harness);
    let sent_at = harness.now;
    harness.now += ms(3_000);
    let effects = harness.feed(Event::RenewalAnswered {
        worker: FIRST.into(),
        sent_at,
        acked: 1,
        answer: RenewalAnswer::default(),
    });
    assert_eq!(renewals(&effects, FIRST)[0].acked, 0);
    let effects = harness.answer_renewal(FIRST, RenewalAnswer::default());
    assert_eq!(renewals(&effects, FIRST)[0].acked, 1);
}

/// Guards against a new owner that knows neither life of a worker.
#[test]
fn record_of_an_earlier_life_is_removed_once_the_next_is_recorded() {
    let mut harness = harness(false);
    restart(&mut harness);
    let effects = answer_second(&mut harness, RenewalAnswer::default());
    let is_removal = |command: &Command| matches!(command, Command::RemoveWorkers { .. });
    assert!(!proposals(&effects).iter().any(is_removal));
    let effects = harness.commit(&effects);
    harness.commit(&effects);
    let recorded: Vec<&str> = harness.state.workers.keys().map(|name| &**name).collect();
    assert_eq!(recorded, [SECOND]);
}

/// Guards against a task that runs twice since its start reached the next life.
#[test]
fn start_that_the_next_life_lists_is_not_repeated() {
    for listed in [false, true] {
        let mut harness = harness(true);
        let order = start_on_first(&mut harness);
        harness.answer(FIRST, &order, OrderAnswer::Done);
        restart(&mut harness);
        let answer = match listed {
            true => RenewalAnswer {
                running: vec![running(order.task, 1)],
                ..RenewalAnswer::default()
            },
            false => ended(vec![end(1, order.task, 1, EndKind::Done)]),
        };
        let mut effects = answer_second(&mut harness, answer);
        effects.extend(harness.commit(&effects));
        effects.extend(harness.tick(ms(100)));
        assert!(starts(&effects).is_empty(), "listed as running: {listed}");
        assert!(stops(&effects).is_empty(), "listed as running: {listed}");
    }
}

#[test]
fn run_that_the_next_life_does_not_list_counts_as_crashed() {
    let mut harness = harness(true);
    let order = start_on_first(&mut harness);
    harness.answer(FIRST, &order, OrderAnswer::Done);
    restart(&mut harness);
    let effects = answer_second(&mut harness, RenewalAnswer::default());
    let commands = proposals(&effects);
    let crashed = commands.iter().find_map(|command| match command {
        Command::Crashed { runs } => Some(runs.clone()),
        _ => None,
    });
    assert_eq!(crashed.expect("a crash is counted")[0].task, order.task);
    let effects = harness.commit(&effects);
    assert_eq!(starts(&effects).len(), 1);
}

/// Guards against a crash that is counted against a run whose end was listed.
#[test]
fn run_with_an_end_that_waits_for_a_record_does_not_count_as_crashed() {
    let mut harness = harness(true);
    let order = start_on_first(&mut harness);
    harness.answer(FIRST, &order, OrderAnswer::Done);
    restart(&mut harness);
    let listed = ended(vec![end(1, order.task, 1, EndKind::Done)]);
    answer_second(&mut harness, listed);
    let effects = harness.feed(Event::RenewalFailed {
        worker: SECOND.into(),
        other_life: true,
    });
    let is_crash = |command: &Command| matches!(command, Command::Crashed { .. });
    assert!(!proposals(&effects).iter().any(is_crash));
    assert_eq!(starts(&effects).len(), 1, "the task may run again");
}

/// Guards against a start that the next life executes after the task was started elsewhere.
#[test]
fn start_without_an_answer_is_stopped_on_the_next_life() {
    let mut harness = harness(true);
    let order = start_on_first(&mut harness);
    restart(&mut harness);
    let effects = answer_second(&mut harness, RenewalAnswer::default());
    let (worker, stop) = stops(&effects).remove(0);
    assert_eq!(
        (&*worker, stop.task, stop.run),
        (SECOND, order.task, order.run)
    );
    assert!(starts(&effects).is_empty());

    harness.answer(SECOND, &stop, OrderAnswer::Done);
    harness.now += ms(10);
    let mut effects = harness.answer_renewal(SECOND, RenewalAnswer::default());
    effects.extend(harness.tick(ms(1)));
    assert_eq!(starts(&effects).len(), 1);
}

#[test]
fn heartbeat_of_an_earlier_life_is_ignored() {
    let mut harness = harness(false);
    harness.heartbeat(life(SECOND));
    answer_second(&mut harness, RenewalAnswer::default());
    assert!(!is_known(&harness, FIRST));
    harness.heartbeat(life(FIRST));
    assert!(!is_known(&harness, FIRST));
}

/// Guards against a delayed report that ends the runs of the next life.
#[test]
fn late_report_that_an_id_leaves_does_not_end_the_next_life() {
    let mut harness = harness(false);
    restart(&mut harness);
    answer_second(&mut harness, RenewalAnswer::default());
    let leave = || Event::Left {
        worker: worker_id(SECOND).into(),
    };
    harness.feed(leave());
    assert!(is_known(&harness, SECOND));
    harness.heartbeat_life_draining(life(SECOND), 2);
    harness.feed(leave());
    assert!(!is_known(&harness, SECOND));
}

/// A record without the time of the start, as earlier versions wrote it.
#[test]
fn heartbeat_with_a_start_is_one_of_a_life_recorded_without() {
    let mut harness = Harness::with_workers(&["w1"]);
    harness.heartbeat(life(FIRST));
    assert!(!is_known(&harness, FIRST));
    let mut views = harness.owner.workers();
    assert!(views.all(|view| view.state == WorkerState::Live));
}

/// Guards against a life that stays absent since the platform lists its id alone.
#[test]
fn life_whose_id_is_listed_is_not_absent() {
    let mut harness = harness(false);
    harness.fail_renewal(FIRST);
    harness.tick(ms(900));
    for _ in 0..3 {
        harness.now += ms(100);
        let view = support::machine("m-w1", "a", Some("w1"));
        support::list_machines(&mut harness, vec![view]);
    }
    assert!(is_known(&harness, FIRST));
}

#[test]
fn end_under_an_acknowledged_number_is_logged() {
    let mut harness = harness(false);
    let listed = ended(vec![end(1, task(1, 0, 0), 1, EndKind::Done)]);
    let effects = harness.confirm_renewal(FIRST, 1, listed);
    let logged = |effect: &Effect| {
        matches!(
            effect,
            Effect::Log(Decision::EndRenumbered {
                number: 1,
                acked: 1,
                ..
            })
        )
    };
    assert!(effects.iter().any(logged));
}
