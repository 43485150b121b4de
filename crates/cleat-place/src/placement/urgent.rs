//! Urgent jobs: into free room at once, else in place of the cheapest work.

use super::{Placement, Step};
use crate::effect::Cause;
use crate::job::{Job, Phase, WaitReason};
use crate::keys::{JobId, TaskId, TeamId, WorkerId};
use crate::size::Size;

/// How many waiting urgent jobs a tick looks at.
pub(super) const URGENT_PER_TICK: usize = 64;

/// Where an urgent job will run, and what makes way for it.
struct Plan {
    worker: WorkerId,
    victims: Vec<JobId>,
    cost: u64,
}

impl Placement {
    /// Looks at `most` waiting urgent jobs, those longest not looked at first.
    pub(super) fn serve_urgent(&mut self, most: usize, step: &mut Step) {
        let count = self.urgent.len().min(most);
        for _ in 0..count {
            let Some(id) = self.urgent.pop_front() else {
                return;
            };
            if !self.jobs.get(id).is_some_and(Job::is_ready) {
                continue;
            }
            if !self.place_urgent(id, step) {
                self.urgent.push_back(id);
            }
        }
    }

    /// Whether the job got a place, free now or later.
    pub(super) fn place_urgent(&mut self, id: JobId, step: &mut Step) -> bool {
        let Some(team) = self.jobs.get(id).map(|job| job.team) else {
            return true;
        };
        let size = self.needed(id);
        for size in [self.needed_at_first(id, step.now), size] {
            if self.allows_now(team, size)
                && let Some(worker) = self.choose(id, size, step.now)
            {
                self.start(id, worker, size, step);
                return true;
            }
        }
        if !self.terms.protections.preemption {
            self.set_reason(id, WaitReason::Capacity);
            return false;
        }
        self.preempt(id, size, step)
    }

    fn preempt(&mut self, id: JobId, size: Size, step: &mut Step) -> bool {
        let Some(own) = self.quota_victims(id, size, step) else {
            self.set_reason(id, WaitReason::Quota);
            return false;
        };
        let Some(plan) = self.cheapest_plan(id, size, &own, step) else {
            self.set_reason(id, WaitReason::Capacity);
            return false;
        };
        self.set_reason(id, WaitReason::Place);
        self.claim(id, plan.worker, size);
        for victim in own.into_iter().chain(plan.victims) {
            self.checkpoint(victim, Cause::Urgent, step);
        }
        self.expedite(plan.worker, step);
        self.expedite_team(id, step);
        true
    }

    /// Whether the team may hold `size` more beside what it holds and claims.
    pub(super) fn allows_now(&self, team: TeamId, size: Size) -> bool {
        let Some(team) = self.team_of(team) else {
            return false;
        };
        !self.terms.protections.quotas || team.allows(size, team.used.plus(team.claimed))
    }

    /// The cheapest of the team's own tasks that must go for its quota; `None`
    /// if that is not enough.
    fn quota_victims(&self, id: JobId, size: Size, step: &Step) -> Option<Vec<JobId>> {
        let team_id = self.jobs.get(id)?.team;
        let team = self.team_of(team_id)?;
        let mut held = team.used.minus(team.releasing).plus(team.claimed);
        if !self.terms.protections.quotas || team.allows(size, held) {
            return Some(Vec::new());
        }
        let own = self.jobs.iter().filter(|(_, job)| job.team == team_id);
        let mut own = self.by_cost(own.map(|(id, _)| id), step);
        let mut victims = Vec::new();
        while !team.allows(size, held) {
            if own.is_empty() {
                return None;
            }
            let (_, victim, freed) = own.remove(0);
            held = held.minus(freed);
            victims.push(victim);
        }
        Some(victims)
    }

    /// The movable ones among `ids`, cheapest first, with their cost and size.
    fn by_cost(&self, ids: impl Iterator<Item = JobId>, step: &Step) -> Vec<(u64, JobId, Size)> {
        let movable = ids.filter_map(|id| {
            let job = self.jobs.get(id)?;
            let task = job.task()?;
            let cost = self.cost_of(task, step.now);
            job.is_movable().then_some((cost, id, task.size))
        });
        let mut movable: Vec<_> = movable.collect();
        movable.sort_unstable_by_key(|(cost, id, _)| (*cost, *id));
        movable
    }

    fn cheapest_plan(&self, id: JobId, size: Size, own: &[JobId], step: &Step) -> Option<Plan> {
        let avoided = self.avoided(id, step.now);
        let since = self.heard_since(step.now);
        let workers = self.workers.iter().filter(|(id, worker)| {
            size.fits(worker.capacity) && worker.takes_work(since) && !avoided.contains(*id)
        });
        let plans = workers.filter_map(|(id, _)| self.plan_on(id, size, own, step));
        plans.min_by_key(|plan| plan.cost)
    }

    /// What has to leave one worker so that `size` fits.
    fn plan_on(&self, id: WorkerId, size: Size, own: &[JobId], step: &Step) -> Option<Plan> {
        let worker = self.workers.get(id)?;
        let mut held = worker.staying();
        for victim in own {
            let task = self.jobs.get(*victim)?.task()?;
            if task.worker == id {
                held = held.minus(task.size);
            }
        }
        let mut plan = Plan {
            worker: id,
            victims: Vec::new(),
            cost: 0,
        };
        if size.plus(held).fits(worker.capacity) {
            return Some(plan);
        }
        let others = worker.tasks.iter().copied();
        let others = others.filter(|job| !own.contains(job));
        let mut freed = Vec::new();
        for (cost, victim, room) in self.by_cost(others, step) {
            let short = size.plus(held).minus(worker.capacity);
            if short.min(room).is_empty() {
                continue;
            }
            held = held.minus(room);
            freed.push((cost, victim, room));
            if size.plus(held).fits(worker.capacity) {
                break;
            }
        }
        if !size.plus(held).fits(worker.capacity) {
            return None;
        }
        for (cost, victim, room) in freed.into_iter().rev() {
            // The dearest go back first if the rest is enough without them.
            let with = held.plus(room);
            if size.plus(with).fits(worker.capacity) {
                held = with;
            } else {
                plan.victims.push(victim);
                plan.cost += cost;
            }
        }
        Some(plan)
    }

    /// Makes the stops at once that an urgent job waits for on its worker.
    fn expedite(&mut self, worker: WorkerId, step: &mut Step) {
        let tasks = match self.workers.get(worker) {
            Some(worker) => worker.tasks.clone(),
            None => return,
        };
        for id in tasks {
            if let Some(task) = self.jobs.get(id).map(|job| job.task_id(id)) {
                self.stop_if_due(task, step);
            }
        }
    }

    /// Makes those stops of the job's team at once that its quota needs.
    fn expedite_team(&mut self, id: JobId, step: &mut Step) {
        let Some(team_id) = self.jobs.get(id).map(|job| job.team) else {
            return;
        };
        let Some(team) = self.team_of(team_id) else {
            return;
        };
        let mut held = team.used.plus(team.claimed);
        let quota = team.quota;
        let due: Vec<TaskId> = self.stops.iter().copied().collect();
        for task in due {
            if quota.is_none_or(|quota| held.fits(quota)) {
                return;
            }
            let job = self.jobs.get(task.job).filter(|job| job.team == team_id);
            let Some(held_task) = job.and_then(Job::task) else {
                continue;
            };
            if matches!(held_task.phase, Phase::StopDue(_)) {
                held = held.minus(held_task.size);
                self.stop_if_due(task, step);
            }
        }
    }
}
