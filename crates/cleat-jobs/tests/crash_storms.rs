//! Many tasks that crash their workers at the same time, next to tasks that do not.
//!
//! Guards against counting a crash equally against every task that ran on the worker. A
//! task then started six times after it had crashed three workers, because only the fifth
//! possible crash failed it, and a long-running job failed after 30 s because other jobs
//! crashed its workers: one of its tasks was lost in a crash for the fifth time, and its
//! other tasks were stopped within 0.2 s.

mod support;

use std::time::Duration;

use cleat_jobs::{JobId, JobState, StepSpec};
use support::crash_scenario::{CrashScenario, TOO_MANY_STARTS};
use support::{step, task};

/// The number of tasks per job. In some jobs the first one crashes its workers.
const TASKS_PER_JOB: u32 = 8;

/// A pool in which crashing and other jobs are submitted together.
struct Storm {
    scenario: CrashScenario,
    /// The jobs whose first task crashes its workers.
    crashing_jobs: Vec<u64>,
    other_jobs: Vec<u64>,
}

impl Storm {
    /// In each round, submits jobs, crashes the worker of each crashing task and ends the
    /// other runs.
    fn run(workers: usize, crashing_tasks: u64, rounds: u64) -> Storm {
        let mut scenario = CrashScenario::new(workers);
        scenario.crashing_tasks = (1..=crashing_tasks).map(|job| task(job, 0, 0)).collect();
        let mut storm = Storm {
            scenario,
            crashing_jobs: (1..=crashing_tasks).collect(),
            other_jobs: Vec::new(),
        };
        let mut crashing_jobs = storm.crashing_jobs.clone().into_iter();
        for round in 0..rounds {
            for job in crashing_jobs.by_ref().take(5) {
                storm.scenario.submit(job, vec![step(TASKS_PER_JOB, 1_000)]);
            }
            let other_job = 1_000 + round;
            storm
                .scenario
                .submit(other_job, vec![step(TASKS_PER_JOB, 1_000)]);
            storm.other_jobs.push(other_job);
            storm.crash_workers_of_crashing_tasks();
            storm.settle();
        }
        storm
    }

    /// Crashes each worker on which a crashing task runs.
    fn crash_workers_of_crashing_tasks(&mut self) {
        let crashing_runs = self.scenario.runs.iter();
        let crashing_runs =
            crashing_runs.filter(|(task, _)| self.scenario.crashing_tasks.contains(*task));
        let mut workers: Vec<Box<str>> = crashing_runs.map(|(_, (at, _))| at.clone()).collect();
        workers.sort();
        workers.dedup();
        for worker in workers {
            self.scenario.crash(&worker);
        }
    }

    fn settle(&mut self) {
        self.scenario.finish_others();
        let effects = self.scenario.harness.tick(Duration::from_millis(50));
        self.scenario.process(effects);
    }

    /// All workers list their runs, then the runs of other tasks end.
    fn renew_all(&mut self) {
        self.scenario.harness.now += Duration::from_millis(400);
        let workers: Vec<Box<str>> = self
            .scenario
            .harness
            .state
            .workers
            .keys()
            .cloned()
            .collect();
        for worker in workers {
            self.scenario.list_runs(&worker, Vec::new());
        }
        self.settle();
    }

    /// Crashes workers and ends runs until every job has ended.
    fn run_to_end(mut self) -> Storm {
        for _ in 0..200 {
            self.crash_workers_of_crashing_tasks();
            self.settle();
        }
        self
    }

    fn assert_crashing_jobs_failed(&self) {
        for crashing_task in &self.scenario.crashing_tasks {
            let starts = self.scenario.starts_of(*crashing_task);
            assert!(
                starts < TOO_MANY_STARTS,
                "{crashing_task} has {starts} starts"
            );
            let state = self.scenario.state_of(crashing_task.job().0);
            assert_eq!(state, Some(JobState::Failed), "{crashing_task}");
        }
    }

    fn assert_other_jobs_completed(&self) {
        for job in &self.other_jobs {
            let state = self.scenario.state_of(*job);
            assert_eq!(state, Some(JobState::Completed), "job {job}");
        }
    }
}

#[test]
fn storm_of_two_culprits() {
    let storm = Storm::run(6, 2, 8).run_to_end();
    storm.assert_crashing_jobs_failed();
    storm.assert_other_jobs_completed();
}

#[test]
fn storm_of_ten_culprits_at_once() {
    let storm = Storm::run(8, 10, 12).run_to_end();
    storm.assert_crashing_jobs_failed();
    storm.assert_other_jobs_completed();
}

#[test]
fn storm_of_forty_culprits_in_a_small_pool() {
    let storm = Storm::run(4, 40, 40).run_to_end();
    storm.assert_crashing_jobs_failed();
    storm.assert_other_jobs_completed();
}

/// The job whose tasks run until it is cancelled.
const LONG_RUNNING_JOB: u64 = 500;

/// A long-running job does not fail because other tasks crash its workers.
#[test]
fn storm_beside_a_long_running_job() {
    let long_running_step = StepSpec {
        long_running: true,
        max_per_worker: Some(1),
        ..step(6, 500)
    };
    let mut storm = Storm::run(8, 0, 0);
    storm.scenario.long_running_job = Some(JobId(LONG_RUNNING_JOB));
    storm
        .scenario
        .submit(LONG_RUNNING_JOB, vec![long_running_step]);
    storm.scenario.crashing_tasks = (1..=30).map(|job| task(job, 0, 0)).collect();
    for job in 1..=30 {
        storm.scenario.submit(job, vec![step(TASKS_PER_JOB, 1_000)]);
        storm.crash_workers_of_crashing_tasks();
        storm.renew_all();
    }
    for _ in 0..60 {
        storm.crash_workers_of_crashing_tasks();
        storm.renew_all();
    }
    assert_eq!(
        storm.scenario.state_of(LONG_RUNNING_JOB),
        Some(JobState::Active)
    );
    storm.assert_crashing_jobs_failed();
}
