//! Moving machines after the demand.

use std::time::Duration;

use super::demand::Balance;
use super::machine::{Machine, MachineOrder, MachineState};
use crate::schedule::Scheduler;
use crate::schedule::worker::WorkerKey;
use crate::state::ControlState;

/// How long a machine stays without work before it goes back to the spare
/// pool. A move costs about as much as a machine for this time, so waiting it
/// out costs at most twice the optimum (the ski rental).
const IDLE_LIMIT: Duration = Duration::from_millis(1_200);
/// What tasks of different sizes leave unused of a worker, in percent: 8 to
/// 12 in runs with full pools.
const FRAGMENTATION_PERCENT: u64 = 10;

/// A pool that lacks machines.
struct Lack {
    pool: Box<str>,
    cpu_milli: u64,
}

impl Scheduler {
    /// Moves idle machines to pools whose tasks find no room, and back to the
    /// spare pool once they stay idle.
    pub(super) fn move_machines(&mut self, state: &ControlState) {
        let mut balances = self.balances(state);
        let mut lacks: Vec<Lack> = balances
            .iter()
            .map(|(pool, balance)| lack(pool, balance))
            .filter(|lack| lack.cpu_milli > 0)
            .collect();
        lacks.sort_by_key(|lack| std::cmp::Reverse(lack.cpu_milli));
        for mut lack in lacks {
            while lack.cpu_milli > 0
                && let Some(name) = self.donor(state, &lack.pool, &balances)
            {
                let cpu = self.give(&name, &lack.pool, &mut balances);
                lack.cpu_milli = lack.cpu_milli.saturating_sub(cpu);
            }
        }
        self.send_back(state, &mut balances);
    }

    /// An idle machine for a pool: a spare one, else one of a pool that has
    /// more than it needs.
    fn donor(
        &self,
        state: &ControlState,
        pool: &str,
        balances: &indexmap::IndexMap<Box<str>, Balance>,
    ) -> Option<Box<str>> {
        let rank = |machine: &Machine| {
            let view = &machine.view;
            if *view.pool == *pool || !self.may_move(machine, pool) {
                return None;
            }
            if is_spare(state, &view.pool) {
                return Some((0, 0));
            }
            let balance = balances.get(&view.pool)?;
            let rest = balance.offered.saturating_sub(view.capacity.cpu_milli);
            let spares = balance.workers > 1 && rest >= with_room(balance.needed);
            let surplus = rest - balance.needed.min(rest);
            spares.then_some((1, u64::MAX - surplus))
        };
        let machines = self.machines.by_name.iter();
        let ranked = machines.filter_map(|(name, machine)| Some((rank(machine)?, name)));
        ranked.min().map(|(_, name)| name.clone())
    }

    /// Whether a machine is idle and free to go.
    fn may_move(&self, machine: &Machine, pool: &str) -> bool {
        let view = &machine.view;
        let refused = (view.name.clone(), pool.into());
        let free = machine.ordered.is_none() && machine.emptied_for.is_none();
        let up = view.state == MachineState::Up && machine.missing_since.is_none();
        free && up && !self.machines.refused.contains(&refused) && self.is_idle(machine)
    }

    /// Whether nothing runs on a machine, and all that ended there has been
    /// acknowledged.
    pub(super) fn is_idle(&self, machine: &Machine) -> bool {
        match &machine.view.worker {
            None => true,
            Some(worker) => {
                let key = self.workers.key(worker);
                key.is_some_and(|key| self.is_worker_empty(key))
            }
        }
    }

    pub(super) fn is_worker_empty(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.runs == 0
            && worker.answers()
            && worker.proposed == worker.confirmed
            && !worker.has_strays
    }

    fn give(
        &mut self,
        name: &str,
        pool: &str,
        balances: &mut indexmap::IndexMap<Box<str>, Balance>,
    ) -> u64 {
        let Some(machine) = self.machines.by_name.get(name) else {
            return u64::MAX;
        };
        let cpu = machine.view.capacity.cpu_milli.max(1);
        if let Some(from) = balances.get_mut(&machine.view.pool) {
            from.offered = from.offered.saturating_sub(cpu);
            from.workers = from.workers.saturating_sub(1);
        }
        if let Some(to) = balances.get_mut(pool) {
            to.offered += cpu;
            to.workers += 1;
        }
        self.order_machine(name, MachineOrder::Move { pool: pool.into() });
        cpu
    }

    /// Sends machines back that stay idle, but for one of each pool.
    fn send_back(
        &mut self,
        state: &ControlState,
        balances: &mut indexmap::IndexMap<Box<str>, Balance>,
    ) {
        let Some(spare) = spare_pool(state) else {
            return;
        };
        let names: Vec<Box<str>> = self.machines.by_name.keys().cloned().collect();
        for name in names {
            let machine = &self.machines.by_name[&name];
            let pool = machine.view.pool.clone();
            let cpu = machine.view.capacity.cpu_milli;
            let idle = machine
                .idle_since
                .is_some_and(|since| self.now >= since + IDLE_LIMIT);
            let Some(balance) = balances.get(&pool) else {
                continue;
            };
            // One machine stays free for what comes next.
            let rest = balance.offered.saturating_sub(2 * cpu);
            let spares = balance.workers > 2 && rest >= with_room(balance.needed);
            if idle && spares && self.may_move(machine, &spare) {
                self.give(&name, &spare, balances);
            }
        }
    }
}

fn lack(pool: &str, balance: &Balance) -> Lack {
    Lack {
        pool: pool.into(),
        cpu_milli: with_room(balance.needed).saturating_sub(balance.offered),
    }
}

/// What has to be offered so that tasks of this size in all find room.
fn with_room(needed: u64) -> u64 {
    needed + needed * FRAGMENTATION_PERCENT / 100
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
