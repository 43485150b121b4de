//! Tasks that crash each worker on which they start.
//!
//! Guards against restarting such a task forever. Only ends that a worker lists as failed
//! used to count against a task, and a crashed worker lists no ends. The job never ended,
//! and each crash also lost the runs of other jobs on that worker. One owner started the
//! task eight times, each time after its previous run was lost with the worker.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{
    Command, CrashEvidence, CrashedRun, Event, Heartbeat, JobState, MachineAnswer, MachineOrder,
    Order, OrderAnswer, RenewalAnswer, Run, StepSpec,
};
use support::crash_scenario::{CRASHES_ALLOWED, CRASHING_TASK, CrashScenario, TOO_MANY_STARTS};
use support::{list_machines, machine, moved, proposals, record, running, starts, step, task};

/// Without the crash count, one owner started the task 8 times and the next one 23 times.
#[test]
fn crashing_task_fails_its_job() {
    let mut scenario = CrashScenario::new(4);
    scenario.submit(1, vec![step(3, 1_000)]);
    scenario.crash_repeatedly();
    assert!(
        scenario.starts_of(CRASHING_TASK) < TOO_MANY_STARTS,
        "the task was started three more times after three crashes"
    );
    assert_eq!(scenario.state_of(1), Some(JobState::Failed));
}

/// The worker crashes before it can answer the start.
#[test]
fn crashing_task_whose_starts_are_in_doubt_fails_its_job() {
    let mut scenario = CrashScenario::new(4);
    scenario.answer = OrderAnswer::Unknown;
    scenario.submit(1, vec![step(1, 1_000)]);
    scenario.crash_repeatedly();
    assert!(scenario.starts_of(CRASHING_TASK) < TOO_MANY_STARTS);
    assert_eq!(scenario.state_of(1), Some(JobState::Failed));
}

#[test]
fn crashing_task_fails_its_job_across_owners() {
    let mut scenario = CrashScenario::new(4);
    scenario.submit(1, vec![step(1, 1_000)]);
    for _ in 0..TOO_MANY_STARTS {
        let Some((worker, _)) = scenario.runs.get(&CRASHING_TASK).cloned() else {
            break;
        };
        scenario.crash(&worker);
        scenario.harness.replace_owner();
        let workers: Vec<Box<str>> = scenario.harness.state.workers.keys().cloned().collect();
        for worker in workers {
            let listed = scenario.runs.iter().filter(|(_, (at, _))| *at == worker);
            let running = listed.map(|(task, (_, run))| running(*task, run.0));
            let answer = RenewalAnswer {
                running: running.collect(),
                ..RenewalAnswer::default()
            };
            let effects = scenario.harness.answer_renewal(&worker, answer);
            scenario.process(effects);
        }
    }
    assert!(scenario.starts_of(CRASHING_TASK) < TOO_MANY_STARTS);
    assert_eq!(scenario.state_of(1), Some(JobState::Failed));
}

/// Other jobs keep arriving while the crashing task moves from worker to worker. They
/// complete, and no more workers crash than are needed to identify the crashing task.
#[test]
fn crashing_task_fails_no_other_job() {
    let mut scenario = CrashScenario::new(4);
    let mut jobs = 1..;
    let mut crashes = 0;
    for _ in 0..TOO_MANY_STARTS {
        let id = jobs.next().expect("the range is endless");
        scenario.submit(id, vec![step(3, 1_000)]);
        let id = jobs.next().expect("the range is endless");
        scenario.submit(id, vec![step(5, 1_000)]);
        if let Some((worker, _)) = scenario.runs.get(&CRASHING_TASK).cloned() {
            scenario.crash(&worker);
            crashes += 1;
        }
        scenario.finish_others();
    }
    assert_eq!(scenario.state_of(1), Some(JobState::Failed));
    let submitted = jobs.next().expect("the range is endless");
    for job in 2..submitted {
        assert_eq!(
            scenario.state_of(job),
            Some(JobState::Completed),
            "job {job}"
        );
    }
    assert!(crashes <= CRASHES_ALLOWED, "{crashes} workers crashed");
}

/// After the first crash the cause is not known. If the worker's tasks were placed on one
/// worker again, the next crash would lose all of them.
#[test]
fn crash_separates_the_tasks_of_a_worker() {
    let mut scenario = CrashScenario::new(4);
    scenario.submit(1, vec![step(3, 1_000)]);
    let worker = scenario.worker_of(CRASHING_TASK);
    assert_eq!(scenario.worker_of(task(1, 0, 1)), worker);
    scenario.crash(&worker);
    let mut workers: Vec<Box<str>> = (0..3)
        .map(|index| scenario.worker_of(task(1, 0, index)))
        .collect();
    workers.sort();
    workers.dedup();
    assert_eq!(
        workers.len(),
        3,
        "tasks of a crashed worker share a worker again"
    );
}

/// Two tasks that were lost in the same crash are equally suspect, so neither fails. From
/// then on each starts alone, one after the other if there is only one worker, so that the
/// next crash identifies the cause.
#[test]
fn crash_under_two_tasks_blames_neither_and_separates_them() {
    let mut scenario = CrashScenario::new(1);
    let other_task = task(2, 0, 0);
    scenario.submit(1, vec![step(1, 1_000)]);
    scenario.submit(2, vec![step(1, 1_000)]);
    let worker = scenario.worker_of(CRASHING_TASK);
    scenario.crash(&worker);
    assert_eq!(scenario.state_of(1), Some(JobState::Active));
    assert_eq!(scenario.starts_of(CRASHING_TASK), 2);
    assert_eq!(
        scenario.starts_of(other_task),
        1,
        "both tasks were started on the same worker"
    );
    let worker = scenario.worker_of(CRASHING_TASK);
    scenario.crash(&worker);
    assert_eq!(scenario.state_of(1), Some(JobState::Failed));
    assert_eq!(scenario.starts_of(other_task), 2);
    scenario.finish_others();
    assert_eq!(scenario.state_of(2), Some(JobState::Completed));
}

/// A machine may crash under any run, and more likely under a longer one. A task that had
/// run for a while fails only after three crashes.
#[test]
fn crash_long_after_the_start_is_weaker_evidence() {
    let mut scenario = CrashScenario::new(2);
    scenario.submit(1, vec![step(1, 1_000)]);
    for _ in 1..CRASHES_ALLOWED {
        let worker = scenario.worker_of(CRASHING_TASK);
        scenario.harness.now += Duration::from_secs(1);
        scenario.crash(&worker);
        assert_eq!(scenario.state_of(1), Some(JobState::Active));
    }
    let worker = scenario.worker_of(CRASHING_TASK);
    scenario.harness.now += Duration::from_secs(1);
    scenario.crash(&worker);
    assert_eq!(scenario.state_of(1), Some(JobState::Failed));
}

/// A start that reached the next life never ran in the life that crashed.
#[test]
fn crash_is_not_counted_for_a_start_that_reached_the_next_life() {
    let mut scenario = CrashScenario::new(1);
    let effects = scenario.harness.submit(1, vec![step(1, 1_000)]);
    let (worker, order) = starts(&effects).remove(0);
    assert!(matches!(order.order, Order::Start { .. }));
    let effects = scenario
        .harness
        .answer(&worker, &order, OrderAnswer::OtherLife);
    scenario.process(effects);
    assert_eq!(scenario.crashes(CRASHING_TASK), 0);
}

/// A worker that leaves, was draining, or whose machine was moved to another pool did not
/// crash.
#[test]
fn crash_is_not_inferred_from_a_planned_end() {
    let mut scenario = CrashScenario::new(3);
    scenario.submit(1, vec![step(1, 1_000)]);
    let worker = scenario.worker_of(CRASHING_TASK);
    let effects = scenario.harness.feed(Event::Left { worker });
    scenario.process(effects);

    let worker = scenario.worker_of(CRASHING_TASK);
    scenario.harness.heartbeat_draining(&worker, 2);
    let effects = scenario.report_other_life(&worker);
    scenario.process(effects);

    let worker = scenario.worker_of(CRASHING_TASK);
    let moved = machine(&format!("m-{worker}"), "b", None);
    list_machines(&mut scenario.harness, vec![moved]);
    let effects = scenario.report_other_life(&worker);
    scenario.process(effects);
    assert_eq!(scenario.crashes(CRASHING_TASK), 0);
}

/// Lets the lease of the crashing task's worker expire, and returns the worker.
fn let_lease_expire(scenario: &mut CrashScenario) -> Box<str> {
    let worker = scenario.worker_of(CRASHING_TASK);
    let workers: Vec<Box<str>> = scenario.harness.state.workers.keys().cloned().collect();
    let others = workers.iter().filter(|other| **other != worker);
    let others: Vec<&str> = others.map(|other| &**other).collect();
    let effects = scenario.harness.let_lease_expire(&worker, &others);
    scenario.runs.retain(|_, (at, _)| *at != worker);
    scenario.process(effects);
    worker
}

/// The worker stops answering, its lease expires, and only then another life answers.
#[test]
fn crash_detected_after_lease_expiry_is_counted() {
    let mut scenario = CrashScenario::new(4);
    scenario.submit(1, vec![step(1, 1_000)]);
    for round in 1..TOO_MANY_STARTS {
        if scenario.state_of(1) != Some(JobState::Active) {
            break;
        }
        let worker = let_lease_expire(&mut scenario);
        if scenario.state_of(1) == Some(JobState::Active) {
            assert_eq!(scenario.crashes(CRASHING_TASK), round);
        }
        scenario.crash(&worker);
    }
    assert!(scenario.starts_of(CRASHING_TASK) < TOO_MANY_STARTS);
    assert_eq!(scenario.state_of(1), Some(JobState::Failed));
}

/// Workers that were cut off and come back did not crash, no matter how often.
#[test]
fn crash_is_not_inferred_from_expired_leases() {
    let mut scenario = CrashScenario::new(4);
    scenario.submit(1, vec![step(1, 1_000)]);
    for _ in 0..2 * TOO_MANY_STARTS {
        let worker = let_lease_expire(&mut scenario);
        let effects = scenario
            .harness
            .answer_renewal(&worker, RenewalAnswer::default());
        scenario.process(effects);
    }
    assert_eq!(scenario.state_of(1), Some(JobState::Active));
}

/// Machines crash now and then, and a long-running task experiences many crashes.
#[test]
fn crash_does_not_count_against_a_task_that_ran_for_long() {
    let long_running = StepSpec {
        long_running: true,
        ..step(1, 1_000)
    };
    let mut scenario = CrashScenario::new(2);
    scenario.submit(1, vec![long_running]);
    for _ in 0..TOO_MANY_STARTS {
        let (worker, run) = scenario.runs[&CRASHING_TASK].clone();
        scenario.harness.now += Duration::from_secs(11);
        let answer = RenewalAnswer {
            running: vec![running(CRASHING_TASK, run.0)],
            ..RenewalAnswer::default()
        };
        let effects = scenario.harness.answer_renewal(&worker, answer);
        scenario.process(effects);
        scenario.crash(&worker);
    }
    assert_eq!(scenario.state_of(1), Some(JobState::Active));
    assert_eq!(scenario.crashes(CRASHING_TASK), 0);
}

/// The worker's tasks start again only after the crash is committed. Otherwise the next
/// owner would not know of the crash.
#[test]
fn crash_is_committed_before_its_tasks_start_again() {
    let mut scenario = CrashScenario::new(2);
    scenario.submit(1, vec![step(1, 1_000)]);
    let worker = scenario.worker_of(CRASHING_TASK);
    let effects = scenario.report_other_life(&worker);
    assert!(starts(&effects).is_empty());
    assert_eq!(starts(&scenario.harness.commit(&effects)).len(), 1);
}

#[test]
fn crash_whose_commit_failed_is_proposed_again_and_counts_once() {
    let mut scenario = CrashScenario::new(2);
    scenario.submit(1, vec![step(1, 1_000)]);
    let worker = scenario.worker_of(CRASHING_TASK);
    let effects = scenario.report_other_life(&worker);
    let crashed = proposals(&effects).into_iter();
    let crashed = crashed.filter(|command| matches!(command, Command::Crashed { .. }));
    let command = crashed.last().expect("no crash was proposed");
    let again = scenario.harness.feed(Event::ProposalFailed {
        command: Arc::new(command.clone()),
    });
    assert_eq!(proposals(&again), vec![command.clone()]);
    scenario.harness.apply(command.clone());
    scenario.harness.apply(command.clone());
    assert_eq!(scenario.crashes(CRASHING_TASK), 1);
}

/// Records a crash under the only task of job 1.
fn crash_under_task(scenario: &mut CrashScenario, run: u64, evidence: CrashEvidence) {
    let crashed = CrashedRun {
        task: CRASHING_TASK,
        run: Run(run),
        evidence,
    };
    let runs = vec![crashed];
    scenario.harness.apply(Command::Crashed { runs });
}

/// Guards against a job that fails though a single worker crashed under its task. Another
/// start had no answer, or its worker's lease expired, and the owner had changed: neither
/// shows that the task ran on a second worker that crashed.
#[test]
fn crash_in_doubt_and_one_certain_crash_fail_no_job() {
    for in_doubt in [CrashEvidence::Inconclusive, CrashEvidence::StartUnanswered] {
        for certain in [CrashEvidence::RunningAlone, CrashEvidence::JustStartedAlone] {
            let mut scenario = CrashScenario::new(4);
            scenario.submit(1, vec![step(1, 1_000)]);
            crash_under_task(&mut scenario, 1, in_doubt);
            scenario.harness.replace_owner();
            scenario.harness.replace_owner();
            crash_under_task(&mut scenario, 2, certain);
            scenario.harness.replace_owner();
            let state = scenario.state_of(1);
            assert_eq!(state, Some(JobState::Active), "{in_doubt:?}, {certain:?}");
            crash_under_task(&mut scenario, 3, certain);
            assert_eq!(scenario.state_of(1), Some(JobState::Failed));
        }
    }
}

#[test]
fn apply_crash_of_an_unknown_task_changes_nothing() {
    let mut scenario = CrashScenario::new(1);
    scenario.submit(1, vec![step(1, 1_000)]);
    let before = scenario.harness.state.snapshot();
    for task in [task(1, 0, 1), task(1, 1, 0), task(2, 0, 0)] {
        let run = CrashedRun {
            task,
            run: Run(1),
            evidence: CrashEvidence::JustStartedAlone,
        };
        scenario
            .harness
            .apply(Command::Crashed { runs: vec![run; 5] });
    }
    assert_eq!(scenario.harness.state.snapshot(), before);
}

/// The machine restarts, and its next worker has another address.
#[test]
fn crash_detected_by_the_next_life_of_the_machine_is_counted() {
    let mut scenario = CrashScenario::new(1);
    scenario.submit(1, vec![step(1, 1_000)]);
    let next = cleat_jobs::WorkerRecord {
        machine: record("w1", "a").machine,
        ..record("w9", "a")
    };
    let heartbeat = Heartbeat {
        record: next,
        draining: false,
        sequence: 1,
    };
    let effects = scenario.harness.feed(Event::Heartbeat(heartbeat));
    scenario.process(effects);
    let effects = scenario
        .harness
        .answer_renewal("w9", RenewalAnswer::default());
    scenario.process(effects);
    assert_eq!(scenario.crashes(CRASHING_TASK), 1);
    assert_eq!(&*scenario.worker_of(CRASHING_TASK), "w9");
}

/// Guards against attributing a crash to the move that brought the machine to the pool.
/// That order was still open, because the worker had joined only 10 ms before. Two tasks
/// were each started six times although they had crashed three workers: their runs counted
/// as lost with a removed worker, not as crashed, 3 s after the move of the machine was
/// accepted and 1.5 s after the worker had answered.
#[test]
fn crash_on_a_machine_that_has_just_moved_is_counted() {
    let mut scenario = CrashScenario::new(1);
    let own = machine("m-w1", "a", Some("w1"));
    list_machines(
        &mut scenario.harness,
        vec![own, machine("m-w9", "spare", None)],
    );
    scenario.submit(1, vec![step(1, 8_000)]);
    scenario.submit(2, vec![step(1, 8_000)]);
    let effects = scenario.harness.tick(Duration::from_millis(50));
    let move_there = MachineOrder::Move { pool: "a".into() };
    assert_eq!(moved(&effects), vec![("m-w9".into(), "a".into())]);
    scenario.harness.feed(Event::MachineOrdered {
        machine: "m-w9".into(),
        order: move_there,
        answer: MachineAnswer::Done,
    });
    scenario.harness.now += Duration::from_millis(1_500);
    let effects = scenario.harness.add_worker("w9", "a");
    scenario.process(effects);
    let second_task = task(2, 0, 0);
    assert_eq!(&*scenario.worker_of(second_task), "w9");
    let effects = scenario.report_other_life("w9");
    scenario.process(effects);
    assert_eq!(scenario.crashes(second_task), 1);
}
