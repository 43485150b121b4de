//! Moves of machines between pools according to demand.

use std::time::Duration;

use super::demand::Balance;
use super::machine::{Machine, MachineOrder, MachineState};
use crate::collections::{IndexMap, IndexSet};
use crate::schedule::Scheduler;
use crate::schedule::worker::WorkerKey;
use crate::state::ControlState;

/// How long a machine is idle before it returns to the spare pool. A move costs about
/// as much as a machine that is kept for this time, so waiting costs at most twice as
/// much as the best decision in hindsight (the ski rental problem).
const IDLE_LIMIT: Duration = Duration::from_millis(900);
/// The idle limit in a pool with a large surplus: its demand has fallen, and enough
/// free capacity remains for new work.
const SURPLUS_IDLE_LIMIT: Duration = Duration::from_millis(150);
/// How far the offer of a pool with a large surplus exceeds its need, in percent.
const SURPLUS_PERCENT: u64 = 50;
/// The part of a worker that tasks of different sizes leave unused, in percent. A task
/// uses about a tenth of a worker.
pub(in crate::schedule) const FRAGMENTATION_PERCENT: u64 = 10;

/// The maximum number of orders without an answer. The platform processes some hundred
/// orders a second. An order that waits longer than the time-out of its call is sent
/// again, and would delay orders that are more urgent by then.
pub(super) const MAX_UNANSWERED_ORDERS: usize = 64;
/// The number of orders without an answer from which no idle machine is returned to the
/// spare pool. It is lower because returns are less urgent than moves to a pool with a
/// shortage.
pub(super) const MAX_UNANSWERED_BEFORE_RETURNS: usize = 16;

/// The kind of pool from which a machine is moved to a pool with a shortage, most
/// preferred first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Donor {
    /// A pool that offers more than it needs.
    Surplus,
    /// The spare pool.
    SparePool,
    /// A pool that seems to offer more than it needs, but whose demand the owner has not
    /// observed for long enough.
    UncertainSurplus,
}

/// The balance of each pool that a queue uses.
pub(super) type Balances = IndexMap<Box<str>, Balance>;
/// The names of idle machines, by pool.
pub(super) type IdleMachines = IndexMap<Box<str>, Vec<Box<str>>>;

impl Scheduler {
    /// Moves idle machines to pools with a shortage, and back to the spare pool once they
    /// have been idle for long enough.
    pub(super) fn move_machines(&mut self, state: &ControlState) {
        let mut balances = self.balances(state);
        self.log_balances(&balances);
        let assignments = self.machines.assignments;
        let mut allowed_orders =
            MAX_UNANSWERED_ORDERS.saturating_sub(self.machines.unanswered_orders());
        let mut without_donor = IndexSet::default();
        let mut idle = None;
        while allowed_orders > 0
            && let Some(pool) = pool_with_largest_shortage(&balances, &without_donor)
        {
            let idle = idle.get_or_insert_with(|| self.idle_machines());
            match self.choose_donor_machine(state, &pool, &balances, idle) {
                Some(name) => {
                    self.order_move(&name, &pool, &mut balances);
                    allowed_orders -= 1;
                }
                None => drop(without_donor.insert(pool)),
            }
        }
        for pool in without_donor {
            self.reserve_machines(&pool, &mut balances);
        }
        self.move_reserved_machines(&balances);
        let unchanged = self.machines.assignments == assignments;
        self.return_idle_machines(state, unchanged.then_some(balances));
    }

    /// The movable machines of each pool, in descending order of their names.
    pub(super) fn idle_machines(&self) -> IdleMachines {
        let mut idle = IdleMachines::default();
        let free = self.machines.by_name.iter();
        for (name, machine) in free.filter(|(_, machine)| self.is_movable(machine)) {
            let pool = idle.entry(machine.view.pool.clone()).or_default();
            pool.push(name.clone());
        }
        for names in idle.values_mut() {
            // A donor is taken from the end, so slow machines come first.
            names.sort_by(|a, b| {
                self.is_slow_machine(b)
                    .cmp(&self.is_slow_machine(a))
                    .then(b.cmp(a))
            });
        }
        idle
    }

    /// Removes a machine for `pool` from `idle`: one of the pool with the largest
    /// surplus, or else one of the spare pool. If the spare pool came first, each
    /// machine that is idle after a demand peak would move twice, back to the spare
    /// pool and out again.
    fn choose_donor_machine(
        &self,
        state: &ControlState,
        pool: &str,
        balances: &Balances,
        idle: &mut IdleMachines,
    ) -> Option<Box<str>> {
        let with_surplus = match self.has_demand_history() {
            true => Donor::Surplus,
            false => Donor::UncertainSurplus,
        };
        let rank = |from: &str, name: &str| {
            if is_spare_pool(state, from) {
                return Some((Donor::SparePool, 0));
            }
            let size = self.offered_size(self.machines.by_name.get(name)?);
            let rest = balances.get(from)?.without_machine(size);
            let has_surplus = rest.workers > 0 && rest.covers_need(FRAGMENTATION_PERCENT);
            let surplus = rest.offered.cpu_milli.saturating_sub(rest.needed.cpu_milli);
            has_surplus.then_some((with_surplus, u64::MAX - surplus))
        };
        let first_accepted = |names: &[Box<str>]| {
            let mut names = names.iter();
            names.rposition(|name| !self.machines.is_refused(name, pool))
        };
        let others = idle.iter().filter(|(from, _)| ***from != *pool);
        let ranked = others.filter_map(|(from, names)| {
            let at = first_accepted(names)?;
            Some((rank(from, &names[at])?, from.clone(), at))
        });
        let (_, from, at) = ranked.min()?;
        Some(idle[&from].remove(at))
    }

    /// Whether this owner has observed the demand for the whole window of its forecast,
    /// or continues the observation of an earlier owner.
    /// Before that, a pool between two demand peaks seems to need nothing, and a
    /// machine that is moved away may be needed there a second later.
    pub(super) fn has_demand_history(&self) -> bool {
        self.now >= self.carry_over.history_complete_at
    }

    /// Whether a machine is up, idle and not assigned to anything.
    pub(super) fn is_movable(&self, machine: &Machine) -> bool {
        let up = machine.view.state == MachineState::Up && machine.missing_since.is_none();
        up && machine.is_unassigned() && self.is_idle(machine)
    }

    /// Whether nothing runs on a machine, and all ends that its worker reported have
    /// been acknowledged. If the list names no worker for the machine, a worker that
    /// reports the machine as its own is checked instead, because an order for the
    /// machine would end its tasks.
    pub(in crate::schedule) fn is_idle(&self, machine: &Machine) -> bool {
        let is_empty = |key| self.is_worker_empty(key);
        match &machine.view.worker {
            None => self
                .workers
                .on_machine(&machine.view.name)
                .is_none_or(is_empty),
            Some(worker) => self.workers.named_by_platform(worker).is_some_and(is_empty),
        }
    }

    pub(super) fn is_worker_empty(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.tasks.is_empty()
            && worker.superseded_runs == 0
            && worker.answers()
            && worker.last_proposed_end == worker.last_acknowledged_end
            && !worker.has_strays
    }

    fn order_move(&mut self, name: &str, pool: &str, balances: &mut Balances) {
        let Some(machine) = self.machines.by_name.get(name) else {
            return;
        };
        let size = machine.view.capacity;
        let offered = self.offered_size(machine);
        if let Some(from) = balances.get_mut(&machine.view.pool) {
            *from = from.without_machine(offered);
        }
        if let Some(to) = balances.get_mut(pool) {
            *to = to.with_machine(size);
        }
        self.order_machine(name, MachineOrder::Move { pool: pool.into() });
    }

    /// Returns idle machines to the spare pool, as long as their pool keeps the free
    /// capacity of one machine. `balances` are those of this tick if they are still correct.
    fn return_idle_machines(&mut self, state: &ControlState, balances: Option<Balances>) {
        let Some(spare) = spare_pool(state) else {
            return;
        };
        let has_been_idle = |machine: &Machine| {
            let since = machine.idle_since;
            since.is_some_and(|since| self.now >= since + SURPLUS_IDLE_LIMIT)
        };
        let machines = self.machines.by_name.iter();
        let in_use = machines.filter(|(_, machine)| machine.view.pool != spare);
        let idle = in_use.filter(|(_, machine)| has_been_idle(machine) && self.is_movable(machine));
        let mut names: Vec<Box<str>> = idle.map(|(name, _)| name.clone()).collect();
        if names.is_empty() {
            // The balances take a walk over all steps.
            return;
        }
        let balances = &mut balances.unwrap_or_else(|| self.balances(state));
        names.sort_by_key(|name| !self.is_slow_machine(name));
        let mut allowed_orders =
            MAX_UNANSWERED_BEFORE_RETURNS.saturating_sub(self.machines.unanswered_orders());
        for name in names {
            let machine = &self.machines.by_name[&name];
            let size = self.offered_size(machine);
            let since = machine.idle_since;
            let Some(balance) = balances.get(&machine.view.pool) else {
                continue;
            };
            // Keeps the free capacity of one machine for new work.
            let rest = balance
                .without_machine(size)
                .without_machine(machine.view.capacity);
            let large_surplus = self.has_demand_history() && rest.covers_need(SURPLUS_PERCENT);
            let limit = if large_surplus {
                SURPLUS_IDLE_LIMIT
            } else {
                IDLE_LIMIT
            };
            let idle = since.is_some_and(|since| self.now >= since + limit);
            let has_surplus = rest.workers > 0 && rest.covers_need(FRAGMENTATION_PERCENT);
            let movable = !self.machines.is_refused(&name, &spare) && self.is_movable(machine);
            if idle && has_surplus && movable {
                if allowed_orders == 0 {
                    return;
                }
                allowed_orders -= 1;
                self.order_move(&name, &spare, balances);
            }
        }
    }
}

/// The pool with the largest shortage, if any has one.
fn pool_with_largest_shortage(
    balances: &Balances,
    except: &IndexSet<Box<str>>,
) -> Option<Box<str>> {
    let short = balances
        .iter()
        .filter(|(pool, _)| !except.contains(*pool))
        .filter(|(_, balance)| !balance.covers_need(FRAGMENTATION_PERCENT));
    let largest = short.max_by_key(|(_, balance)| balance.shortage_milli());
    largest.map(|(pool, _)| pool.clone())
}

pub(super) fn is_spare_pool(state: &ControlState, pool: &str) -> bool {
    let catalogue = state.catalogue.as_ref();
    let pool = catalogue.and_then(|catalogue| catalogue.pools.get(pool));
    pool.is_some_and(|pool| pool.spare)
}

pub(super) fn spare_pool(state: &ControlState) -> Option<Box<str>> {
    let catalogue = state.catalogue.as_ref()?;
    let spare = catalogue.pools.values().find(|pool| pool.spare)?;
    Some(spare.name.clone())
}
