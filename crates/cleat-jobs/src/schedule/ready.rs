//! Which pools need a scheduling pass, and in which order their steps are
//! scheduled.
//!
//! When there is more work than capacity, examining every step of every pool
//! after each event uses most of the owner's processor time. So a scheduling
//! pass covers a pool only after its workers or its steps have changed, and it
//! examines the waiting steps in an order that is kept between passes.

use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use super::Scheduler;
use super::parked::ParkedSteps;
use super::shares::{SharePolicy, ShareStatus};
use super::step::{ActiveStep, StepOrder};
use super::timing::Timeliness;
use super::withholding::Withholding;
use super::worker::WorkerKey;
use crate::StepId;
use crate::collections::{IndexMap, IndexSet};

/// The time that a task takes in addition to its run: the call that starts it,
/// the call that lists its end, and the commit of that end. Without it, a pool
/// with more work than capacity would start each task just too late.
pub(super) const DISPATCH_OVERHEAD: Duration = Duration::from_millis(50);

/// The place of a step among the waiting steps of its pool; the lowest is first:
/// by the priority of the queue, then steps within their customer's share, then
/// those that can still meet their objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    priority: u32,
    share_status: ShareStatus,
    timeliness: Timeliness,
    order: StepOrder,
}

impl Rank {
    /// The step that has this rank.
    pub(super) fn step(&self) -> StepId {
        self.order.step
    }
}

/// What decides on which workers a step may be placed. A search can leave out whole classes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StepClass {
    /// Whether its starts need the adviser's permission.
    advised: bool,
    /// The label that it needs of a worker, if any.
    label: Option<Box<str>>,
}

/// The steps that a search leaves out.
#[derive(Clone, Debug, Default)]
pub(super) struct LeftOutSteps {
    /// Whether these include those that need the adviser's permission.
    pub(super) advised: bool,
    /// The labels of those that need one of these.
    pub(super) labels: IndexSet<Box<str>>,
}

impl LeftOutSteps {
    fn contains(&self, class: &StepClass) -> bool {
        let label = class.label.as_ref();
        (self.advised && class.advised) || label.is_some_and(|label| self.labels.contains(label))
    }
}

/// The rank of a step, and how long it is valid.
#[derive(Clone, Debug)]
struct RankedStep {
    rank: Rank,
    class: StepClass,
    /// The time after which the rank is outdated, since the step's timeliness
    /// changes; `None` if it does not.
    valid_until: Option<Duration>,
}

/// The steps of a pool that may have tasks waiting for a worker.
#[derive(Debug, Default)]
pub(crate) struct ReadySteps {
    steps: IndexMap<StepId, RankedStep>,
    /// The ranks of `steps` by their class, in scheduling order.
    ///
    /// Invariant: one for each of `steps`, and no class is empty.
    ranked: IndexMap<StepClass, BTreeSet<Rank>>,
    /// When ranks become outdated.
    ///
    /// Invariant: one for each of `steps` whose rank does.
    expiries: BTreeSet<(Duration, StepId)>,
    /// Steps that became ready since the last pass and have no rank yet.
    unranked: IndexSet<StepId>,
    /// Steps that passes leave out.
    ///
    /// Invariant: they are not among `steps` and `unranked`.
    pub(super) parked: ParkedSteps,
    /// Whether free capacity is withheld from steps behind those that wait for it.
    pub(super) withholding: Withholding,
    /// When it was last logged that a pass was limited.
    limit_logged_at: Option<Duration>,
}

impl ReadySteps {
    fn insert(&mut self, step: RankedStep) {
        let id = step.rank.step();
        self.remove(id);
        let ranks = self.ranked.entry(step.class.clone()).or_default();
        ranks.insert(step.rank);
        self.expiries
            .extend(step.valid_until.map(|until| (until, id)));
        self.steps.insert(id, step);
    }

    /// Removes the rank of a step.
    pub(super) fn remove(&mut self, id: StepId) {
        let Some(step) = self.steps.swap_remove(&id) else {
            return;
        };
        if let Some(ranks) = self.ranked.get_mut(&step.class) {
            ranks.remove(&step.rank);
            if ranks.is_empty() {
                self.ranked.swap_remove(&step.class);
            }
        }
        if let Some(until) = step.valid_until {
            self.expiries.remove(&(until, id));
        }
    }

    /// Has these steps ranked by the next pass.
    pub(super) fn rank_later(&mut self, ids: impl IntoIterator<Item = StepId>) {
        self.unranked.extend(ids);
    }

    /// Takes the steps that have to be ranked: those without a rank, and those
    /// whose rank is outdated at `now`.
    fn take_unranked(&mut self, now: Duration) -> IndexSet<StepId> {
        let mut unranked = std::mem::take(&mut self.unranked);
        while let Some((_, id)) = self.expiries.first().filter(|(until, _)| *until < now) {
            let id = *id;
            unranked.insert(id);
            self.remove(id);
        }
        unranked
    }

    /// Removes all ranks.
    fn unrank_all(&mut self) {
        self.ranked.clear();
        self.expiries.clear();
        self.unranked.extend(self.steps.drain(..).map(|(id, _)| id));
    }

    /// Whether a limited pass may be logged now. At most one is in each `interval`.
    pub(super) fn may_log_limit(&mut self, now: Duration, interval: Duration) -> bool {
        let allowed = self.limit_logged_at.is_none_or(|at| now >= at + interval);
        if allowed {
            self.limit_logged_at = Some(now);
        }
        allowed
    }

    /// The step after the one with rank `previous`, or the first one; without those left out.
    pub(super) fn after(&self, previous: Option<Rank>, left_out: &LeftOutSteps) -> Option<Rank> {
        let from = previous.map_or(Bound::Unbounded, Bound::Excluded);
        let classes = self.ranked.iter();
        let searched = classes.filter(|(class, _)| !left_out.contains(class));
        let next = searched.filter_map(|(_, ranks)| ranks.range((from, Bound::Unbounded)).next());
        next.min().copied()
    }
}

/// The pools that need a scheduling pass, since capacity or work may have been
/// added.
#[derive(Clone, Debug)]
pub(crate) enum DirtyPools {
    /// Only these pools.
    Pools(IndexSet<Box<str>>),
    /// All pools with steps that wait for a worker.
    All,
}

impl DirtyPools {
    fn add(&mut self, pool: &str) {
        if let DirtyPools::Pools(pools) = self
            && !pools.contains(pool)
        {
            pools.insert(pool.into());
        }
    }
}

impl Scheduler {
    /// Records that tasks of an active step may wait for a worker.
    pub(super) fn mark_step_ready(&mut self, id: StepId) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        self.dirty_pools.add(&step.pool);
        if !self.ready.contains_key(&step.pool) {
            self.ready.insert(step.pool.clone(), ReadySteps::default());
        }
        let ready = &mut self.ready[&step.pool];
        ready.parked.remove(id);
        ready.unranked.insert(id);
    }

    /// Requests a scheduling pass of a pool.
    pub(super) fn request_scheduling(&mut self, pool: &str) {
        self.dirty_pools.add(pool);
    }

    /// Requests a scheduling pass of the pool of a worker, since what may be
    /// started on the worker has changed.
    pub(super) fn request_scheduling_for_worker(&mut self, key: WorkerKey) {
        self.dirty_pools.add(&self.workers[key].record.pool);
    }

    /// Returns the pools that need a scheduling pass, in the order in which they
    /// may use the window of starts, and clears the record of them.
    pub(super) fn take_dirty_pools(&mut self) -> Vec<Box<str>> {
        let none = DirtyPools::Pools(IndexSet::default());
        let mut pools: Vec<Box<str>> = match std::mem::replace(&mut self.dirty_pools, none) {
            DirtyPools::Pools(pools) => pools.into_iter().collect(),
            DirtyPools::All => self.ready.keys().cloned().collect(),
        };
        self.order_by_window_use(&mut pools);
        pools
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

    /// Ranks the waiting steps of a pool that have no rank or an outdated one.
    pub(super) fn rank_ready_steps(&mut self, pool: &str) {
        let Some(mut ready) = self.ready.swap_remove(pool) else {
            return;
        };
        // With this policy each start and each end may change the ranks.
        if self.cfg.share_policy == SharePolicy::ResourceUse {
            ready.unrank_all();
        }
        for id in ready.take_unranked(self.now) {
            match self.rank(id) {
                Some(step) => ready.insert(step),
                None => ready.remove(id),
            }
        }
        if !ready.steps.is_empty() || !ready.parked.is_empty() {
            self.ready.insert(pool.into(), ready);
        }
    }

    /// The rank of a step with waiting tasks.
    fn rank(&self, id: StepId) -> Option<RankedStep> {
        let step = self.steps.get(&id)?;
        let step = Some(step).filter(|step| !step.pending.is_empty())?;
        let timeliness = step.timeliness(self.now + DISPATCH_OVERHEAD);
        let rank = Rank {
            priority: step.order.priority,
            share_status: self.share_status(step),
            timeliness,
            order: step.order,
        };
        let latest_start = step.latest_start(timeliness);
        Some(RankedStep {
            rank,
            class: StepClass {
                advised: step.advised,
                label: step.required_label.clone(),
            },
            valid_until: latest_start.map(|at| at.saturating_sub(DISPATCH_OVERHEAD)),
        })
    }

    /// The next step of a pool that may start tasks, in scheduling order after
    /// `previous`. Steps of a customer whose cap is reached are left out as well.
    pub(super) fn next_ready_step(
        &mut self,
        pool: &str,
        previous: Option<Rank>,
        left_out: &LeftOutSteps,
    ) -> Option<Rank> {
        let mut previous = previous;
        loop {
            let rank = self.ready.get(pool)?.after(previous, left_out)?;
            previous = Some(rank);
            let id = rank.step();
            let step = self.steps.get(&id);
            let Some(step) = step.filter(|step| !step.pending.is_empty()) else {
                if let Some(ready) = self.ready.get_mut(pool) {
                    ready.remove(id);
                }
                continue;
            };
            if self.accounts.allows(step.charge, step.min_start_count()) {
                return Some(rank);
            }
            self.record_cap_reached(id);
        }
    }
}
