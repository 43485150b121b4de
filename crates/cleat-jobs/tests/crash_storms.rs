//! Many tasks that crash their workers at once, beside others that do not.
//!
//! Callers saw a task start six times after it had crashed three workers, and a job that
//! had run for 30 s fail because other jobs crashed the workers beside it. Each crash had
//! several possible culprits, and all of them were counted alike: the real ones could go
//! on until five crashes were possible, and the innocent were given up by the same count.
//! Evidence: in the lasting job's log one task is lost with a crashed worker for the fifth
//! time, and the job's other tasks are stopped within 0.2 s.

mod scaffold;

use std::time::Duration;

use cleat_jobs::{JobId, JobState, StepSpec};
use scaffold::play::{MOST, Play};
use scaffold::{step, task};

/// Tasks of a job, of which the first is a culprit in some.
const WIDTH: u32 = 8;

/// What a storm came to.
struct Storm {
    play: Play,
    /// The jobs whose first task crashes its workers.
    guilty: Vec<u64>,
    innocent: Vec<u64>,
}

impl Storm {
    /// Each round brings jobs, then the workers of all culprits crash, and then the
    /// other runs are done.
    fn strike(workers: usize, culprits: u64, rounds: u64) -> Storm {
        let mut play = Play::new(workers);
        play.culprits = (1..=culprits).map(|job| task(job, 0, 0)).collect();
        let mut storm = Storm {
            play,
            guilty: (1..=culprits).collect(),
            innocent: Vec::new(),
        };
        let mut guilty = storm.guilty.clone().into_iter();
        for round in 0..rounds {
            for job in guilty.by_ref().take(5) {
                storm.play.submit(job, vec![step(WIDTH, 1_000)]);
            }
            let innocent = 1_000 + round;
            storm.play.submit(innocent, vec![step(WIDTH, 1_000)]);
            storm.innocent.push(innocent);
            storm.crash_all();
            storm.settle();
        }
        storm
    }

    /// Each worker crashes on which a culprit runs.
    fn crash_all(&mut self) {
        let guilty = self.play.runs.iter();
        let guilty = guilty.filter(|(task, _)| self.play.culprits.contains(*task));
        let mut workers: Vec<Box<str>> = guilty.map(|(_, (at, _))| at.clone()).collect();
        workers.sort();
        workers.dedup();
        for worker in workers {
            self.play.crash(&worker);
        }
    }

    fn settle(&mut self) {
        self.play.finish_others();
        let effects = self.play.bed.tick(Duration::from_millis(50));
        self.play.take(effects);
    }

    /// Workers list what goes on, and the rest is done.
    fn beat(&mut self) {
        self.play.bed.now += Duration::from_millis(400);
        let workers: Vec<Box<str>> = self.play.bed.state.workers.keys().cloned().collect();
        for worker in workers {
            self.play.list(&worker, Vec::new());
        }
        self.settle();
    }

    /// Lets all that goes on come to its end.
    fn pass(mut self) -> Storm {
        for _ in 0..200 {
            self.crash_all();
            self.settle();
        }
        self
    }

    fn assert_guilty_are_given_up(&self) {
        for culprit in &self.play.culprits {
            let starts = self.play.starts_of(*culprit);
            assert!(starts < MOST, "{culprit} has {starts} starts");
            let state = self.play.state_of(culprit.job().0);
            assert_eq!(state, Some(JobState::Failed), "{culprit}");
        }
    }

    fn assert_innocent_are_done(&self) {
        for job in &self.innocent {
            let state = self.play.state_of(*job);
            assert_eq!(state, Some(JobState::Completed), "job {job}");
        }
    }
}

#[test]
fn storm_of_two_culprits() {
    let storm = Storm::strike(6, 2, 8).pass();
    storm.assert_guilty_are_given_up();
    storm.assert_innocent_are_done();
}

#[test]
fn storm_of_ten_culprits_at_once() {
    let storm = Storm::strike(8, 10, 12).pass();
    storm.assert_guilty_are_given_up();
    storm.assert_innocent_are_done();
}

#[test]
fn storm_of_forty_culprits_in_a_small_pool() {
    let storm = Storm::strike(4, 40, 40).pass();
    storm.assert_guilty_are_given_up();
    storm.assert_innocent_are_done();
}

/// The job that lasts.
const LASTING: u64 = 500;

/// What lasts is not ended because other tasks crash the workers beside it.
#[test]
fn storm_beside_a_job_that_lasts() {
    let lasting = StepSpec {
        long_running: true,
        max_per_worker: Some(1),
        ..step(6, 500)
    };
    let mut storm = Storm::strike(8, 0, 0);
    storm.play.lasting = Some(JobId(LASTING));
    storm.play.submit(LASTING, vec![lasting]);
    storm.play.culprits = (1..=30).map(|job| task(job, 0, 0)).collect();
    for job in 1..=30 {
        storm.play.submit(job, vec![step(WIDTH, 1_000)]);
        storm.crash_all();
        storm.beat();
    }
    for _ in 0..60 {
        storm.crash_all();
        storm.beat();
    }
    assert_eq!(storm.play.state_of(LASTING), Some(JobState::Active));
    storm.assert_guilty_are_given_up();
}
