//! Which pools need a scheduling pass, and in which order their steps are
//! scheduled.
//!
//! When there is more work than capacity, examining every step of every pool
//! after each event uses most of the owner's processor time. So a scheduling
//! pass covers a pool only after its workers or its steps have changed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use indexmap::IndexSet;

use super::Scheduler;
use super::shares::{SharePolicy, ShareStatus};
use super::step::{ActiveStep, StepOrder};
use super::timing::Timeliness;
use super::worker::WorkerKey;
use crate::{Size, StepId};

/// The time that a task takes in addition to its run: the call that starts it,
/// the call that lists its end, and the commit of that end. Without it, a pool
/// with more work than capacity would start each task just too late.
pub(super) const DISPATCH_OVERHEAD: Duration = Duration::from_millis(50);

/// The order in which the steps of a pool are scheduled; the lowest is first.
type Rank = (u32, (ShareStatus, Timeliness), StepOrder);

/// The pools that need a scheduling pass, since capacity or work may have been
/// added.
#[derive(Clone, Debug)]
pub(crate) enum DirtyPools {
    /// Only these pools.
    Pools(IndexSet<Box<str>>),
    /// All pools with steps that wait for a worker.
    All,
}

impl Scheduler {
    /// Records that tasks of a step may wait for a worker.
    pub(super) fn mark_step_ready(&mut self, id: StepId, pool: Box<str>) {
        self.request_scheduling(&pool);
        self.ready.entry(pool).or_default().insert(id);
    }

    /// Requests a scheduling pass of a pool.
    pub(super) fn request_scheduling(&mut self, pool: &str) {
        if let DirtyPools::Pools(pools) = &mut self.dirty_pools
            && !pools.contains(pool)
        {
            pools.insert(pool.into());
        }
    }

    /// Requests a scheduling pass of the pool of a worker, since what may be
    /// started on the worker has changed.
    pub(super) fn request_scheduling_for_worker(&mut self, key: WorkerKey) {
        let pool = self.workers[key].record.pool.clone();
        self.request_scheduling(&pool);
    }

    /// Returns the pools that need a scheduling pass, and clears the record of
    /// them.
    pub(super) fn take_dirty_pools(&mut self) -> Vec<Box<str>> {
        let none = DirtyPools::Pools(IndexSet::new());
        match std::mem::replace(&mut self.dirty_pools, none) {
            DirtyPools::Pools(pools) => pools.into_iter().collect(),
            DirtyPools::All => self.ready.keys().cloned().collect(),
        }
    }

    /// Whether a step is within its customer's share, by the policy in force.
    pub(super) fn share_status(&self, step: &ActiveStep) -> ShareStatus {
        match (self.cfg.share_policy, step.charge.customer) {
            (SharePolicy::DeadlineFirst, _) | (_, None) => ShareStatus::Within,
            (SharePolicy::ArrivalRate, _) => step.share_status,
            (SharePolicy::ResourceUse, Some(customer)) => {
                self.accounts.share_status_by_usage(customer)
            }
        }
    }

    /// The steps of a pool that wait for a worker, in scheduling order: by the
    /// priority of their queue, then those within their customer's share, then
    /// those that can still meet their objective. Returns none if no step may
    /// fit into `max_free`. Steps of a customer whose cap is reached are left out.
    ///
    /// A pass examines only the first few steps, so the steps are put on a heap
    /// rather than sorted.
    pub(super) fn ready_steps(
        &mut self,
        pool: &str,
        max_free: Size,
    ) -> impl Iterator<Item = StepId> + use<> {
        let mut ids = self.ready.swap_remove(pool).unwrap_or_default();
        let mut ranked: Vec<Reverse<Rank>> = Vec::with_capacity(ids.len());
        let mut any = false;
        let mut capped = Vec::new();
        let dispatched_at = self.now + DISPATCH_OVERHEAD;
        ids.retain(|id| {
            let step = self.steps.get(id);
            let Some(step) = step.filter(|step| !step.pending.is_empty()) else {
                return false;
            };
            let owned = step.charge.customer.is_some();
            if owned && !self.accounts.allows(step.charge, step.min_start_count()) {
                capped.push(*id);
                return true;
            }
            any |= step.may_fit(max_free);
            let share_status = if owned {
                self.share_status(step)
            } else {
                ShareStatus::Within
            };
            let urgency = (share_status, step.timeliness(dispatched_at));
            ranked.push(Reverse((step.order.priority, urgency, step.order)));
            true
        });
        if !ids.is_empty() {
            self.ready.insert(pool.into(), ids);
        }
        if !any {
            ranked.clear();
        }
        capped
            .into_iter()
            .for_each(|id| self.record_cap_reached(id));
        let mut heap = BinaryHeap::from(ranked);
        std::iter::from_fn(move || heap.pop().map(|Reverse((.., order))| order.step))
    }
}
