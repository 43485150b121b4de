//! Jobs come, wait, are refused and end.

use std::time::Duration;

use super::{Placement, Step};
use crate::effect::{Cause, Effect, End, Limit};
use crate::estimate::Class;
use crate::event::{JobSpec, Priority};
use crate::job::{Job, Phase, State, WaitReason};
use crate::keys::{ClassId, JobId, TeamId};
use crate::size::{Resource, Size};
use crate::worker::Worker;

impl Placement {
    pub(super) fn submit(&mut self, spec: JobSpec, step: &mut Step) {
        if self.job_names.contains_key(&spec.name) {
            return;
        }
        let Some(class) = self.class_for(spec.team, &spec.class) else {
            return;
        };
        let name = spec.name.clone();
        let id = self.jobs.insert(Job::new(spec, class, step.now));
        self.job_names.insert(name, id);
        if let Some(limit) = self.never_fits(id) {
            self.refuse(id, limit, step);
            return;
        }
        // An urgent job does not wait for the next tick.
        if !self.is_express(id) || !self.place_urgent(id, step) {
            self.enqueue(id, false);
        }
    }

    fn class_for(&mut self, team: TeamId, name: &str) -> Option<ClassId> {
        let next = u32::try_from(self.classes.len()).map(ClassId).ok()?;
        let team = self.team_of_mut(team)?;
        if let Some(class) = team.class(name) {
            return Some(class);
        }
        team.classes.insert(name.into(), next);
        self.classes.push(Class::default());
        Some(next)
    }

    /// Whether the job goes ahead of the queues.
    fn is_express(&self, id: JobId) -> bool {
        let urgent = |job: &Job| job.priority == Priority::Urgent;
        self.terms.protections.urgent_lane && self.jobs.get(id).is_some_and(urgent)
    }

    /// Puts a job that waits for its turn where its turn comes.
    pub(super) fn enqueue(&mut self, id: JobId, front: bool) {
        if self.is_express(id) {
            self.urgent.push_back(id);
            return;
        }
        let Some(team) = self.jobs.get(id).map(|job| job.team) else {
            return;
        };
        let Some(team) = self.team_of_mut(team) else {
            return;
        };
        if front {
            team.queue.push_front(id);
        } else {
            team.queue.push_back(id);
        }
    }

    /// A job whose task is gone waits again, ahead of those that never ran.
    pub(super) fn requeue(&mut self, id: JobId, step: &mut Step) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.waits_since = step.now;
        let claimed = job.claim.is_some();
        let reason = if claimed {
            WaitReason::Place
        } else {
            WaitReason::Turn
        };
        job.state = State::Waiting(reason);
        if let Some(limit) = self.never_fits(id) {
            self.refuse(id, limit, step);
        } else if !claimed {
            self.enqueue(id, true);
        }
    }

    pub(super) fn set_reason(&mut self, id: JobId, reason: WaitReason) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.state = State::Waiting(reason);
        }
    }

    pub(super) fn cancel(&mut self, id: JobId, step: &mut Step) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled = true;
        let Some(task) = job.task() else {
            self.close(id, End::Cancelled, step);
            return;
        };
        let phase = task.phase;
        let task = job.task_id(id);
        self.unclaim(id);
        if phase.is_leaving() {
            return;
        }
        if self.terms.protections.pacing {
            self.set_phase(id, Phase::StopDue(Cause::Cancelled));
            self.stops.push_back(task);
        } else {
            self.stop(id, Cause::Cancelled, step);
        }
    }

    pub(super) fn close(&mut self, id: JobId, end: End, step: &mut Step) {
        let Some(name) = self.forget(id) else {
            return;
        };
        let job = id;
        step.effects.push(Effect::Closed { job, name, end });
    }

    pub(super) fn refuse(&mut self, id: JobId, limit: Limit, step: &mut Step) {
        let Some(name) = self.forget(id) else {
            return;
        };
        self.stats.refusals += 1;
        let job = id;
        step.effects.push(Effect::Refuse { job, name, limit });
    }

    fn forget(&mut self, id: JobId) -> Option<Box<str>> {
        self.unclaim(id);
        let job = self.jobs.remove(id)?;
        self.job_names.swap_remove(&job.name);
        Some(job.name)
    }

    /// What to set aside for the job: its declared size corrected by its class
    /// and by its own earlier attempts.
    pub(super) fn needed(&self, id: JobId) -> Size {
        let Some(job) = self.jobs.get(id) else {
            return Size::default();
        };
        let estimate = self.estimate(job);
        if self.is_within_reach(estimate, job.team) {
            return estimate;
        }
        // One class's correction is no reason to keep a job waiting that fits
        // as declared: it gets all that can be had.
        let reach = self.reach(job.declared, job.team);
        estimate.min(reach).max(job.declared.min(reach))
    }

    /// What to set aside for the job at its start: more memory than it declares
    /// while nothing is known of its class.
    pub(super) fn needed_at_first(&self, id: JobId, now: Duration) -> Size {
        let needed = self.needed(id);
        let Some(job) = self.jobs.get(id) else {
            return needed;
        };
        let seen = self.class(job.class).is_none_or(Class::is_seen);
        let patient = now < job.waits_since + self.terms.trust_after;
        if seen || !patient || !self.terms.protections.probing {
            return needed;
        }
        let memory = needed.memory.saturating_mul(self.terms.distrust);
        let wary = Size { memory, ..needed };
        let reach = self.reach(job.declared, job.team);
        needed.max(wary.min(reach))
    }

    pub(super) fn estimate(&self, job: &Job) -> Size {
        if !self.terms.protections.correction {
            return job.declared;
        }
        let class = self.class(job.class);
        let estimate = class.map_or(job.declared, |class| class.estimate(job.declared));
        let peak = Size {
            accelerators: 0,
            ..job.peak
        };
        let corrected = estimate.max(peak);
        // It may have been killed for want of what its class does not need.
        if job.failures > 0 || job.parkings > 0 {
            return corrected.max(job.declared);
        }
        corrected
    }

    fn is_within_reach(&self, size: Size, team: TeamId) -> bool {
        let allowed = self.quota(team).is_none_or(|quota| size.fits(quota));
        allowed && self.lasting().any(|worker| size.fits(worker.capacity))
    }

    /// The most that a job of `declared` size can get.
    fn reach(&self, declared: Size, team: TeamId) -> Size {
        let fitting = self.lasting().filter(|w| declared.fits(w.capacity));
        let largest = fitting.max_by_key(|worker| worker.capacity.dominant_share(self.total));
        let largest = largest.map_or(declared, |worker| worker.capacity);
        match self.quota(team) {
            Some(quota) => largest.min(quota),
            None => largest,
        }
    }

    fn quota(&self, team: TeamId) -> Option<Size> {
        if !self.terms.protections.quotas {
            return None;
        }
        self.team_of(team)?.quota
    }

    pub(super) fn lasting(&self) -> impl Iterator<Item = &Worker> {
        let workers = self.workers.iter().map(|(_, worker)| worker);
        workers.filter(|worker| worker.is_lasting())
    }

    /// The limit that keeps the job from ever running, as declared and as
    /// corrected. Without any worker nothing can be said.
    pub(super) fn never_fits(&self, id: JobId) -> Option<Limit> {
        let job = self.jobs.get(id)?;
        if !self.terms.protections.refusal {
            return None;
        }
        let size = job.declared.min(self.estimate(job));
        if let Some(limit) = self.over_quota(size, job.team) {
            return Some(limit);
        }
        if self.lasting().any(|worker| size.fits(worker.capacity)) {
            return None;
        }
        let most = self.lasting().map(|w| w.capacity).reduce(Size::max)?;
        if let Some(resource) = size.exceeding(most) {
            return Some(Limit::Worker {
                resource,
                needed: size.amount(resource),
                largest: most.amount(resource),
            });
        }
        self.combination(size)
    }

    fn over_quota(&self, size: Size, team: TeamId) -> Option<Limit> {
        let quota = self.quota(team)?;
        let resource = size.exceeding(quota)?;
        Some(Limit::TeamQuota {
            resource,
            needed: size.amount(resource),
            quota: quota.amount(resource),
        })
    }

    fn combination(&self, size: Size) -> Option<Limit> {
        let lack = |worker: &&Worker| size.minus(worker.capacity).dominant_share(size);
        let closest = self.lasting().min_by_key(lack)?.capacity;
        let resource: Resource = size.exceeding(closest)?;
        Some(Limit::Combination {
            resource,
            needed: size.amount(resource),
            closest: closest.amount(resource),
        })
    }

    /// Refuses waiting jobs that can no longer ever fit.
    pub(super) fn refuse_unfit(&mut self, step: &mut Step) {
        if !std::mem::take(&mut self.refit) {
            return;
        }
        let waiting = self.jobs.iter().filter(|(_, job)| job.task().is_none());
        let waiting: Vec<JobId> = waiting.map(|(id, _)| id).collect();
        for id in waiting {
            if let Some(limit) = self.never_fits(id) {
                self.refuse(id, limit, step);
            }
        }
    }
}
