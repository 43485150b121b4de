//! Tasks that crash each worker on which they start.
//!
//! Callers saw a job that never ended, and jobs beside it that lost their work
//! again and again: each time its task started, the worker crashed and took along
//! whatever ran there.

mod scaffold;

use cleat_jobs::{Effect, Event, JobId, JobState, TaskId, TaskOrder};
use scaffold::{Bed, starts, step, task};

/// After how many crashes under a task it must not go on being started.
const CRASHES_ALLOWED: usize = 3;
/// How many starts more are too many then.
const STARTS_TOO_MANY: usize = 3;

/// The task that crashes its workers.
const CULPRIT: TaskId = TaskId {
    step: cleat_jobs::StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    },
    index: 0,
};

/// Workers of one pool, some tasks of which crash theirs.
struct Play {
    bed: Bed,
    /// How many lives there were so far.
    lives: usize,
    /// The starts so far, with their workers.
    started: Vec<(Box<str>, TaskOrder)>,
}

impl Play {
    fn new(workers: usize) -> Play {
        let bed = Bed::with_workers(&[]);
        let mut play = Play {
            bed,
            lives: 0,
            started: Vec::new(),
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
        self.take(&effects);
    }

    /// Notes starts, and commits what is proposed, until nothing follows.
    fn take(&mut self, effects: &[Effect]) {
        let mut effects = effects.to_vec();
        while !effects.is_empty() {
            self.started.extend(starts(&effects));
            effects = self.bed.commit(&effects);
        }
    }

    /// A worker crashes: another life answers at its address.
    fn crash(&mut self, worker: &str) {
        let effects = self.bed.feed(Event::RenewalFailed {
            worker: worker.into(),
            other_life: true,
        });
        self.take(&effects);
        self.new_life();
    }

    fn starts_of(&self, task: TaskId) -> Vec<&(Box<str>, TaskOrder)> {
        let starts = self.started.iter();
        starts.filter(|(_, order)| order.task == task).collect()
    }
}

/// A job's task crashed its worker 10 ms after each start; it was started for as long
/// as the record of the day reached, 8 times by one owner and 23 times by the next.
#[test]
fn crashing_task_is_given_up() {
    let mut play = Play::new(4);
    let effects = play.bed.submit(1, vec![step(3, 1_000)]);
    play.take(&effects);
    let most = CRASHES_ALLOWED + STARTS_TOO_MANY;
    for round in 0..most {
        let Some((worker, order)) = play.starts_of(CULPRIT).get(round).copied().cloned() else {
            break;
        };
        assert_eq!(order.task, task(1, 0, 0));
        play.crash(&worker);
    }
    assert!(
        play.starts_of(CULPRIT).len() < most,
        "it is started three times more after three crashes"
    );
    assert_eq!(play.bed.state.job_state(JobId(1)), Some(JobState::Failed));
}
