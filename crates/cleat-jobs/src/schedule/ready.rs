//! Which pools have to be looked at, and which of their steps.
//!
//! Looking at every step of every pool after each event took 204 us a start
//! where 350 workers have more work than room (measured by the example
//! `decision_cost`); so each pool is looked at only after something changed
//! there.

use indexmap::IndexSet;

use super::Scheduler;
use super::step::Order;
use super::timing::Prospect;
use super::worker::WorkerKey;
use crate::{Size, StepId};

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

    /// The steps of a pool that may have a task for `room`: the queue's class
    /// first, then what can still be in time.
    pub(super) fn ready_steps(&mut self, pool: &str, room: Size) -> Vec<StepId> {
        let Some(mut ids) = self.ready.swap_remove(pool) else {
            return Vec::new();
        };
        let mut ranked: Vec<(Prospect, Order)> = Vec::new();
        ids.retain(|id| {
            let step = self.steps.get(id);
            let Some(step) = step.filter(|step| !step.pending.is_empty()) else {
                return false;
            };
            if step.may_fit(room) {
                ranked.push((step.prospect(self.now), step.order));
            }
            true
        });
        ranked.sort_unstable_by_key(|(prospect, order)| (order.priority, *prospect, *order));
        if !ids.is_empty() {
            self.ready.insert(pool.into(), ids);
        }
        ranked.into_iter().map(|(_, order)| order.step).collect()
    }
}
