//! A scheduling pass: which waiting steps of a pool are examined, and when it ends.
//!
//! A pass follows each change in a pool, so it may examine only a few steps in vain. It
//! ends after some steps that wait for capacity in use, which withholds the free capacity
//! of the workers that they could use; the module `sharing` examines what is behind them.
//! Steps that wait for anything else withhold nothing: they are parked, or left out of the
//! rest of the pass.

use super::Scheduler;
use super::decision::WaitReason;
use super::ready::{LeftOutSteps, Rank};
use super::speed::SlowWorkers;
use super::step::ActiveStep;
use super::takeover::HiddenStarts;
use super::waiting::UnplacedSteps;
use super::withholding::Withholding;
use super::worker::WorkerKey;
use crate::collections::IndexMap;
use crate::state::ControlState;
use crate::{Size, StepId};

/// The number of steps that wait for capacity in use after which a pass ends. Free
/// capacity can then accumulate for large tasks, and a pass over a full pool is short.
const MAX_WAITING_STEPS: usize = 12;
/// The number of steps without permission after which a pass examines no more of those
/// that need one.
const MAX_STEPS_WITHOUT_PERMISSION: usize = 12;
/// The number of steps that one pass parks. The next one goes on behind them.
const MAX_PARKED_STEPS: usize = 256;

/// What a pass over one pool works with.
#[derive(Debug)]
pub(super) struct Pass {
    pub(super) pool: Box<str>,
    /// The workers on which tasks start.
    candidates: Vec<WorkerKey>,
    slow: SlowWorkers,
    /// The candidates and the slow workers.
    pub(super) usable: Vec<WorkerKey>,
    /// These as they were at the beginning of the pass.
    all: Vec<WorkerKey>,
    /// Starting tasks does not change this position, so it is determined once per pass.
    hidden: HiddenStarts,
    /// At least the maximum of each resource that is free on any usable worker.
    pub(super) max_free: Size,
    /// The same for the usable workers with a label, as far as it was asked for.
    max_free_by_label: IndexMap<Box<str>, Size>,
    /// Whether the last pass withheld capacity.
    withheld: bool,
    /// The steps that wait for capacity in use.
    pub(super) waiting: Vec<StepId>,
    without_permission: usize,
    pub(super) parked: usize,
    /// The steps that the rest of the pass leaves out.
    pub(super) left_out: LeftOutSteps,
}

impl Pass {
    /// Uses these workers no more.
    pub(super) fn leave_out(&mut self, workers: &[WorkerKey]) {
        let stays = |key: &WorkerKey| !workers.contains(key);
        self.candidates.retain(stays);
        self.slow.keys.retain(stays);
        self.usable.retain(stays);
        self.max_free_by_label.clear();
    }
}

impl Scheduler {
    /// Starts the tasks that fit, in the pools where something changed.
    pub(super) fn place_ready_steps(&mut self, state: &ControlState) {
        let ticked = std::mem::take(&mut self.sharing_due);
        for pool in self.take_dirty_pools() {
            self.schedule_pool(state, pool, ticked);
        }
    }

    fn schedule_pool(&mut self, state: &ControlState, pool: Box<str>, ticked: bool) {
        if self.waits_for_window(&pool) {
            return;
        }
        let Some(mut pass) = self.begin_pass(state, pool) else {
            return;
        };
        let changed = self.retry_parked_steps(&pass.pool, &pass.usable);
        self.rank_ready_steps(&pass.pool);
        self.run_pass(state, &mut pass, ticked);
        if changed || pass.parked > 0 {
            self.record_offers(&pass.pool, &pass.all);
        }
    }

    /// Determines the workers that a pass may use; `None` if there are none.
    fn begin_pass(&mut self, state: &ControlState, pool: Box<str>) -> Option<Pass> {
        let mut candidates = self.accepting(&pool);
        if !pool_enforces_capacity(state, &pool) {
            // The recorded capacity of the other workers may exceed their
            // current capacity.
            candidates.retain(|key| self.workers[*key].capacity_known);
        }
        let isolated = candidates.extract_if(.., |key| self.is_isolated(*key));
        let isolated: Vec<WorkerKey> = isolated.collect();
        let slow = self.split_off_slow(&pool, &mut candidates);
        self.place_isolated(state, &pool, &candidates, &isolated);
        candidates.retain(|key| !self.is_isolated(*key));
        candidates.extend(self.opened_workers());
        if candidates.is_empty() {
            return None;
        }
        let usable = [&candidates[..], &slow.keys].concat();
        Some(Pass {
            hidden: self.hidden_starts(&pool),
            max_free: self.max_free_capacity(&usable),
            max_free_by_label: IndexMap::default(),
            withheld: self
                .ready
                .get(&pool)
                .is_some_and(|ready| ready.withholding.is_active()),
            pool,
            candidates,
            slow,
            all: usable.clone(),
            usable,
            waiting: Vec::new(),
            without_permission: 0,
            parked: 0,
            left_out: LeftOutSteps::default(),
        })
    }

    fn run_pass(&mut self, state: &ControlState, pass: &mut Pass, ticked: bool) {
        let mut previous = None;
        while let Some(rank) = self.next_ready_step(&pass.pool, previous, &pass.left_out) {
            previous = Some(rank);
            self.examine_step(state, pass, rank.step());
            if pass.parked >= MAX_PARKED_STEPS {
                return self.request_scheduling(&pass.pool);
            }
            if pass.waiting.len() >= MAX_WAITING_STEPS {
                return self.end_limited_pass(state, pass, rank, ticked);
            }
            if self.has_filled_window(&pass.pool) {
                return;
            }
        }
        if pass.withheld
            && let Some(ready) = self.ready.get_mut(&pass.pool)
        {
            ready.withholding = Withholding::default();
        }
    }

    /// Starts the tasks of a step that fit. If some do not, records why it waits.
    pub(super) fn examine_step(&mut self, state: &ControlState, pass: &mut Pass, id: StepId) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        if self.only_awaits_isolation(step) {
            return;
        }
        if step.may_fit(self.max_free_for(step, pass)) {
            let pending = step.pending.len();
            let left = self.place_on_any(state, id, pass);
            if pass.withheld && self.pending_tasks(id) < pending {
                self.record_benefit(pass, id);
            }
            if !left {
                return;
            }
            pass.max_free = self.max_free_capacity(&pass.usable);
            pass.max_free_by_label.clear();
        }
        if !self.cfg.protections.limit_withholding {
            return pass.waiting.push(id);
        }
        match self.wait_reason(id, &pass.all) {
            WaitReason::Capacity => pass.waiting.push(id),
            WaitReason::Permission => {
                pass.without_permission += 1;
                pass.left_out.advised = pass.without_permission >= MAX_STEPS_WITHOUT_PERMISSION;
            }
            reason @ (WaitReason::Excluded | WaitReason::Unsuitable) => {
                self.log_wait(id, reason);
                self.park_step(id, reason);
                pass.parked += 1;
            }
        }
    }

    /// At least the maximum of each resource that is free on any usable worker with the step's
    /// label.
    fn max_free_for(&self, step: &ActiveStep, pass: &mut Pass) -> Size {
        let Some(label) = &step.required_label else {
            return pass.max_free;
        };
        if let Some(known) = pass.max_free_by_label.get(label) {
            return *known;
        }
        let mut labelled = pass.usable.clone();
        labelled.retain(|key| self.workers[*key].has_label(label));
        let max_free = self.max_free_capacity(&labelled);
        pass.max_free_by_label.insert(label.clone(), max_free);
        max_free
    }

    pub(super) fn pending_tasks(&self, id: StepId) -> usize {
        self.steps.get(&id).map_or(0, |step| step.pending.len())
    }

    /// Records that a step started for which capacity may have been withheld.
    fn record_benefit(&mut self, pass: &mut Pass, id: StepId) {
        if let Some(ready) = self.ready.get_mut(&pass.pool)
            && ready.withholding.benefits(id)
        {
            ready.withholding = Withholding::default();
            pass.withheld = false;
        }
    }

    /// Ends a pass after the step with rank `last`. At ticks the steps behind it are examined as
    /// well, as far as no capacity is withheld from them.
    fn end_limited_pass(
        &mut self,
        state: &ControlState,
        pass: &mut Pass,
        last: Rank,
        ticked: bool,
    ) {
        if self.may_log_limited_pass(&pass.pool) {
            let unplaced = self.unplaced_steps(pass);
            self.log_limited_pass(&pass.pool, last, &unplaced);
        }
        let overdue = self.ready.get(&pass.pool);
        let overdue = overdue.is_some_and(|ready| ready.withholding.is_overdue(self.now));
        let half_used = overdue && self.is_half_used(&pass.usable);
        let Some(ready) = self.ready.get_mut(&pass.pool) else {
            return;
        };
        let waiting = std::mem::take(&mut pass.waiting);
        let withheld = ready
            .withholding
            .withhold(self.now, waiting.clone(), half_used);
        if !ticked || !self.cfg.protections.limit_withholding {
            return;
        }
        if !withheld {
            self.share_capacity(state, pass, last);
        } else if self.cfg.protections.share_other_workers {
            self.share_other_workers(state, pass, &waiting, last);
        }
    }

    /// The steps that wait, as far as the pass knows or earlier ones parked them.
    fn unplaced_steps(&self, pass: &Pass) -> UnplacedSteps {
        let ready = self.ready.get(&pass.pool);
        let mut unplaced = ready.map_or_else(UnplacedSteps::default, |ready| ready.parked.counts());
        unplaced.insert(WaitReason::Capacity, pass.waiting.len());
        unplaced.insert(WaitReason::Permission, pass.without_permission);
        unplaced.retain(|_, count| *count > 0);
        unplaced
    }

    /// Starts tasks of a step on the candidates and, as far as that is sooner, on
    /// slow workers. Returns whether some are left that fit on no worker.
    fn place_on_any(&mut self, state: &ControlState, id: StepId, pass: &mut Pass) -> bool {
        let Pass {
            candidates,
            slow,
            hidden,
            ..
        } = pass;
        if slow.keys.is_empty() {
            return self.place_step(state, id, candidates, *hidden);
        }
        self.place_probe(state, id, slow, *hidden, true);
        if !self.place_step(state, id, candidates, *hidden) {
            return false;
        }
        self.place_probe(state, id, slow, *hidden, false);
        self.place_on_slow(state, id, slow, *hidden)
    }

    /// The maximum of each resource that is free on any of the workers.
    pub(super) fn max_free_capacity(&self, keys: &[WorkerKey]) -> Size {
        let free = keys.iter().map(|key| self.workers[*key].free_capacity());
        free.fold(Size::default(), Size::component_max)
    }
}

/// Whether the workers of a pool reject tasks that do not fit. A pool that is
/// not configured has no work.
fn pool_enforces_capacity(state: &ControlState, pool: &str) -> bool {
    let pools = state.catalogue.as_ref().map(|catalogue| &catalogue.pools);
    let pool = pools.and_then(|pools| pools.get(pool));
    pool.is_none_or(|pool| pool.enforces_capacity)
}
