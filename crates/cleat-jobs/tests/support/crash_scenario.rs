//! Workers of one pool, some of whose tasks crash the worker they run on.

use indexmap::IndexMap;

use cleat_jobs::{
    Effect, EndKind, Event, JobId, JobState, OrderAnswer, RenewalAnswer, Run, StepId, StepSpec,
    TaskEnd, TaskId, TaskOrder,
};

use super::{Harness, end, ended, running, starts};

/// The number of crashes under a task after which it must not keep being started.
pub(crate) const CRASHES_ALLOWED: usize = 3;
/// The number of starts after those crashes that counts as a failure.
pub(crate) const EXCESS_STARTS: usize = 3;
/// A task that crashes its workers must be started fewer times than this.
pub(crate) const TOO_MANY_STARTS: usize = CRASHES_ALLOWED + EXCESS_STARTS;

/// The task that crashes its workers.
pub(crate) const CRASHING_TASK: TaskId = TaskId {
    step: StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    },
    index: 0,
};

/// The workers of one pool, and the runs on them.
pub(crate) struct CrashScenario {
    pub(crate) harness: Harness,
    /// The tasks that crash each worker on which they start.
    pub(crate) crashing_tasks: Vec<TaskId>,
    /// A job whose tasks never end by themselves.
    pub(crate) long_running_job: Option<JobId>,
    /// The number of worker lives begun so far.
    lives: usize,
    /// The answer to each start order.
    pub(crate) answer: OrderAnswer,
    /// The start orders so far, with their workers.
    pub(crate) started: Vec<(Box<str>, TaskOrder)>,
    /// The worker and the run number of each running task.
    pub(crate) runs: IndexMap<TaskId, (Box<str>, Run)>,
    /// The number of ends that each worker has listed.
    ends: IndexMap<Box<str>, u64>,
}

impl CrashScenario {
    pub(crate) fn new(workers: usize) -> CrashScenario {
        let mut scenario = CrashScenario {
            harness: Harness::with_workers(&[]),
            crashing_tasks: vec![CRASHING_TASK],
            long_running_job: None,
            lives: 0,
            answer: OrderAnswer::Done,
            started: Vec::new(),
            runs: IndexMap::new(),
            ends: IndexMap::new(),
        };
        for _ in 0..workers {
            scenario.new_life();
        }
        scenario
    }

    /// Starts a worker under a new name.
    pub(crate) fn new_life(&mut self) {
        self.lives += 1;
        let name = format!("w{}", self.lives);
        let effects = self.harness.add_worker(&name, "a");
        self.process(effects);
    }

    pub(crate) fn submit(&mut self, id: u64, steps: Vec<StepSpec>) {
        let effects = self.harness.submit(id, steps);
        self.process(effects);
    }

    /// Answers start orders and commits proposals until no effects remain.
    pub(crate) fn process(&mut self, mut effects: Vec<Effect>) {
        while !effects.is_empty() {
            let mut next = Vec::new();
            for (worker, order) in starts(&effects) {
                next.extend(self.harness.answer(&worker, &order, self.answer));
                self.runs.insert(order.task, (worker.clone(), order.run));
                self.started.push((worker, order));
            }
            next.extend(self.harness.commit(&effects));
            effects = next;
        }
    }

    /// A worker crashes, and another life answers at its address.
    pub(crate) fn crash(&mut self, worker: &str) {
        self.runs.retain(|_, (at, _)| **at != *worker);
        let effects = self.report_other_life(worker);
        self.process(effects);
        self.new_life();
    }

    /// The owner learns that another life answers at a worker's address.
    pub(crate) fn report_other_life(&mut self, worker: &str) -> Vec<Effect> {
        self.harness.feed(Event::RenewalFailed {
            worker: worker.into(),
            other_life: true,
        })
    }

    /// Ends all runs as done, except crashing and long-running tasks.
    pub(crate) fn finish_others(&mut self) {
        let others = self
            .runs
            .iter()
            .filter(|(task, _)| !self.keeps_running(task));
        let others: Vec<_> = others.map(|(task, run)| (*task, run.clone())).collect();
        for (task, (worker, run)) in others {
            self.runs.swap_remove(&task);
            let number = self.ends.entry(worker.clone()).or_default();
            *number += 1;
            let done = end(*number, task, run.0, EndKind::Done);
            self.list_runs(&worker, vec![done]);
        }
    }

    fn keeps_running(&self, task: &TaskId) -> bool {
        self.crashing_tasks.contains(task) || self.long_running_job == Some(task.job())
    }

    /// A worker answers a renewal with its runs and these ends.
    pub(crate) fn list_runs(&mut self, worker: &str, ends: Vec<TaskEnd>) {
        let here = self.runs.iter().filter(|(_, (at, _))| **at == *worker);
        let running = here.map(|(task, (_, run))| running(*task, run.0)).collect();
        let answer = RenewalAnswer {
            running,
            ..ended(ends)
        };
        let effects = self.harness.answer_renewal(worker, answer);
        self.process(effects);
    }

    /// The worker on which the task was last started.
    pub(crate) fn worker_of(&self, task: TaskId) -> Box<str> {
        let mut starts = self.started.iter().rev();
        let last = starts.find(|(_, order)| order.task == task);
        last.expect("the task was never started").0.clone()
    }

    pub(crate) fn starts_of(&self, task: TaskId) -> usize {
        let of_task = self.started.iter().filter(|(_, order)| order.task == task);
        of_task.count()
    }

    /// Crashes the worker of the crashing task after each start.
    pub(crate) fn crash_repeatedly(&mut self) {
        for round in 0..TOO_MANY_STARTS {
            if self.starts_of(CRASHING_TASK) <= round {
                return;
            }
            let worker = self.worker_of(CRASHING_TASK);
            self.crash(&worker);
        }
    }

    pub(crate) fn state_of(&self, job: u64) -> Option<JobState> {
        self.harness.state.job_state(JobId(job))
    }

    /// The number of crashes under a task in the replicated state.
    pub(crate) fn crashes(&self, task: TaskId) -> usize {
        let job = &self.harness.state.jobs[&task.job()];
        let progress = job.progress(task.step).into_iter();
        let mut crashes = progress.flat_map(|step| step.crashes());
        crashes
            .find(|(index, _)| *index == task.index)
            .map_or(0, |(_, count)| count)
    }
}
