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
    Command, CrashedRun, Effect, EndKind, Event, Heartbeat, JobId, JobState, MachineAnswer,
    MachineOrder, Order, OrderAnswer, Part, RenewalAnswer, Run, StepId, StepSpec, TaskId,
    TaskOrder,
};
use indexmap::IndexMap;
use scaffold::{
    Bed, end, ended, list_machines, machine, moved, proposals, record, running, starts, step, task,
};

/// After how many crashes under a task it must not go on being started.
const CRASHES_ALLOWED: usize = 3;
/// How many starts more are too many then.
const STARTS_TOO_MANY: usize = 3;
/// More starts than a task may have that crashes its workers.
const MOST: usize = CRASHES_ALLOWED + STARTS_TOO_MANY;

/// The task that crashes its workers.
const CULPRIT: TaskId = TaskId {
    step: StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    },
    index: 0,
};

/// Workers of one pool, and what runs there.
struct Play {
    bed: Bed,
    /// How many lives there were so far.
    lives: usize,
    /// What starts are answered.
    answer: OrderAnswer,
    /// The starts so far, with their workers.
    started: Vec<(Box<str>, TaskOrder)>,
    /// What runs where.
    runs: IndexMap<TaskId, (Box<str>, Run)>,
    /// How many ends each worker has listed.
    ends: IndexMap<Box<str>, u64>,
}

impl Play {
    fn new(workers: usize) -> Play {
        let mut play = Play {
            bed: Bed::with_workers(&[]),
            lives: 0,
            answer: OrderAnswer::Done,
            started: Vec::new(),
            runs: IndexMap::new(),
            ends: IndexMap::new(),
        };
        for _ in 0..workers {
            play.new_life();
        }
        play
    }

    /// A worker begins a life of its own.
    fn new_life(&mut self) {
        self.lives += 1;
        let name = format!("w{}", self.lives);
        let effects = self.bed.add_worker(&name, "a");
        self.take(effects);
    }

    fn submit(&mut self, id: u64, steps: Vec<StepSpec>) {
        let effects = self.bed.submit(id, steps);
        self.take(effects);
    }

    /// Answers starts and commits what is proposed, until nothing follows.
    fn take(&mut self, mut effects: Vec<Effect>) {
        while !effects.is_empty() {
            let mut next = Vec::new();
            for (worker, order) in starts(&effects) {
                next.extend(self.bed.answer(&worker, &order, self.answer));
                self.runs.insert(order.task, (worker.clone(), order.run));
                self.started.push((worker, order));
            }
            next.extend(self.bed.commit(&effects));
            effects = next;
        }
    }

    /// A worker crashes, and another life answers at its address.
    fn crash(&mut self, worker: &str) {
        self.runs.retain(|_, (at, _)| **at != *worker);
        let effects = self.replaced(worker);
        self.take(effects);
        self.new_life();
    }

    /// The owner learns that another life answers at a worker's address.
    fn replaced(&mut self, worker: &str) -> Vec<Effect> {
        self.bed.feed(Event::RenewalFailed {
            worker: worker.into(),
            other_life: true,
        })
    }

    /// All that runs is done, but for the culprit.
    fn finish_others(&mut self) {
        let others = self.runs.iter().filter(|(task, _)| **task != CULPRIT);
        let others: Vec<_> = others.map(|(task, run)| (*task, run.clone())).collect();
        for (task, (worker, run)) in others {
            self.runs.swap_remove(&task);
            let number = self.ends.entry(worker.clone()).or_default();
            *number += 1;
            let done = end(*number, task, run.0, EndKind::Done);
            let effects = self.bed.answer_renewal(&worker, ended(vec![done]));
            self.take(effects);
        }
    }

    /// The worker on which a task was started last.
    fn at(&self, task: TaskId) -> Box<str> {
        let mut starts = self.started.iter().rev();
        let last = starts.find(|(_, order)| order.task == task);
        last.expect("it was started").0.clone()
    }

    fn starts_of(&self, task: TaskId) -> usize {
        let of_task = self.started.iter().filter(|(_, order)| order.task == task);
        of_task.count()
    }

    /// Lets the culprit crash its worker after each start.
    fn crash_again_and_again(&mut self) {
        for round in 0..MOST {
            if self.starts_of(CULPRIT) <= round {
                return;
            }
            let worker = self.at(CULPRIT);
            self.crash(&worker);
        }
    }

    fn state_of(&self, job: u64) -> Option<JobState> {
        self.bed.state.job_state(JobId(job))
    }

    /// How many crashes under a task are in the replicated state.
    fn crashes(&self, task: TaskId) -> usize {
        let job = &self.bed.state.jobs[&task.job()];
        let progress = job.progress(task.step).into_iter();
        let mut crashes = progress.flat_map(|step| step.crashes());
        crashes
            .find(|(index, _)| *index == task.index)
            .map_or(0, |(_, count)| count)
    }
}

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

/// What is not known of two tasks that were lost together stays so; both are given up
/// in the end, as each crash costs the other jobs of the pool.
#[test]
fn crash_of_many_equals_blames_none() {
    let mut play = Play::new(1);
    play.submit(1, vec![step(2, 1_000)]);
    for _ in 0..CRASHES_ALLOWED {
        let worker = play.at(CULPRIT);
        play.crash(&worker);
    }
    assert_eq!(play.state_of(1), Some(JobState::Active));
    play.crash_again_and_again();
    assert!(play.starts_of(CULPRIT) < MOST);
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
            part: Part::Blamed,
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
