//! Reports of use correct what is set aside, and relieve what holds too much.

use super::{Placement, Step};
use crate::effect::{Cause, Effect};
use crate::event::{Priority, Report, TaskUsage};
use crate::job::{Job, Phase};
use crate::keys::{JobId, WorkerId};
use crate::size::Size;
use crate::worker::Presence;

impl Placement {
    pub(super) fn reported(&mut self, report: &Report, step: &mut Step) {
        let Some(worker) = self.workers.get_mut(report.worker) else {
            return;
        };
        if worker.incarnation != report.incarnation {
            return;
        }
        worker.heard_at = step.now;
        if worker.presence == Presence::Down {
            worker.presence = Presence::Up;
        }
        step.effects.push(Effect::Renew {
            worker: report.worker,
            lease: self.terms.lease,
        });
        for usage in &report.usage {
            self.note_usage(report, *usage, step);
        }
        self.relieve(report.worker, step);
        self.throttle(report, step);
    }

    fn note_usage(&mut self, report: &Report, usage: TaskUsage, step: &mut Step) {
        let id = usage.task.job;
        if !self.is_here(report.worker, usage) {
            step.effects.push(Effect::Stop {
                task: usage.task,
                cause: Cause::Obsolete,
            });
            return;
        }
        self.task_started(usage.task, step);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let grew = !usage.used.fits(job.peak);
        job.peak = job.peak.max(usage.used);
        let Some(task) = job.task_mut() else {
            return;
        };
        if report.measured_at < task.measured_at {
            return;
        }
        task.measured_at = report.measured_at;
        let class = job.class;
        if let Some(class) = self.class_mut(class) {
            class.note_seen();
        }
        if grew && self.exceeds_class(id, usage.used) {
            // Others of its class may be about to start.
            self.learn(id);
        }
        self.correct(id, usage.used);
    }

    fn exceeds_class(&self, id: JobId, used: Size) -> bool {
        let job = self.jobs.get(id);
        let class = job.and_then(|job| Some((job, self.class(job.class)?)));
        class.is_some_and(|(job, class)| !used.fits(class.estimate(job.declared)))
    }

    fn is_here(&self, worker: WorkerId, usage: TaskUsage) -> bool {
        let job = self.jobs.get(usage.task.job);
        let task = job.and_then(Job::task);
        let attempt = job.map(|job| job.attempt);
        attempt == Some(usage.task.attempt) && task.is_some_and(|task| task.worker == worker)
    }

    /// Sets aside less if the class turned out to need less, and never less
    /// than what is used.
    fn correct(&mut self, id: JobId, used: Size) {
        if !self.terms.protections.correction {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(held) = job.task().map(|task| task.size) else {
            return;
        };
        let size = self.needed(id).min(held).max(used);
        self.resize(id, size);
    }

    fn resize(&mut self, id: JobId, size: Size) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let team = job.team;
        let Some(task) = job.task_mut() else {
            return;
        };
        let before = std::mem::replace(&mut task.size, size);
        let (worker, leaving) = (task.worker, task.phase.is_leaving());
        let swap = |sum: &mut Size| *sum = sum.minus(before).plus(size);
        if let Some(worker) = self.workers.get_mut(worker) {
            swap(&mut worker.reserved);
            if leaving {
                swap(&mut worker.releasing);
            }
        }
        if let Some(team) = self.team_of_mut(team) {
            swap(&mut team.used);
            if leaving {
                swap(&mut team.releasing);
            }
        }
        self.freed |= !before.fits(size);
    }

    /// Takes tasks away until the rest of them fits the worker's memory.
    /// Processors may be short: that slows, and does not kill.
    fn relieve(&mut self, id: WorkerId, step: &mut Step) {
        while let Some(victim) = self.relief_victim(id, step) {
            if self.jobs.get(victim).is_some_and(Job::is_movable) {
                self.checkpoint(victim, Cause::Relief, step);
            } else {
                self.stop(victim, Cause::Relief, step);
            }
        }
    }

    /// The cheapest task that can be checkpointed; without one, the normal one
    /// that is furthest over its declared memory.
    fn relief_victim(&self, id: WorkerId, step: &Step) -> Option<JobId> {
        let worker = self.workers.get(id)?;
        let staying = worker.reserved.minus(worker.releasing);
        if staying.memory <= worker.capacity.memory {
            return None;
        }
        let stays = |job: &Job| {
            job.task().is_some_and(|task| !task.phase.is_leaving())
                && job.priority == Priority::Normal
        };
        let tasks = worker.tasks.iter();
        let tasks = tasks.filter_map(|id| Some((*id, self.jobs.get(*id)?)));
        let staying: Vec<(JobId, &Job)> = tasks.filter(|(_, job)| stays(job)).collect();
        if staying.len() < 2 && worker.tasks.len() < 2 {
            return None;
        }
        let cost = |job: &Job| job.task().map(|task| self.cost_of(task, step.now));
        let movable = staying.iter().filter(|(_, job)| job.is_movable());
        if let Some((id, _)) = movable.min_by_key(|(_, job)| cost(job)) {
            return Some(*id);
        }
        let excess = |job: &Job| job.peak.minus(job.declared).memory;
        let most = staying.iter().max_by_key(|(_, job)| excess(job));
        most.map(|(id, _)| *id)
    }

    /// Holds the normal task that is furthest over its declared processors to
    /// them, while a worker has none left.
    fn throttle(&mut self, report: &Report, step: &mut Step) {
        let Some(worker) = self.workers.get(report.worker) else {
            return;
        };
        let used = report
            .usage
            .iter()
            .map(|usage| u64::from(usage.used.processors));
        if used.sum::<u64>() <= u64::from(worker.capacity.processors) {
            return;
        }
        let excess = |usage: &TaskUsage| {
            let job = self.jobs.get(usage.task.job)?;
            let task = job.task()?;
            let open = job.priority == Priority::Normal && !task.throttled;
            let running = task.phase == Phase::Running;
            let excess = usage.used.minus(job.declared).processors;
            (open && running && excess > 0).then_some((excess, usage.task, job.declared.processors))
        };
        let worst = report.usage.iter().filter_map(excess).max();
        let Some((_, task, processors)) = worst else {
            return;
        };
        if let Some(held) = self.jobs.get_mut(task.job).and_then(Job::task_mut) {
            held.throttled = true;
        }
        step.effects.push(Effect::Throttle { task, processors });
    }
}
