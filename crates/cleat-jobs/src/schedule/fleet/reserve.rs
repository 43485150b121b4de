//! Sharing machines between pools that all lack some.
//!
//! Machines of the pool whose need is met best are emptied for the one whose
//! need is met least, as long as that evens them out. Without it a pool whose
//! queue never ends would keep what it has, and the others would starve.

use super::demand::Balance;
use super::machine::{Machine, MachineOrder, MachineState};
use super::moves::{Balances, FRAGMENTATION_PERCENT};
use crate::schedule::Scheduler;
use crate::schedule::worker::WorkerKey;

impl Scheduler {
    /// Reserves machines of other pools for one that lacks some.
    pub(super) fn reserve(&mut self, pool: &str, balances: &mut Balances) {
        while let Some(lacking) = balances.get(pool).copied()
            && !lacking.suffices(FRAGMENTATION_PERCENT)
            && let Some(name) = self.machine_to_share(pool, &lacking, balances)
        {
            let machine = &mut self.machines.by_name[&name];
            machine.reserved_for = Some(pool.into());
            let size = machine.view.capacity;
            let from = machine.view.pool.clone();
            if let Some(balance) = balances.get_mut(&from) {
                *balance = balance.without(size);
            }
            balances[pool] = lacking.with(size);
            if let Some(worker) = self.worker_on(&name) {
                self.workers[worker].cordoned = true;
            }
        }
    }

    /// The machine with the least to do of the pool whose need is met best,
    /// if giving it away leaves that pool better off than the other.
    fn machine_to_share(
        &self,
        pool: &str,
        lacking: &Balance,
        balances: &Balances,
    ) -> Option<Box<str>> {
        let shares = |machine: &Machine| {
            let view = &machine.view;
            let worker = self.worker_on(&view.name)?;
            let rest = balances.get(&view.pool)?.without(view.capacity);
            let fair = rest.workers > 0
                && rest.met_milli() > lacking.with(view.capacity).met_milli()
                && *view.pool != *pool;
            let ends = self.workers[worker].long_running == 0;
            let free = fair && ends && self.may_share(machine, worker, pool);
            free.then(|| {
                (
                    u64::MAX - rest.met_milli(),
                    self.workers[worker].used.cpu_milli,
                )
            })
        };
        let machines = self.machines.by_name.iter();
        let ranked = machines.filter_map(|(name, machine)| Some((shares(machine)?, name)));
        ranked.min().map(|(_, name)| name.clone())
    }

    /// Whether nothing is planned for a machine and it may go to a pool.
    fn may_share(&self, machine: &Machine, key: WorkerKey, pool: &str) -> bool {
        let view = &machine.view;
        let free =
            machine.is_free() && view.state == MachineState::Up && machine.missing_since.is_none();
        let worker = &self.workers[key];
        let stays = worker.answers() && !worker.draining && !worker.cordoned;
        free && stays && !self.machines.refuses(&view.name, pool)
    }

    /// Moves the reserved machines that are empty, and lets go of those that
    /// are not needed any more.
    pub(super) fn move_reserved(&mut self, balances: &Balances) {
        let waiting = self.machines.by_name.iter().filter_map(|(name, machine)| {
            let pool = machine.reserved_for.clone()?;
            let waits = machine.ordered.is_none();
            waits.then(|| (name.clone(), pool, machine.view.capacity))
        });
        let reserved: Vec<_> = waiting.collect();
        for (name, pool, size) in reserved {
            let machine = &self.machines.by_name[&name];
            let without = balances.get(&pool).map(|balance| balance.without(size));
            let needed = without.is_some_and(|balance| !balance.suffices(FRAGMENTATION_PERCENT));
            let gone = machine.view.state != MachineState::Up || machine.view.worker.is_none();
            if !needed || gone {
                self.release(&name);
            } else if self.is_idle(machine) {
                self.order_machine(&name, MachineOrder::Move { pool });
            }
        }
    }

    fn release(&mut self, name: &str) {
        if let Some(machine) = self.machines.by_name.get_mut(name) {
            machine.reserved_for = None;
        }
        if let Some(worker) = self.worker_on(name) {
            self.workers[worker].cordoned = false;
        }
    }
}
