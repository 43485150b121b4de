//! One plan for the machines of all pools.
//!
//! At each tick the fleet's capacity is divided between the pools: first the minimum of
//! each pool, then work that can be in time and is within shares, then other work, then
//! the forecast beyond shares. Each class is met by priority, and in proportion to the need
//! where too little is left. Machines move from pools with more than their target to pools
//! with less. A move has to pay: work must be left when the machine arrives.
//!
//! Capacities are in thousandths of a machine; see [`need`](super::need).

use std::cmp::Reverse;
use std::time::Duration;

use super::demand::BALANCE_LOG_INTERVAL;
use super::machine::{Machine, MachineOrder, MachineState};
use super::moves::{
    FRAGMENTATION_PERCENT, IdleMachines, MAX_UNANSWERED_BEFORE_RETURNS, MAX_UNANSWERED_ORDERS,
    spare_pool,
};
use super::need::{Class, MACHINE, PoolState, in_machines};
use crate::Size;
use crate::collections::IndexMap;
use crate::schedule::decision::HoldReason;
use crate::schedule::{Decision, Scheduler};
use crate::state::ControlState;

/// How long after its last answer the platform counts as silent: the time in which three
/// lists are requested.
const PLATFORM_SILENT_AFTER: Duration = Duration::from_secs(3);
/// The missing capacity from which a machine is moved to a pool. A pool that lacks less
/// than half a machine would soon return it.
const MIN_SHORTAGE: u64 = MACHINE / 2;

/// How long a machine is idle before it returns to the spare pool. The return and the move
/// back cost as much as about 2 s in the pool, and 4 s if the time counts in which the machine
/// is on its way back and does not work. A limit at the break-even costs at most twice as much
/// as the best decision in hindsight (the ski rental problem).
const IDLE_LIMIT: Duration = Duration::from_millis(2_500);

/// What the plan decided since it was last logged.
#[derive(Debug, Default)]
pub(crate) struct PlanReport {
    logged_at: Duration,
    /// The number of moves that were ordered to pools with a shortage.
    paid: u64,
    /// The number of machines that were returned to the spare pool.
    returned: u64,
}

/// The plan for one pool.
#[derive(Clone, Debug)]
struct PoolPlan {
    state: PoolState,
    /// The capacity of the fleet that is allocated to the pool.
    target: u64,
}

impl PoolPlan {
    /// The capacity that the pool lacks and that will still have work when it arrives.
    fn shortage(&self) -> u64 {
        let wanted = self.target.min(self.state.need_after_join);
        wanted.saturating_sub(self.state.planned())
    }

    /// Whether the shortage is worth a move: at least half a machine, and half of the reserve
    /// that is part of the target. Smaller shortages come and go with each job.
    fn has_shortage(&self) -> bool {
        let half_reserve = self.target * FRAGMENTATION_PERCENT / 200;
        self.shortage() >= MIN_SHORTAGE.max(half_reserve)
    }

    /// The capacity that the pool lacks now.
    fn unmet(&self) -> u64 {
        self.target.saturating_sub(self.state.planned())
    }

    /// The capacity beyond the pool's target.
    fn surplus(&self) -> u64 {
        self.state.planned().saturating_sub(self.target)
    }

    /// Whether the pool keeps what it needs without one machine of this size.
    fn can_give(&self, size: u64) -> bool {
        self.state.machines > 1 && self.state.planned() >= self.target + size
    }
}

type Plans = IndexMap<Box<str>, PoolPlan>;

/// The number of moves of one tick that are wanted and held back, by reason.
#[derive(Debug, Default)]
struct HeldBack(IndexMap<HoldReason, u64>);

impl HeldBack {
    fn add(&mut self, reason: HoldReason, machines: u64) {
        if machines > 0 {
            *self.0.entry(reason).or_default() += machines;
        }
    }
}

impl Scheduler {
    /// Moves machines between pools by one plan for all of them.
    pub(super) fn plan_machines(&mut self, state: &ControlState) {
        self.update_joins();
        if self.now >= self.balances_logged_at + BALANCE_LOG_INTERVAL {
            let balances = self.balances(state);
            self.log_balances(&balances);
        }
        let mean_machine = self.mean_machine();
        let mut plans = self.divide_capacity(state, mean_machine);
        let mut held_back = HeldBack::default();
        let wanted = plans
            .values()
            .map(|plan| whole_machines(plan.unmet()))
            .sum();
        self.move_drained_machines(&plans, mean_machine);
        if self.is_platform_silent() {
            held_back.add(HoldReason::PlatformSilent, wanted);
        } else {
            self.fill_shortages(state, &mut plans, mean_machine, &mut held_back);
            self.return_surplus(state, &mut plans, mean_machine);
        }
        self.log_plan(wanted, &held_back);
    }

    fn is_platform_silent(&self) -> bool {
        let heard_at = self.machines.heard_at;
        heard_at.is_none_or(|at| self.now > at + PLATFORM_SILENT_AFTER)
    }

    /// Divides the capacity of the machines that are or can be in a pool.
    fn divide_capacity(&mut self, state: &ControlState, mean_machine: Size) -> Plans {
        let pools = self.pool_states(state);
        let spare_pool = spare_pool(state);
        let listed = self.machines.by_name.values();
        let spare = listed.filter(|listed| {
            spare_pool.as_ref() == Some(&listed.view.pool) && self.is_movable(listed)
        });
        let spare: u64 = spare
            .map(|listed| in_machines(listed.view.capacity, mean_machine))
            .sum();
        let total = spare + pools.values().map(PoolState::planned).sum::<u64>();
        let states: Vec<&PoolState> = pools.values().collect();
        let targets = allocate(&states, total);
        let plans = pools.into_iter().zip(targets);
        plans
            .map(|((name, state), target)| (name, PoolPlan { state, target }))
            .collect()
    }

    /// Orders and prepares moves to the pools that lack capacity, the most urgent first.
    fn fill_shortages(
        &mut self,
        state: &ControlState,
        plans: &mut Plans,
        mean_machine: Size,
        held_back: &mut HeldBack,
    ) {
        let mut receivers: Vec<Box<str>> = Vec::new();
        for (name, plan) in plans.iter() {
            held_back.add(
                HoldReason::Unpaid,
                whole_machines(plan.unmet().saturating_sub(plan.shortage())),
            );
            let shortage = whole_machines(plan.shortage());
            if shortage > 0 && self.are_joins_held(name) {
                held_back.add(HoldReason::JoinsFailing, shortage);
            } else if shortage > 0 {
                receivers.push(name.clone());
            }
        }
        receivers.sort_by_key(|name| urgency(&plans[name]));
        let mut allowed = MAX_UNANSWERED_ORDERS.saturating_sub(self.machines.unanswered_orders());
        let mut idle = if receivers.is_empty() {
            IdleMachines::default()
        } else {
            self.idle_machines()
        };
        for pool in receivers {
            // While joins of the pool fail, a single move is tried.
            let probing = self.machines.joins.is_failing(&pool);
            while plans[&pool].has_shortage() {
                if allowed == 0 {
                    held_back.add(
                        HoldReason::OrderLimit,
                        whole_machines(plans[&pool].shortage()),
                    );
                    break;
                }
                if let Some(name) =
                    self.idle_machine_for(state, &pool, plans, mean_machine, &mut idle)
                {
                    self.transfer(&name, &pool, plans, mean_machine);
                    self.order_join(&name, &pool);
                    self.machines.plan_report.paid += 1;
                    allowed -= 1;
                } else if let Some(name) = self.busy_machine_for(&pool, plans, mean_machine) {
                    self.drain_for(&name, &pool, plans, mean_machine);
                } else {
                    let reason = match self.any_just_joined(&pool, plans, mean_machine) {
                        true => HoldReason::JustJoined,
                        false => HoldReason::NoDonor,
                    };
                    held_back.add(reason, whole_machines(plans[&pool].shortage()));
                    break;
                }
                if probing {
                    break;
                }
            }
        }
    }

    /// Removes an idle machine from `idle` for a pool: of the pool with the largest surplus,
    /// or else of the spare pool. Shortly after a takeover the spare pool comes first, since
    /// a pool between two demand peaks seems to need nothing.
    fn idle_machine_for(
        &self,
        state: &ControlState,
        pool: &str,
        plans: &Plans,
        mean_machine: Size,
        idle: &mut IdleMachines,
    ) -> Option<Box<str>> {
        let spare = spare_pool(state);
        let surplus_first = self.has_demand_history();
        let donors = idle.iter().filter(|(from, _)| ***from != *pool);
        let ranked = donors.filter_map(|(from, names)| {
            let is_spare = Some(from) == spare.as_ref();
            let at = names.iter().rposition(|name| {
                let listed = &self.machines.by_name[name];
                let size = in_machines(listed.view.capacity, mean_machine);
                let plan = plans.get(from);
                let suits = plans[pool].state.suits(listed.view.capacity);
                let gives = is_spare
                    || plan.is_some_and(|plan| plan.can_give(size) && !self.stays(listed, plan));
                gives && suits && !self.machines.is_refused(name, pool)
            })?;
            let surplus = plans.get(from).map_or(0, PoolPlan::surplus);
            Some((
                is_spare == surplus_first,
                Reverse(surplus),
                from.clone(),
                at,
            ))
        });
        let (_, _, from, at) = ranked.min()?;
        Some(idle.get_mut(&from)?.remove(at))
    }

    /// The machine with the lowest load in the pool with the largest surplus. None shortly
    /// after a takeover, for the reason given at [`has_demand_history`](Self::has_demand_history).
    fn busy_machine_for(&self, pool: &str, plans: &Plans, mean_machine: Size) -> Option<Box<str>> {
        if !self.has_demand_history() {
            return None;
        }
        let machines = self.machines.by_name.iter();
        let ranked = machines.filter_map(|(name, listed)| {
            let plan = plans.get(&listed.view.pool)?;
            let size = in_machines(listed.view.capacity, mean_machine);
            if *listed.view.pool == *pool || !plan.can_give(size) || self.stays(listed, plan) {
                return None;
            }
            let key = self.worker_on(name)?;
            let worker = &self.workers[key];
            let suits = plans[pool].state.suits(listed.view.capacity);
            let suitable =
                suits && worker.long_running == 0 && self.is_reservable(listed, key, pool);
            suitable.then(|| (Reverse(plan.surplus()), worker.used.cpu_milli, name))
        });
        ranked.min().map(|(.., name)| name.clone())
    }

    /// Whether a machine joined its pool less than its move there took ago. It leaves
    /// earlier only if the pool has no work at all.
    fn stays(&self, machine: &Machine, plan: &PoolPlan) -> bool {
        machine.has_just_joined(self.now) && plan.state.has_work
    }

    /// Whether a pool other than this one could give a machine if the machine had not just
    /// joined it.
    fn any_just_joined(&self, pool: &str, plans: &Plans, mean_machine: Size) -> bool {
        self.machines.by_name.values().any(|listed| {
            let size = in_machines(listed.view.capacity, mean_machine);
            let plan = plans.get(&listed.view.pool);
            *listed.view.pool != *pool
                && plan.is_some_and(|plan| plan.can_give(size) && self.stays(listed, plan))
        })
    }

    /// Starts to empty a machine for a pool.
    fn drain_for(&mut self, name: &str, pool: &str, plans: &mut Plans, mean_machine: Size) {
        self.transfer(name, pool, plans, mean_machine);
        self.machines.by_name[name].reserved_for = Some(pool.into());
        if let Some(worker) = self.worker_on(name) {
            self.workers[worker].cordoned = true;
        }
    }

    /// Records in the plan that a machine leaves its pool for another.
    fn transfer(&self, name: &str, pool: &str, plans: &mut Plans, mean_machine: Size) {
        let view = &self.machines.by_name[name].view;
        let size = in_machines(view.capacity, mean_machine);
        if let Some(from) = plans.get_mut(&view.pool) {
            from.state.accepting = from.state.accepting.saturating_sub(size);
            from.state.machines = from.state.machines.saturating_sub(1);
        }
        if let Some(to) = plans.get_mut(pool) {
            to.state.add_joining(view.capacity, size);
        }
    }

    /// Moves the machines that were emptied for a pool, and releases those that it no longer
    /// needs.
    fn move_drained_machines(&mut self, plans: &Plans, mean_machine: Size) {
        let reserved = self.machines.by_name.iter().filter_map(|(name, listed)| {
            let pool = listed.reserved_for.clone()?;
            listed.pending_order.is_none().then(|| (name.clone(), pool))
        });
        let reserved: Vec<_> = reserved.collect();
        let mut released: IndexMap<Box<str>, u64> = IndexMap::default();
        let silent = self.is_platform_silent();
        for (name, pool) in reserved {
            let listed = &self.machines.by_name[&name];
            let size = in_machines(listed.view.capacity, mean_machine);
            let released = released.entry(pool.clone()).or_default();
            let needed = plans.get(&pool).is_some_and(|plan| {
                let wanted = plan.target.min(plan.state.need_after_join);
                wanted + MACHINE > plan.state.planned().saturating_sub(*released) + MIN_SHORTAGE
            });
            let unavailable = listed.view.state != MachineState::Up || listed.view.worker.is_none();
            if !needed || unavailable || silent {
                *released += size;
                self.release_reservation(&name);
            } else if self.is_idle(listed) && !self.are_joins_held(&pool) {
                self.machines.plan_report.paid += 1;
                self.order_join(&name, &pool);
            }
        }
    }

    /// Returns machines that have been idle for long enough to the spare pool, as long as
    /// their pool keeps the free capacity of one machine.
    fn return_surplus(&mut self, state: &ControlState, plans: &mut Plans, mean_machine: Size) {
        let Some(spare) = spare_pool(state) else {
            return;
        };
        let idle = self.machines.by_name.iter().filter(|(name, listed)| {
            let idle = listed
                .idle_since
                .is_some_and(|at| self.now >= at + IDLE_LIMIT);
            idle && plans.contains_key(&listed.view.pool)
                && !self.machines.is_refused(name, &spare)
                && self.is_movable(listed)
        });
        let names: Vec<Box<str>> = idle.map(|(name, _)| name.clone()).collect();
        let unanswered = self.machines.unanswered_orders();
        let mut allowed = MAX_UNANSWERED_BEFORE_RETURNS.saturating_sub(unanswered);
        for name in names {
            let listed = &self.machines.by_name[&name];
            let size = in_machines(listed.view.capacity, mean_machine);
            let plan = &plans[&listed.view.pool];
            if allowed == 0 {
                return;
            }
            // Keeps the free capacity of one machine for new work.
            if plan.can_give(2 * size) && !self.stays(listed, plan) {
                allowed -= 1;
                self.transfer(&name, &spare, plans, mean_machine);
                self.machines.plan_report.returned += 1;
                let pool = spare.clone();
                self.order_machine(&name, MachineOrder::Move { pool });
            }
        }
    }

    fn log_plan(&mut self, wanted: u64, held_back: &HeldBack) {
        let report = &mut self.machines.plan_report;
        if self.now < report.logged_at + BALANCE_LOG_INTERVAL {
            return;
        }
        report.logged_at = self.now;
        let paid = std::mem::take(&mut report.paid);
        let returned = std::mem::take(&mut report.returned);
        let machines = self.machines.by_name.values();
        let draining = machines
            .filter(|listed| listed.reserved_for.is_some())
            .count() as u64;
        if wanted + paid + returned + draining > 0 {
            self.log(Decision::Plan {
                wanted,
                paid,
                returned,
                draining,
                held_back: held_back.0.iter().map(|(why, n)| (*why, *n)).collect(),
            });
        }
    }
}

/// The number of whole machines nearest to a capacity. A rest of [`MIN_SHORTAGE`] or more
/// counts as a machine.
fn whole_machines(capacity: u64) -> u64 {
    (capacity + MACHINE - MIN_SHORTAGE) / MACHINE
}

/// The order in which pools get machines; the lowest is first: the class of need that the
/// pool's capacity does not meet, then its priority, then how little of it is met.
fn urgency(plan: &PoolPlan) -> (Class, u32, u64) {
    let planned = plan.state.planned();
    let mut classes = Class::ALL.into_iter();
    let unmet = classes.find(|class| plan.state.need(*class).min(plan.target) > planned);
    let met = planned * MACHINE / plan.target.max(1);
    (unmet.unwrap_or(Class::Forecast), plan.state.priority, met)
}

/// Divides the capacity between the pools: class by class, in each by priority, and in
/// proportion to the need where too little is left for all pools of a priority.
fn allocate(pools: &[&PoolState], total: u64) -> Vec<u64> {
    let mut targets = vec![0; pools.len()];
    let mut left = total;
    let mut priorities: Vec<u32> = pools.iter().map(|pool| pool.priority).collect();
    priorities.sort_unstable();
    priorities.dedup();
    for class in Class::ALL {
        for priority in &priorities {
            let lacks: Vec<u64> = pools
                .iter()
                .zip(&targets)
                .map(|(pool, target)| match pool.priority == *priority {
                    true => pool.need(class).saturating_sub(*target),
                    false => 0,
                })
                .collect();
            let sum: u64 = lacks.iter().sum();
            let given = sum.min(left);
            for (target, lack) in targets.iter_mut().zip(lacks) {
                *target += (lack * given).checked_div(sum).unwrap_or_default();
            }
            left -= given;
        }
    }
    targets
}
