//! Places kept for single jobs until they are free.

use super::{Placement, Step};
use crate::job::{Claim, WaitReason};
use crate::keys::{JobId, WorkerId};
use crate::size::Size;
use crate::worker::Presence;

impl Placement {
    /// Keeps a place for the job, which has none yet.
    pub(super) fn claim(&mut self, id: JobId, worker: WorkerId, size: Size) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.claim = Some(Claim { worker, size });
        let team = job.team;
        self.claims.push(id);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.claimed = worker.claimed.plus(size);
        }
        if let Some(team) = self.team_of_mut(team) {
            team.claimed = team.claimed.plus(size);
        }
    }

    pub(super) fn unclaim(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(claim) = job.claim.take() else {
            return;
        };
        let team = job.team;
        self.claims.retain(|other| *other != id);
        if let Some(worker) = self.workers.get_mut(claim.worker) {
            worker.claimed = worker.claimed.minus(claim.size);
        }
        if let Some(team) = self.team_of_mut(team) {
            team.claimed = team.claimed.minus(claim.size);
        }
        self.freed = true;
    }

    /// Starts the jobs whose places are free, and gives up places that can't
    /// become free.
    pub(super) fn serve_claims(&mut self, step: &mut Step) {
        for id in self.claims.clone() {
            self.serve_claim(id, step);
        }
    }

    fn serve_claim(&mut self, id: JobId, step: &mut Step) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(claim) = job.claim else {
            return;
        };
        if !self.can_hold(claim.worker, step) {
            self.give_up_claim(id);
            return;
        }
        let waits = job.task().is_none();
        if waits && self.is_free(id, claim) {
            self.unclaim(id);
            self.start(id, claim.worker, claim.size, step);
        }
    }

    fn is_free(&self, id: JobId, claim: Claim) -> bool {
        let Some(worker) = self.workers.get(claim.worker) else {
            return false;
        };
        let team = self.jobs.get(id).and_then(|job| self.team_of(job.team));
        let allowed = !self.terms.protections.quotas
            || team.is_some_and(|team| team.allows(claim.size, team.used));
        allowed && claim.size.plus(worker.reserved).fits(worker.capacity)
    }

    fn can_hold(&self, worker: WorkerId, step: &Step) -> bool {
        let since = self.heard_since(step.now);
        let worker = self.workers.get(worker);
        worker.is_some_and(|w| w.presence == Presence::Up && w.heard_at >= since)
    }

    fn give_up_claim(&mut self, id: JobId) {
        self.unclaim(id);
        let waits = self.jobs.get(id).is_some_and(|job| job.task().is_none());
        if waits {
            self.set_reason(id, WaitReason::Turn);
            self.enqueue(id, true);
        }
    }

    pub(super) fn drop_claims_on(&mut self, worker: WorkerId) {
        let on = |id: &JobId| {
            let claim = self.jobs.get(*id).and_then(|job| job.claim);
            claim.is_some_and(|claim| claim.worker == worker)
        };
        let ids: Vec<JobId> = self.claims.iter().copied().filter(on).collect();
        for id in ids {
            self.give_up_claim(id);
        }
    }
}
