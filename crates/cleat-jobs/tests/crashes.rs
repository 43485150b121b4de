//! Tasks that crash each worker on which they start.
//!
//! Callers saw a job that never ended, and jobs beside it that lost their work
//! again and again: each time its task started, the worker crashed and took along
//! whatever ran there. Only ends that a worker lists as failed counted against a
//! task; a worker that crashed lists nothing, so the task was free to start again for
//! ever, under one owner as under the next. Evidence: before each of eight starts by
//! one owner the log has the run before as lost with its worker, and no end of it.

mod scaffold;

use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{
    Command, CrashEvidence, CrashedRun, Event, Heartbeat, JobState, MachineAnswer, MachineOrder,
    Order, OrderAnswer, RenewalAnswer, Run, StepSpec,
};
use scaffold::play::{CRASHES_ALLOWED, CULPRIT, MOST, Play};
use scaffold::{list_machines, machine, moved, proposals, record, running, starts, step, task};

/// Eight starts by one owner and 23 by the next, in the day that showed it.
#[test]
fn crashing_task_is_given_up() {
    let mut play = Play::new(4);
    play.submit(1, vec![step(3, 1_000)]);
    play.crash_again_and_again();
    assert!(
        play.starts_of(CULPRIT) < MOST,
        "it is started three times more after three crashes"
    );
    assert_eq!(play.state_of(1), Some(JobState::Failed));
}

/// The worker crashes before it can answer the start.
#[test]
fn crashing_task_whose_starts_are_in_doubt_is_given_up() {
    let mut play = Play::new(4);
    play.answer = OrderAnswer::Unknown;
    play.submit(1, vec![step(1, 1_000)]);
    play.crash_again_and_again();
    assert!(play.starts_of(CULPRIT) < MOST);
    assert_eq!(play.state_of(1), Some(JobState::Failed));
}

#[test]
fn crashing_task_is_given_up_by_the_third_owner() {
    let mut play = Play::new(4);
    play.submit(1, vec![step(1, 1_000)]);
    for _ in 0..MOST {
        let Some((worker, _)) = play.runs.get(&CULPRIT).cloned() else {
            break;
        };
        play.crash(&worker);
        play.bed.replace_owner();
        let workers: Vec<Box<str>> = play.bed.state.workers.keys().cloned().collect();
        for worker in workers {
            let listed = play.runs.iter().filter(|(_, (at, _))| *at == worker);
            let running = listed.map(|(task, (_, run))| running(*task, run.0));
            let answer = RenewalAnswer {
                running: running.collect(),
                ..RenewalAnswer::default()
            };
            let effects = play.bed.answer_renewal(&worker, answer);
            play.take(effects);
        }
    }
    assert!(play.starts_of(CULPRIT) < MOST);
    assert_eq!(play.state_of(1), Some(JobState::Failed));
}

/// Jobs come all the while to a pool that the culprit goes round in. Theirs are done,
/// and no more workers crash than it takes to tell the culprit from what is beside it.
#[test]
fn crashing_task_takes_no_other_job_along() {
    let mut play = Play::new(4);
    let mut jobs = 1..;
    let mut crashes = 0;
    for _ in 0..MOST {
        let id = jobs.next().expect("endless");
        play.submit(id, vec![step(3, 1_000)]);
        let id = jobs.next().expect("endless");
        play.submit(id, vec![step(5, 1_000)]);
        if let Some((worker, _)) = play.runs.get(&CULPRIT).cloned() {
            play.crash(&worker);
            crashes += 1;
        }
        play.finish_others();
    }
    assert_eq!(play.state_of(1), Some(JobState::Failed));
    let submitted = jobs.next().expect("endless");
    for job in 2..submitted {
        assert_eq!(play.state_of(job), Some(JobState::Completed), "job {job}");
    }
    assert!(crashes <= CRASHES_ALLOWED, "{crashes} workers crashed");
}

/// Nothing tells at first which task of a worker crashed it. Packed together again,
/// all of them would be lost again.
#[test]
fn crash_parts_the_tasks_of_a_worker() {
    let mut play = Play::new(4);
    play.submit(1, vec![step(3, 1_000)]);
    let worker = play.at(CULPRIT);
    assert_eq!(play.at(task(1, 0, 1)), worker);
    play.crash(&worker);
    let mut now: Vec<Box<str>> = (0..3).map(|index| play.at(task(1, 0, index))).collect();
    now.sort();
    now.dedup();
    assert_eq!(now.len(), 3, "each on a worker of its own");
}

/// Of two tasks that were lost together neither is blamed. They start alone from then on,
/// one after the other where there is one worker, so the next crash tells.
#[test]
fn crash_of_equals_blames_none_and_parts_them() {
    let mut play = Play::new(1);
    let equal = task(2, 0, 0);
    play.submit(1, vec![step(1, 1_000)]);
    play.submit(2, vec![step(1, 1_000)]);
    let worker = play.at(CULPRIT);
    play.crash(&worker);
    assert_eq!(play.state_of(1), Some(JobState::Active));
    assert_eq!(play.starts_of(CULPRIT), 2);
    assert_eq!(play.starts_of(equal), 1, "it waits for its turn");
    let worker = play.at(CULPRIT);
    play.crash(&worker);
    assert_eq!(play.state_of(1), Some(JobState::Failed));
    assert_eq!(play.starts_of(equal), 2);
    play.finish_others();
    assert_eq!(play.state_of(2), Some(JobState::Completed));
}

/// A machine may crash under any run, the likelier the longer it takes: one that had
/// been at work for a while is given up after three crashes only.
#[test]
fn crash_long_after_the_start_tells_less() {
    let mut play = Play::new(2);
    play.submit(1, vec![step(1, 1_000)]);
    for _ in 1..CRASHES_ALLOWED {
        let worker = play.at(CULPRIT);
        play.bed.now += Duration::from_secs(1);
        play.crash(&worker);
        assert_eq!(play.state_of(1), Some(JobState::Active));
    }
    let worker = play.at(CULPRIT);
    play.bed.now += Duration::from_secs(1);
    play.crash(&worker);
    assert_eq!(play.state_of(1), Some(JobState::Failed));
}

/// A start that reached another life never began in the one that crashed.
#[test]
fn crash_is_not_counted_for_a_start_that_reached_the_next_life() {
    let mut play = Play::new(1);
    let effects = play.bed.submit(1, vec![step(1, 1_000)]);
    let (worker, order) = starts(&effects).remove(0);
    assert!(matches!(order.order, Order::Start { .. }));
    let effects = play.bed.answer(&worker, &order, OrderAnswer::OtherLife);
    play.take(effects);
    assert_eq!(play.crashes(CULPRIT), 0);
}

/// A worker that leaves, was about to, or whose machine an order took away did not
/// crash.
#[test]
fn crash_is_not_concluded_from_a_planned_end() {
    let mut play = Play::new(3);
    play.submit(1, vec![step(1, 1_000)]);
    let worker = play.at(CULPRIT);
    let effects = play.bed.feed(Event::Left { worker });
    play.take(effects);

    let worker = play.at(CULPRIT);
    play.bed.beat_draining(&worker, 2);
    let effects = play.replaced(&worker);
    play.take(effects);

    let worker = play.at(CULPRIT);
    let moved = machine(&format!("m-{worker}"), "b", None);
    list_machines(&mut play.bed, vec![moved]);
    let effects = play.replaced(&worker);
    play.take(effects);
    assert_eq!(play.crashes(CULPRIT), 0);
}

/// Lets the lease of the culprit's worker run out; gives the worker.
fn let_lapse(play: &mut Play) -> Box<str> {
    let worker = play.at(CULPRIT);
    let workers: Vec<Box<str>> = play.bed.state.workers.keys().cloned().collect();
    let others = workers.iter().filter(|other| **other != worker);
    let others: Vec<&str> = others.map(|other| &**other).collect();
    let effects = play.bed.let_lapse(&worker, &others);
    play.runs.retain(|_, (at, _)| *at != worker);
    play.take(effects);
    worker
}

/// The worker falls silent, its lease runs out, and only then another life answers.
#[test]
fn crash_known_after_the_lease_is_counted() {
    let mut play = Play::new(4);
    play.submit(1, vec![step(1, 1_000)]);
    for round in 1..MOST {
        if play.state_of(1) != Some(JobState::Active) {
            break;
        }
        let worker = let_lapse(&mut play);
        if play.state_of(1) == Some(JobState::Active) {
            assert_eq!(play.crashes(CULPRIT), round);
        }
        play.crash(&worker);
    }
    assert!(play.starts_of(CULPRIT) < MOST);
    assert_eq!(play.state_of(1), Some(JobState::Failed));
}

/// Workers that were cut off are no crashes, however often.
#[test]
fn crash_is_not_concluded_from_leases_that_ran_out() {
    let mut play = Play::new(4);
    play.submit(1, vec![step(1, 1_000)]);
    for _ in 0..2 * MOST {
        let worker = let_lapse(&mut play);
        let effects = play.bed.answer_renewal(&worker, RenewalAnswer::default());
        play.take(effects);
    }
    assert_eq!(play.state_of(1), Some(JobState::Active));
}

/// Machines crash, and tasks that last see many of them.
#[test]
fn crash_speaks_for_no_task_that_was_at_work_for_long() {
    let lasting = StepSpec {
        long_running: true,
        ..step(1, 1_000)
    };
    let mut play = Play::new(2);
    play.submit(1, vec![lasting]);
    for _ in 0..MOST {
        let (worker, run) = play.runs[&CULPRIT].clone();
        play.bed.now += Duration::from_secs(11);
        let answer = RenewalAnswer {
            running: vec![running(CULPRIT, run.0)],
            ..RenewalAnswer::default()
        };
        let effects = play.bed.answer_renewal(&worker, answer);
        play.take(effects);
        play.crash(&worker);
    }
    assert_eq!(play.state_of(1), Some(JobState::Active));
    assert_eq!(play.crashes(CULPRIT), 0);
}

/// Its tasks wait for the commit: else the next owner would not know of the crash.
#[test]
fn crash_is_committed_before_its_tasks_start_again() {
    let mut play = Play::new(2);
    play.submit(1, vec![step(1, 1_000)]);
    let worker = play.at(CULPRIT);
    let effects = play.replaced(&worker);
    assert!(starts(&effects).is_empty());
    assert_eq!(starts(&play.bed.commit(&effects)).len(), 1);
}

#[test]
fn crash_whose_commit_failed_is_proposed_again_and_counts_once() {
    let mut play = Play::new(2);
    play.submit(1, vec![step(1, 1_000)]);
    let worker = play.at(CULPRIT);
    let effects = play.replaced(&worker);
    let crashed = proposals(&effects).into_iter();
    let crashed = crashed.filter(|command| matches!(command, Command::Crashed { .. }));
    let command = crashed.last().expect("it is proposed");
    let again = play.bed.feed(Event::ProposalFailed {
        command: Arc::new(command.clone()),
    });
    assert_eq!(proposals(&again), vec![command.clone()]);
    play.bed.apply(command.clone());
    play.bed.apply(command.clone());
    assert_eq!(play.crashes(CULPRIT), 1);
}

#[test]
fn apply_crash_of_a_task_that_is_not_there_changes_nothing() {
    let mut play = Play::new(1);
    play.submit(1, vec![step(1, 1_000)]);
    let before = play.bed.state.snapshot();
    for task in [task(1, 0, 1), task(1, 1, 0), task(2, 0, 0)] {
        let run = CrashedRun {
            task,
            run: Run(1),
            evidence: CrashEvidence::JustStartedAlone,
        };
        play.bed.apply(Command::Crashed { runs: vec![run; 5] });
    }
    assert_eq!(play.bed.state.snapshot(), before);
}

/// The machine starts again with another address.
#[test]
fn crash_found_by_the_next_life_of_the_machine_is_counted() {
    let mut play = Play::new(1);
    play.submit(1, vec![step(1, 1_000)]);
    let next = cleat_jobs::WorkerRecord {
        machine: record("w1", "a").machine,
        ..record("w9", "a")
    };
    let beat = Heartbeat {
        record: next,
        draining: false,
        sequence: 1,
    };
    let effects = play.bed.feed(Event::Heartbeat(beat));
    play.take(effects);
    let effects = play.bed.answer_renewal("w9", RenewalAnswer::default());
    play.take(effects);
    assert_eq!(play.crashes(CULPRIT), 1);
    assert_eq!(&*play.at(CULPRIT), "w9");
}

/// Two tasks were each started six times although they had crashed three workers. One
/// of those workers had joined its pool 10 ms before: the order that had moved its
/// machine there was still open, and the crash was put down to it. Evidence: both runs
/// are logged as lost with a worker that is gone, not as crashed, 3 s after the move of
/// its machine was accepted and 1.5 s after the worker had answered.
#[test]
fn crash_on_a_machine_that_has_just_moved_is_counted() {
    let mut play = Play::new(1);
    let own = machine("m-w1", "a", Some("w1"));
    list_machines(&mut play.bed, vec![own, machine("m-w9", "spare", None)]);
    play.submit(1, vec![step(1, 8_000)]);
    play.submit(2, vec![step(1, 8_000)]);
    let effects = play.bed.tick(Duration::from_millis(50));
    let move_there = MachineOrder::Move { pool: "a".into() };
    assert_eq!(moved(&effects), vec![("m-w9".into(), "a".into())]);
    play.bed.feed(Event::MachineOrdered {
        machine: "m-w9".into(),
        order: move_there,
        answer: MachineAnswer::Done,
    });
    play.bed.now += Duration::from_millis(1_500);
    let effects = play.bed.add_worker("w9", "a");
    play.take(effects);
    let waited = task(2, 0, 0);
    assert_eq!(&*play.at(waited), "w9");
    let effects = play.replaced("w9");
    play.take(effects);
    assert_eq!(play.crashes(waited), 1);
}
