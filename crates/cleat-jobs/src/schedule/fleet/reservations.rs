//! Reservation of busy machines for pools with a shortage.
//!
//! If no idle machine is left, machines of the pool with the best coverage are emptied
//! for the pool with a shortage, until their coverage is about equal. Otherwise a pool
//! whose queue never becomes empty would never release a machine, and the other pools
//! would starve.

use super::demand::Balance;
use super::machine::{Machine, MachineOrder, MachineState};
use super::moves::{Balances, FRAGMENTATION_PERCENT};
use crate::schedule::Scheduler;
use crate::schedule::worker::WorkerKey;

impl Scheduler {
    /// Reserves machines of other pools for a pool with a shortage.
    pub(super) fn reserve_machines(&mut self, pool: &str, balances: &mut Balances) {
        while let Some(receiver) = balances.get(pool).copied()
            && !receiver.covers_need(FRAGMENTATION_PERCENT)
            && let Some(name) = self.machine_to_reserve(pool, &receiver, balances)
        {
            let machine = &mut self.machines.by_name[&name];
            machine.reserved_for = Some(pool.into());
            self.machines.assignments += 1;
            let size = machine.view.capacity;
            let from = machine.view.pool.clone();
            if let Some(balance) = balances.get_mut(&from) {
                *balance = balance.without_machine(size);
            }
            balances[pool] = receiver.with_machine(size);
            if let Some(worker) = self.worker_on(&name) {
                self.workers[worker].cordoned = true;
            }
        }
    }

    /// The machine with the lowest load in the pool with the best coverage, if that pool
    /// without the machine is still better covered than the receiver with it.
    fn machine_to_reserve(
        &self,
        pool: &str,
        receiver: &Balance,
        balances: &Balances,
    ) -> Option<Box<str>> {
        let rank = |machine: &Machine| {
            let view = &machine.view;
            let worker = self.worker_on(&view.name)?;
            let rest = balances.get(&view.pool)?.without_machine(view.capacity);
            let fair = rest.workers > 0
                && rest.coverage_milli() > receiver.with_machine(view.capacity).coverage_milli()
                && *view.pool != *pool;
            let will_be_empty = self.workers[worker].long_running == 0;
            let suitable = fair && will_be_empty && self.is_reservable(machine, worker, pool);
            suitable.then(|| {
                (
                    u64::MAX - rest.coverage_milli(),
                    self.workers[worker].used.cpu_milli,
                )
            })
        };
        let machines = self.machines.by_name.iter();
        let ranked = machines.filter_map(|(name, machine)| Some((rank(machine)?, name)));
        ranked.min().map(|(_, name)| name.clone())
    }

    /// Whether a machine may be reserved for a pool: it is up and unassigned, its worker
    /// answers and is not leaving, and the platform has not refused the move.
    pub(super) fn is_reservable(&self, machine: &Machine, key: WorkerKey, pool: &str) -> bool {
        let view = &machine.view;
        let available = machine.is_unassigned()
            && view.state == MachineState::Up
            && machine.missing_since.is_none();
        let worker = &self.workers[key];
        let stays = worker.answers() && !worker.draining && !worker.cordoned;
        available && stays && !self.machines.is_refused(&view.name, pool)
    }

    /// Moves the reserved machines that are empty, and releases those that are no longer
    /// needed.
    pub(super) fn move_reserved_machines(&mut self, balances: &Balances) {
        let reserved = self.machines.by_name.iter().filter_map(|(name, machine)| {
            let pool = machine.reserved_for.clone()?;
            let is_unsent = machine.pending_order.is_none();
            is_unsent.then(|| (name.clone(), pool, machine.view.capacity))
        });
        let reserved: Vec<_> = reserved.collect();
        for (name, pool, size) in reserved {
            let machine = &self.machines.by_name[&name];
            let without = balances
                .get(&pool)
                .map(|balance| balance.without_machine(size));
            let needed = without.is_some_and(|balance| !balance.covers_need(FRAGMENTATION_PERCENT));
            let unavailable =
                machine.view.state != MachineState::Up || machine.view.worker.is_none();
            if !needed || unavailable {
                self.release_reservation(&name);
            } else if self.is_idle(machine) {
                self.order_machine(&name, MachineOrder::Move { pool });
            }
        }
    }

    pub(super) fn release_reservation(&mut self, name: &str) {
        self.machines.assignments += 1;
        if let Some(machine) = self.machines.by_name.get_mut(name) {
            machine.reserved_for = None;
        }
        if let Some(worker) = self.worker_on(name) {
            self.workers[worker].cordoned = false;
        }
    }
}
