//! How much each pool needs and has.

use indexmap::IndexMap;

use super::machine::{Machine, MachineOrder, MachineState};
use crate::Size;
use crate::schedule::Scheduler;
use crate::schedule::timing::Prospect;
use crate::schedule::worker::WorkerState;
use crate::state::ControlState;

/// Of the work that will be late anyway, the share in percent that machines
/// are brought for. It is worth less than a tenth, but has to end some time.
const LATE_PERCENT: u64 = 30;

/// What a pool needs and has.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Balance {
    /// What its tasks take up that run, or should.
    pub(super) needed: Size,
    /// What its workers offer, those on their way included.
    pub(super) offered: Size,
    /// How many workers that is.
    pub(super) workers: usize,
}

impl Balance {
    fn offer(&mut self, size: Size) {
        self.offered += size;
        self.workers += 1;
    }

    /// This without a machine of that size.
    pub(super) fn without(&self, size: Size) -> Balance {
        Balance {
            needed: self.needed,
            offered: self.offered - size,
            workers: self.workers.saturating_sub(1),
        }
    }

    /// This with a machine of that size more.
    pub(super) fn with(&self, size: Size) -> Balance {
        let mut balance = *self;
        balance.offer(size);
        balance
    }

    /// Whether tasks of this size in all find room, with `percent` of it left
    /// unused since tasks differ in size.
    pub(super) fn suffices(&self, percent: u64) -> bool {
        let stretch = |part: u64| part + part * percent / 100;
        let needed = Size {
            cpu_milli: stretch(self.needed.cpu_milli),
            memory_mb: stretch(self.needed.memory_mb),
            gpu: self.needed.gpu,
        };
        needed.fits(self.offered)
    }

    /// By how much the need exceeds the offer, in thousandths of the offer
    /// and one machine more.
    pub(super) fn lack_milli(&self) -> u64 {
        let part = |needed: u64, offered: u64| {
            needed.saturating_sub(offered) * 1_000 / offered.max(1)
        };
        let cpu = part(self.needed.cpu_milli, self.offered.cpu_milli);
        cpu.max(part(self.needed.memory_mb, self.offered.memory_mb))
    }
}

impl Scheduler {
    /// The balance of each pool that queues use.
    pub(super) fn balances(&mut self, state: &ControlState) -> IndexMap<Box<str>, Balance> {
        let mut pools: IndexMap<Box<str>, Balance> = IndexMap::new();
        if let Some(catalogue) = &state.catalogue {
            for queue in &catalogue.queues {
                pools.entry(queue.pool.clone()).or_default();
            }
        }
        self.add_work(&mut pools);
        self.add_workers(&mut pools);
        for (pool, balance) in &mut pools {
            let forecast = self.times.forecast(pool, self.now) + self.lasting(pool);
            balance.needed.cpu_milli = balance.needed.cpu_milli.max(forecast.cpu_milli);
            balance.needed.memory_mb = balance.needed.memory_mb.max(forecast.memory_mb);
        }
        pools
    }

    fn add_work(&self, pools: &mut IndexMap<Box<str>, Balance>) {
        for step in self.steps.values() {
            let Some(balance) = pools.get_mut(&step.pool) else {
                continue;
            };
            let mut count = step.pending.len() as u64;
            if self.step_prospect(step) != Prospect::InTime {
                count = (count * LATE_PERCENT).div_ceil(100);
            }
            balance.needed += step.footprint.times(count);
        }
    }

    fn add_workers(&self, pools: &mut IndexMap<Box<str>, Balance>) {
        for (_, worker) in self.workers.iter() {
            let Some(balance) = pools.get_mut(&worker.record.pool) else {
                continue;
            };
            balance.needed += worker.used;
            if worker.answers() && !worker.draining && !worker.cordoned {
                balance.offer(worker.record.capacity);
            }
        }
        for machine in self.machines.by_name.values() {
            if let Some(pool) = self.arrives_in(machine)
                && let Some(balance) = pools.get_mut(pool)
            {
                balance.offer(machine.view.capacity);
            }
        }
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

    /// What the tasks of a pool take up that run until they are cancelled.
    fn lasting(&self, pool: &str) -> Size {
        let steps = self.steps.values();
        let lasting = steps.filter(|step| *step.pool == *pool && !step.order.ends);
        lasting.fold(Size::default(), |sum, step| {
            let placed: u32 = step.placed.values().sum();
            sum + step.footprint.times(u64::from(placed))
        })
    }
}
