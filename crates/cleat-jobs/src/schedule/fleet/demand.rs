//! How much each pool needs and has.

use indexmap::IndexMap;

use super::machine::{Machine, MachineOrder, MachineState};
use crate::schedule::Scheduler;
use crate::schedule::worker::WorkerState;
use crate::state::ControlState;

/// The processor time of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Balance {
    /// What its tasks take up that run, or could.
    pub(super) needed: u64,
    /// What its workers offer, those on their way included.
    pub(super) offered: u64,
    /// How many workers that is.
    pub(super) workers: usize,
}

impl Scheduler {
    /// The balance of each pool that queues use.
    pub(super) fn balances(&self, state: &ControlState) -> IndexMap<Box<str>, Balance> {
        let mut pools: IndexMap<Box<str>, Balance> = IndexMap::new();
        if let Some(catalogue) = &state.catalogue {
            for queue in &catalogue.queues {
                pools.entry(queue.pool.clone()).or_default();
            }
        }
        for step in self.steps.values() {
            let count = step.pending.len() as u64;
            if let Some(balance) = pools.get_mut(&step.pool) {
                balance.needed += step.footprint.cpu_milli * count;
            }
        }
        for (_, worker) in self.workers.iter() {
            let Some(balance) = pools.get_mut(&worker.record.pool) else {
                continue;
            };
            balance.needed += worker.used.cpu_milli;
            let stays = worker.answers() && !worker.draining && !worker.cordoned;
            if stays {
                balance.offered += worker.record.capacity.cpu_milli;
                balance.workers += 1;
            }
        }
        for machine in self.machines.by_name.values() {
            if let Some(pool) = self.arrives_in(machine)
                && let Some(balance) = pools.get_mut(pool)
            {
                balance.offered += machine.view.capacity.cpu_milli;
                balance.workers += 1;
            }
        }
        pools
    }

    /// The pool in which a machine is about to have a worker.
    fn arrives_in<'a>(&self, machine: &'a Machine) -> Option<&'a str> {
        if let Some(ordered) = &machine.ordered {
            return match &ordered.order {
                MachineOrder::Move { pool } => Some(pool),
                MachineOrder::Maintain { .. } => Some(&machine.view.pool),
            };
        }
        let view = &machine.view;
        let known = view.worker.as_deref().is_some_and(|worker| {
            let key = self.workers.key(worker);
            key.is_some_and(|key| self.workers[key].state == WorkerState::Live)
        });
        let arrives = matches!(view.state, MachineState::Moving | MachineState::Maintained)
            || (view.state == MachineState::Up && view.worker.is_some() && !known);
        arrives.then_some(&*view.pool)
    }
}
