//! Workers come, go and fall silent.

use std::time::Duration;

use super::blame::is_quarantined;
use super::{Placement, Step};
use crate::estimate::Class;
use crate::event::WorkerSpec;
use crate::keys::{JobId, WorkerId};
use crate::size::Size;
use crate::worker::{Presence, Worker};

/// The workers that a job keeps away from.
#[derive(Clone, Copy)]
pub(super) struct Avoided<'a> {
    by_job: &'a [WorkerId],
    by_class: &'a [WorkerId],
}

impl Avoided<'_> {
    pub(super) fn contains(self, worker: WorkerId) -> bool {
        self.by_job.contains(&worker) || self.by_class.contains(&worker)
    }

    pub(super) fn is_empty(self) -> bool {
        self.by_job.is_empty() && self.by_class.is_empty()
    }
}

impl Placement {
    pub(super) fn worker_up(&mut self, spec: WorkerSpec, step: &mut Step) {
        if let Some(id) = self.worker(&spec.name) {
            self.worker_back(id, spec, step);
        } else {
            let name = spec.name.clone();
            let id = self.workers.insert(Worker::new(spec, step.now));
            self.worker_names.insert(name, id);
        }
        self.sum_capacity();
        self.freed = true;
    }

    fn worker_back(&mut self, id: WorkerId, spec: WorkerSpec, step: &mut Step) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if spec.incarnation < worker.incarnation {
            return;
        }
        let restarted = spec.incarnation > worker.incarnation;
        worker.heard_at = step.now;
        worker.incarnation = spec.incarnation;
        worker.capacity = spec.capacity;
        worker.data_centre = spec.data_centre;
        worker.rack = spec.rack;
        // What was cordoned or withdrawn stays so over a restart.
        if worker.presence == Presence::Down {
            worker.presence = Presence::Up;
        }
        if restarted {
            self.lose_all(id, step);
        }
    }

    pub(super) fn worker_down(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.presence == Presence::Up
        {
            worker.presence = Presence::Down;
            self.freed = true;
        }
    }

    pub(super) fn cordon(&mut self, id: WorkerId, empty_by: Option<Duration>) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.is_lasting()
        {
            worker.presence = Presence::Cordoned(empty_by);
            self.freed = true;
        }
    }

    pub(super) fn uncordon(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(id)
            && matches!(worker.presence, Presence::Cordoned(_))
        {
            worker.presence = Presence::Up;
            self.freed = true;
        }
    }

    pub(super) fn withdraw(&mut self, id: WorkerId, empty_by: Duration) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.presence = Presence::Withdrawn(empty_by);
        }
        self.sum_capacity();
        self.refit = true;
        self.freed = true;
    }

    fn sum_capacity(&mut self) {
        let sum = self.lasting().map(|worker| worker.capacity);
        self.total = sum.fold(Size::default(), Size::plus);
    }

    fn lose_all(&mut self, id: WorkerId, step: &mut Step) {
        let tasks: Vec<JobId> = match self.workers.get(id) {
            Some(worker) => worker.tasks.clone(),
            None => return,
        };
        for job in tasks {
            self.lose(job, step);
        }
    }

    /// Counts the tasks of silent workers as lost once the workers can no
    /// longer be running them, and removes withdrawn workers that are empty.
    pub(super) fn end_leases(&mut self, step: &mut Step) {
        let wait = if self.terms.protections.lease_wait {
            self.terms.lease + self.terms.lease_margin
        } else {
            self.terms.suspect_after
        };
        let over = |worker: &Worker| step.now > worker.heard_at + wait;
        let silent = self.workers.iter().filter(|(_, worker)| over(worker));
        let silent: Vec<WorkerId> = silent.map(|(id, _)| id).collect();
        for id in silent {
            self.lose_all(id, step);
        }
        self.remove_withdrawn();
    }

    fn remove_withdrawn(&mut self) {
        let gone = |worker: &Worker| !worker.is_lasting() && worker.tasks.is_empty();
        let gone = self.workers.iter().filter(|(_, worker)| gone(worker));
        let gone: Vec<WorkerId> = gone.map(|(id, _)| id).collect();
        for id in gone {
            self.drop_claims_on(id);
            if let Some(worker) = self.workers.remove(id) {
                self.worker_names.swap_remove(&worker.name);
            }
        }
    }

    /// The workers on which the job is not tried again: those on which it
    /// failed, and those that failed others of its class, unless the class
    /// itself is bad or no other worker could take the job.
    pub(super) fn avoided(&self, id: JobId, now: Duration) -> Avoided<'_> {
        let job = self.jobs.get(id);
        let class = job
            .map(|job| job.class)
            .filter(|id| !self.is_bad_class(*id));
        let recent = |class: &&Class| now < class.failed_at + self.terms.avoid_for;
        let class = class.and_then(|id| self.class(id)).filter(recent);
        let avoided = Avoided {
            by_job: job.map_or(&[], |job| job.failed_on.as_slice()),
            by_class: class.map_or(&[], |class| class.failed_on.as_slice()),
        };
        if avoided.is_empty() || self.capable(id).any(|worker| !avoided.contains(worker)) {
            return avoided;
        }
        Avoided {
            by_job: &[],
            by_class: &[],
        }
    }

    /// The workers out of quarantine that are large enough for the job, whatever
    /// they hold now.
    pub(super) fn capable(&self, id: JobId) -> impl Iterator<Item = WorkerId> {
        let size = self.needed(id);
        let trusted = |worker: &Worker| worker.is_lasting() && !is_quarantined(worker);
        let workers = self.workers.iter();
        let trusted = workers.filter(move |(_, worker)| trusted(worker));
        let large = trusted.filter(move |(_, worker)| size.fits(worker.capacity));
        large.map(|(id, _)| id)
    }

    /// The worker that the policy chooses for `size` of the job's, if any has
    /// room now.
    pub(super) fn choose(&self, id: JobId, size: Size, now: Duration) -> Option<WorkerId> {
        let avoided = self.avoided(id, now);
        let heard_since = self.heard_since(now);
        let mut best = None;
        for (id, worker) in self.workers.iter() {
            let room = worker.has_room(size) || !self.terms.protections.room;
            if !room || !worker.takes_work(heard_since) {
                continue;
            }
            if avoided.contains(id) {
                continue;
            }
            let left = worker.free().minus(size);
            let badness = self.terms.policy.badness(left, worker.capacity);
            if best.is_none_or(|(least, _)| badness < least) {
                best = Some((badness, id));
            }
        }
        best.map(|(_, id)| id)
    }
}
