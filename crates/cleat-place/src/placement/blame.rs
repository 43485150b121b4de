//! Bad workers are told from bad jobs, and both get another chance.

use std::time::Duration;

use rand::RngExt;

use super::{Placement, Step};
use crate::effect::End;
use crate::estimate::Class;
use crate::job::{Job, State, WaitReason};
use crate::keys::{ClassId, JobId, TaskId, WorkerId};
use crate::timers::Timer;
use crate::worker::{Presence, Standing, Worker};

/// Times double at most this often.
const DOUBLINGS_MAX: u32 = 6;
/// A class remembers at most this many workers on which it failed.
const CLASS_WORKERS_MAX: usize = 16;

impl Placement {
    pub(super) fn task_failed(&mut self, task: TaskId, step: &mut Step) {
        let job = self.jobs.get(task.job);
        let fenced = self.terms.protections.attempt_fence;
        if job.is_none_or(|job| fenced && job.attempt != task.attempt) {
            return;
        }
        let id = task.job;
        let Some(task) = self.vacate(id) else {
            return;
        };
        self.stats.failures += 1;
        if self.jobs.get(id).is_some_and(|job| job.cancelled) {
            self.close(id, End::Cancelled, step);
            return;
        }
        if !self.workers.get(task.worker).is_some_and(is_quarantined) {
            self.note_failure(id, task.worker, step.now);
            self.judge_worker(id, task.worker, step);
        }
        self.judge_job(id, step);
    }

    fn note_failure(&mut self, id: JobId, worker: WorkerId, now: Duration) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.failures += 1;
        push_once(&mut job.failed_on, worker);
        let class = job.class;
        if let Some(class) = self.class_mut(class)
            && class.failed_on.len() < CLASS_WORKERS_MAX
        {
            class.failed_at = now;
            push_once(&mut class.failed_on, worker);
        }
    }

    fn judge_worker(&mut self, id: JobId, worker: WorkerId, step: &mut Step) {
        let Some(class) = self.jobs.get(id).map(|job| job.class) else {
            return;
        };
        if self.is_bad_class(class) {
            if let Some(class) = self.class_mut(class) {
                class.proven = false;
            }
            self.absolve(|_, blamed| blamed == class);
            return;
        }
        let Some(worker_state) = self.workers.get_mut(worker) else {
            return;
        };
        if !worker_state.blame.iter().any(|(job, _)| *job == id) {
            worker_state.blame.push((id, class));
        }
        let on_probation = worker_state.standing == Standing::Probation;
        let again = on_probation && self.is_proven(class);
        if again || self.weight_of_blame(worker) >= self.terms.bad_worker_jobs {
            self.quarantine(worker, step.now);
        }
    }

    fn is_proven(&self, class: ClassId) -> bool {
        let proven = self.class(class).is_some_and(|class| class.proven);
        proven || !self.terms.protections.class_blame
    }

    /// How many jobs speak against a worker. Jobs of a class of which none has
    /// finished anywhere count as one, for it may be the class that is bad.
    fn weight_of_blame(&self, id: WorkerId) -> usize {
        let blame = self.workers.get(id).map(|worker| worker.blame.as_slice());
        let mut unproven: Vec<ClassId> = Vec::new();
        let mut weight = 0;
        for (_, class) in blame.unwrap_or_default() {
            if self.is_proven(*class) {
                weight += 1;
            } else if !unproven.contains(class) {
                unproven.push(*class);
                weight += 1;
            }
        }
        weight
    }

    /// Whether the class has failed on so many workers since it last finished
    /// that the workers are not to blame.
    pub(super) fn is_bad_class(&self, class: ClassId) -> bool {
        let class = self.class(class);
        let many = |c: &Class| c.failed_on.len() >= self.terms.bad_job_workers;
        self.terms.protections.class_blame && class.is_some_and(many)
    }

    fn quarantine(&mut self, id: WorkerId, now: Duration) {
        if !self.terms.protections.quarantine || !self.may_quarantine(id) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let doublings = worker.quarantines.min(DOUBLINGS_MAX);
        let until = now + self.terms.quarantine_for * (1 << doublings);
        worker.standing = Standing::Quarantined(until);
        worker.quarantines += 1;
        self.stats.quarantines += 1;
        self.forgive_failures_on(id);
    }

    /// Whether the bounded share allows one more; a fault of everything is not
    /// mended by taking everything away.
    fn may_quarantine(&self, id: WorkerId) -> bool {
        if self.workers.get(id).is_none_or(is_quarantined) {
            return false;
        }
        let all = self.lasting().count();
        let most = (all * self.terms.quarantine_percent / 100).max(1);
        let away = self.lasting().filter(|worker| is_quarantined(worker));
        let last = self.terms.protections.keep_last && !self.is_replaceable(id);
        away.count() < most && !last
    }

    /// Whether another worker out of quarantine can do all that this one can;
    /// the last of its kind stays, and bad jobs are parked by themselves.
    fn is_replaceable(&self, id: WorkerId) -> bool {
        let Some(capacity) = self.workers.get(id).map(|worker| worker.capacity) else {
            return false;
        };
        let stands_in = |worker: &Worker| {
            let there = worker.presence == Presence::Up && !is_quarantined(worker);
            there && capacity.fits(worker.capacity)
        };
        let mut others = self.workers.iter().filter(|(other, _)| *other != id);
        others.any(|(_, worker)| stands_in(worker))
    }

    /// What failed on a bad worker says nothing about the jobs.
    fn forgive_failures_on(&mut self, id: WorkerId) {
        let blame = self.workers.get(id).map(|worker| worker.blame.clone());
        for (job, class) in blame.unwrap_or_default() {
            if let Some(job) = self.jobs.get_mut(job) {
                job.failed_on.retain(|other| *other != id);
            }
            if let Some(class) = self.class_mut(class) {
                class.failed_on.retain(|other| *other != id);
            }
        }
    }

    /// Takes back the blame that `innocent` chooses, and the quarantines that
    /// rested on it.
    fn absolve(&mut self, innocent: impl Fn(JobId, ClassId) -> bool) {
        let ids: Vec<WorkerId> = self.workers.iter().map(|(id, _)| id).collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            let before = worker.blame.len();
            worker.blame.retain(|(job, class)| !innocent(*job, *class));
            if worker.blame.len() < before && is_quarantined(worker) {
                self.reconsider(id);
            }
        }
    }

    fn reconsider(&mut self, id: WorkerId) {
        let weight = self.weight_of_blame(id);
        if let Some(worker) = self.workers.get_mut(id)
            && weight < self.terms.bad_worker_jobs
        {
            worker.standing = Standing::Good;
            worker.quarantines = worker.quarantines.saturating_sub(1);
        }
    }

    fn judge_job(&mut self, id: JobId, step: &mut Step) {
        let enough = self.terms.bad_job_workers;
        let capable = self.capable(id).take(enough).count();
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let often = job.failures as usize >= enough;
        let widely = job.failed_on.len() >= capable;
        if self.terms.protections.parking && often && widely {
            self.park(id, step);
        } else {
            let wait = self.terms.backoff * doubled(job.failures.saturating_sub(1));
            self.rest(id, WaitReason::Backoff, wait, step);
        }
    }

    fn park(&mut self, id: JobId, step: &mut Step) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let wait = self.terms.park_for * doubled(job.parkings);
        job.parkings += 1;
        job.failures = 0;
        job.failed_on.clear();
        self.stats.parkings += 1;
        self.absolve(|job, _| job == id);
        self.rest(id, WaitReason::Parked, wait, step);
    }

    /// Lets a job wait for about `wait`, spread so that jobs that failed
    /// together do not come back together.
    fn rest(&mut self, id: JobId, reason: WaitReason, wait: Duration, step: &mut Step) {
        self.unclaim(id);
        let wait = wait.mul_f64(self.rng.random_range(0.75..1.25));
        if let Some(job) = self.jobs.get_mut(id) {
            job.state = State::Waiting(reason);
            job.waits_since = step.now;
            self.timers.set(step.now + wait, Timer::Requeue(id));
        }
    }

    pub(super) fn rest_over(&mut self, id: JobId) {
        let resting = [WaitReason::Backoff, WaitReason::Parked];
        let is_resting = |job: &Job| match &job.state {
            State::Waiting(reason) => resting.contains(reason),
            State::Placed(_) => false,
        };
        if self.jobs.get(id).is_some_and(is_resting) {
            self.set_reason(id, WaitReason::Turn);
            self.enqueue(id, false);
        }
    }

    /// A job finished on the worker: neither its class nor the worker is bad.
    pub(super) fn praise(&mut self, id: JobId, worker: WorkerId) {
        if let Some(worker) = self.workers.get_mut(worker)
            && !is_quarantined(worker)
        {
            worker.blame.clear();
            worker.quarantines = 0;
            worker.standing = Standing::Good;
        }
        let Some(class) = self.jobs.get(id).map(|job| job.class) else {
            return;
        };
        if let Some(class) = self.class_mut(class) {
            class.failed_on.clear();
            class.proven = true;
        }
    }

    /// Quarantines that are over become probations.
    pub(super) fn end_quarantines(&mut self, now: Duration) {
        let ids: Vec<WorkerId> = self.workers.iter().map(|(id, _)| id).collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            if matches!(worker.standing, Standing::Quarantined(until) if until <= now) {
                worker.standing = Standing::Probation;
                worker.blame.clear();
            }
        }
    }
}

pub(super) fn is_quarantined(worker: &Worker) -> bool {
    matches!(worker.standing, Standing::Quarantined(_))
}

fn doubled(times: u32) -> u32 {
    1 << times.min(DOUBLINGS_MAX)
}

fn push_once(list: &mut Vec<WorkerId>, worker: WorkerId) {
    if !list.contains(&worker) {
        list.push(worker);
    }
}
