//! Moving machines after the demand.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::demand::Balance;
use super::machine::{Machine, MachineOrder, MachineState};
use crate::schedule::worker::WorkerKey;
use crate::schedule::{Scheduler, forecast};
use crate::state::ControlState;

/// How long a machine stays without work before it goes back to the spare pool. A move
/// costs about as much as a machine for this long, so waiting costs at most twice what
/// knowing the future would (ski rental).
const IDLE_LIMIT: Duration = Duration::from_millis(900);
/// The same in a pool that holds far more than it needs: demand has fallen, and what is
/// still to come finds room.
const PLENTY_IDLE_LIMIT: Duration = Duration::from_millis(150);
/// How much more than its need a pool holds that has plenty, in percent.
const PLENTY_PERCENT: u64 = 50;
/// What tasks of different sizes leave unused of a worker, in percent: they take up
/// about a tenth of one each.
pub(super) const FRAGMENTATION_PERCENT: u64 = 10;

/// How many orders for machines may be without an answer. The platform takes some
/// hundred a second: what waits longer than its call may take is ordered again, and holds
/// up what is more urgent by then.
const ORDERS_AT_ONCE: usize = 64;
/// The same before idle machines go back to the spare pool, which can wait for those
/// that a pool lacks.
const RETURNS_AT_ONCE: usize = 16;

/// Where a machine for a pool comes from; the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Donor {
    /// A pool that holds more than it needs.
    Surplus,
    /// The spare pool.
    Spare,
    /// A pool that seems to hold more than it needs, to a new owner.
    Unsure,
}

/// The balance of each pool that queues use.
pub(super) type Balances = IndexMap<Box<str>, Balance>;
/// The names of idle machines, by pool.
type IdleMachines = IndexMap<Box<str>, Vec<Box<str>>>;

impl Scheduler {
    /// Moves idle machines to pools whose tasks find no room, and back to the
    /// spare pool once they stay idle.
    pub(super) fn move_machines(&mut self, state: &ControlState) {
        let mut balances = self.balances(state);
        self.tell_balances(&balances);
        let mut room = ORDERS_AT_ONCE.saturating_sub(self.machines.unanswered());
        let mut without_donor = IndexSet::new();
        let mut idle = None;
        while room > 0
            && let Some(pool) = most_lacking(&balances, &without_donor)
        {
            let idle = idle.get_or_insert_with(|| self.idle_machines());
            match self.take_donor(state, &pool, &balances, idle) {
                Some(name) => {
                    self.give(&name, &pool, &mut balances);
                    room -= 1;
                }
                None => drop(without_donor.insert(pool)),
            }
        }
        for pool in without_donor {
            self.reserve(&pool, &mut balances);
        }
        self.move_reserved(&balances);
        let mut balances = self.balances(state);
        self.send_back(state, &mut balances);
    }

    /// The machines of each pool that are idle and free to go, the last by name first.
    fn idle_machines(&self) -> IdleMachines {
        let mut idle = IdleMachines::new();
        let free = self.machines.by_name.iter();
        for (name, machine) in free.filter(|(_, machine)| self.may_move(machine)) {
            let pool = idle.entry(machine.view.pool.clone()).or_default();
            pool.push(name.clone());
        }
        for names in idle.values_mut() {
            names.sort_by(|a, b| b.cmp(a));
        }
        idle
    }

    /// An idle machine for a pool: one of the pool that has most to spare, else a
    /// spare one. The other way round each machine of a turn of demand that ends moves
    /// twice, back and out again.
    fn take_donor(
        &self,
        state: &ControlState,
        pool: &str,
        balances: &Balances,
        idle: &mut IdleMachines,
    ) -> Option<Box<str>> {
        let lender = match self.knows_demand() {
            true => Donor::Surplus,
            false => Donor::Unsure,
        };
        let rank = |from: &str, name: &str| {
            if is_spare(state, from) {
                return Some((Donor::Spare, 0));
            }
            let size = self.machines.by_name.get(name)?.view.capacity;
            let rest = balances.get(from)?.without(size);
            let spares = rest.workers > 0 && rest.suffices(FRAGMENTATION_PERCENT);
            let surplus = rest.offered.cpu_milli.saturating_sub(rest.needed.cpu_milli);
            spares.then_some((lender, u64::MAX - surplus))
        };
        let first = |names: &[Box<str>]| {
            let mut names = names.iter();
            names.rposition(|name| !self.machines.refuses(name, pool))
        };
        let others = idle.iter().filter(|(from, _)| ***from != *pool);
        let ranked = others.filter_map(|(from, names)| {
            let at = first(names)?;
            Some((rank(from, &names[at])?, from.clone(), at))
        });
        let (_, from, at) = ranked.min()?;
        Some(idle[&from].remove(at))
    }

    /// Whether this owner has seen demand for as long as its forecast looks back.
    /// Before, a pool between two turns looks as one that needs nothing, and what
    /// is given away may be missing a second later.
    fn knows_demand(&self) -> bool {
        self.now >= self.taken_over_at + forecast::ARRIVAL_WINDOW
    }

    /// Whether a machine is idle and free to go.
    fn may_move(&self, machine: &Machine) -> bool {
        let up = machine.view.state == MachineState::Up && machine.missing_since.is_none();
        up && machine.is_free() && self.is_idle(machine)
    }

    /// Whether nothing runs on a machine, and all that ended there has been
    /// acknowledged. Where a list names no worker, one that says that it runs
    /// there counts: an order would end its tasks.
    pub(super) fn is_idle(&self, machine: &Machine) -> bool {
        let is_empty = |key| self.is_worker_empty(key);
        match &machine.view.worker {
            None => self
                .workers
                .on_machine(&machine.view.name)
                .is_none_or(is_empty),
            Some(worker) => self.workers.key(worker).is_some_and(is_empty),
        }
    }

    pub(super) fn is_worker_empty(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.tasks.is_empty()
            && worker.answers()
            && worker.proposed_ends == worker.acknowledged_ends
            && !worker.has_strays
    }

    fn give(&mut self, name: &str, pool: &str, balances: &mut Balances) {
        let Some(machine) = self.machines.by_name.get(name) else {
            return;
        };
        let size = machine.view.capacity;
        if let Some(from) = balances.get_mut(&machine.view.pool) {
            *from = from.without(size);
        }
        if let Some(to) = balances.get_mut(pool) {
            *to = to.with(size);
        }
        self.order_machine(name, MachineOrder::Move { pool: pool.into() });
    }

    /// Sends machines back that stay idle, but for one of each pool.
    fn send_back(&mut self, state: &ControlState, balances: &mut Balances) {
        let Some(spare) = spare_pool(state) else {
            return;
        };
        let rested = |machine: &Machine| {
            let since = machine.idle_since;
            since.is_some_and(|since| self.now >= since + PLENTY_IDLE_LIMIT)
        };
        let machines = self.machines.by_name.iter();
        let of_pools = machines.filter(|(_, machine)| balances.contains_key(&machine.view.pool));
        let idle = of_pools.filter(|(_, machine)| rested(machine));
        let names: Vec<Box<str>> = idle.map(|(name, _)| name.clone()).collect();
        let mut room = RETURNS_AT_ONCE.saturating_sub(self.machines.unanswered());
        for name in names {
            let machine = &self.machines.by_name[&name];
            let size = machine.view.capacity;
            let since = machine.idle_since;
            let Some(balance) = balances.get(&machine.view.pool) else {
                continue;
            };
            // One machine stays free for what comes next.
            let rest = balance.without(size).without(size);
            let plenty = self.knows_demand() && rest.suffices(PLENTY_PERCENT);
            let limit = if plenty {
                PLENTY_IDLE_LIMIT
            } else {
                IDLE_LIMIT
            };
            let idle = since.is_some_and(|since| self.now >= since + limit);
            let spares = rest.workers > 0 && rest.suffices(FRAGMENTATION_PERCENT);
            let goes = !self.machines.refuses(&name, &spare) && self.may_move(machine);
            if idle && spares && goes {
                if room == 0 {
                    return;
                }
                room -= 1;
                self.give(&name, &spare, balances);
            }
        }
    }
}

/// The pool that lacks most, if any does.
fn most_lacking(balances: &Balances, except: &IndexSet<Box<str>>) -> Option<Box<str>> {
    let lacking = balances
        .iter()
        .filter(|(pool, _)| !except.contains(*pool))
        .filter(|(_, balance)| !balance.suffices(FRAGMENTATION_PERCENT));
    let most = lacking.max_by_key(|(_, balance)| balance.lack_milli());
    most.map(|(pool, _)| pool.clone())
}

pub(super) fn is_spare(state: &ControlState, pool: &str) -> bool {
    let catalogue = state.catalogue.as_ref();
    let pool = catalogue.and_then(|catalogue| catalogue.pools.get(pool));
    pool.is_some_and(|pool| pool.spare)
}

fn spare_pool(state: &ControlState) -> Option<Box<str>> {
    let catalogue = state.catalogue.as_ref()?;
    let spare = catalogue.pools.values().find(|pool| pool.spare)?;
    Some(spare.name.clone())
}
