//! Which pools have to be looked at, and which of their steps.
//!
//! With more work than room, looking at every step of every pool after each event
//! takes most of an owner's processor; so each pool is looked at only after something
//! changed there.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use indexmap::IndexSet;

use super::Scheduler;
use super::shares::{SharePolicy, Standing};
use super::step::{ActiveStep, Order};
use super::timing::Prospect;
use super::worker::WorkerKey;
use crate::{Size, StepId};

/// What a task takes beside its run: the call that starts it, the one that lists its
/// end, and the commit of that. Without it a pool with more work than room starts
/// each task just too late.
const ON_THE_WAY: Duration = Duration::from_millis(50);

/// Which step of a pool goes first; lower goes first.
type Rank = (u32, (Standing, Prospect), Order);

/// The pools where something may have made room or work.
#[derive(Clone, Debug)]
pub(crate) enum Unsettled {
    /// These.
    Pools(IndexSet<Box<str>>),
    /// All that have steps without a place.
    All,
}

impl Scheduler {
    /// Notes that tasks of a step may wait for a place.
    pub(super) fn make_ready(&mut self, id: StepId, pool: Box<str>) {
        self.unsettle(&pool);
        self.ready.entry(pool).or_default().insert(id);
    }

    pub(super) fn unsettle(&mut self, pool: &str) {
        if let Unsettled::Pools(pools) = &mut self.unsettled
            && !pools.contains(pool)
        {
            pools.insert(pool.into());
        }
    }

    pub(super) fn unsettle_pool_of(&mut self, key: WorkerKey) {
        let pool = self.workers[key].record.pool.clone();
        self.unsettle(&pool);
    }

    /// The pools to look at now.
    pub(super) fn take_unsettled(&mut self) -> Vec<Box<str>> {
        let none = Unsettled::Pools(IndexSet::new());
        match std::mem::replace(&mut self.unsettled, none) {
            Unsettled::Pools(pools) => pools.into_iter().collect(),
            Unsettled::All => self.ready.keys().cloned().collect(),
        }
    }

    /// Whether a step is within its customer's share.
    fn standing(&self, step: &ActiveStep) -> Standing {
        match (self.cfg.share_policy, step.charge.customer) {
            (SharePolicy::DeadlineFirst, _) | (_, None) => Standing::Within,
            (SharePolicy::ArrivalRate, _) => step.standing,
            (SharePolicy::ResourceUse, Some(customer)) => self.accounts.standing_by_usage(customer),
        }
    }

    /// The steps of a pool that wait for a place: the queue's class first, then
    /// what is within its customer's share, then what can still be in time. None if
    /// no step may fit into `room`. Steps of a customer that has all it may have are
    /// left out.
    ///
    /// A pass looks at the first few only, so they are not sorted all.
    pub(super) fn ready_steps(
        &mut self,
        pool: &str,
        room: Size,
    ) -> impl Iterator<Item = StepId> + use<> {
        let mut ids = self.ready.swap_remove(pool).unwrap_or_default();
        let mut ranked: Vec<Reverse<Rank>> = Vec::with_capacity(ids.len());
        let mut any = false;
        let mut capped = Vec::new();
        let reckoned = self.now + ON_THE_WAY;
        ids.retain(|id| {
            let step = self.steps.get(id);
            let Some(step) = step.filter(|step| !step.pending.is_empty()) else {
                return false;
            };
            let owned = step.charge.customer.is_some();
            if owned && !self.accounts.allows(step.charge, step.least_together()) {
                capped.push(*id);
                return true;
            }
            any |= step.may_fit(room);
            let standing = if owned {
                self.standing(step)
            } else {
                Standing::Within
            };
            let urgency = (standing, step.prospect(reckoned));
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
