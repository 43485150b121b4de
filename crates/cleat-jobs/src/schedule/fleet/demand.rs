//! How much each pool needs and has.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::machine::{Machine, MachineOrder, MachineState};
use crate::Size;
use crate::schedule::account::CustomerKey;
use crate::schedule::step::ActiveStep;
use crate::schedule::timing::Prospect;
use crate::schedule::{Decision, Scheduler};
use crate::state::ControlState;

/// Of the work that will be late anyway, the share in percent that machines
/// are brought for. It is worth less than a tenth, but has to end some time.
const LATE_WORK_PERCENT: u64 = 30;
/// The same for work that is worth nothing any more.
const WORTHLESS_WORK_PERCENT: u64 = 5;

/// How often the balances are logged.
const BALANCE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a pool needs and has.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Balance {
    /// What its tasks take up that run, or should.
    pub(super) needed: Size,
    /// What its workers offer, those on their way included.
    pub(super) offered: Size,
    /// How many workers that is.
    pub(super) workers: usize,
    /// How many workers its steps need that may put only so many tasks on one.
    min_workers: usize,
    /// What waits, as far as machines are brought for it.
    pending: Size,
    /// What runs.
    used: Size,
    /// How many tasks wait for room.
    waiting_tasks: u64,
    /// How many tasks run or wait that may not be beside each other.
    isolated_tasks: usize,
    /// How many workers are there, those on their way not included.
    accepting: usize,
    /// The most of each resource that any of them has.
    max_capacity: Size,
    /// The most of each resource that any of them has free.
    max_free: Size,
    /// What the tasks take up that wait and fit beside no worker's runs.
    unplaceable: Size,
}

impl Balance {
    fn add_worker(&mut self, size: Size) {
        self.offered += size;
        self.workers += 1;
    }

    /// This without a machine of that size.
    pub(super) fn without_machine(&self, size: Size) -> Balance {
        Balance {
            offered: self.offered - size,
            workers: self.workers.saturating_sub(1),
            ..*self
        }
    }

    /// This with a machine of that size more.
    pub(super) fn with_machine(&self, size: Size) -> Balance {
        let mut balance = *self;
        balance.add_worker(size);
        balance
    }

    /// Whether tasks of this size in all find room, with `percent` of it left
    /// unused since tasks differ in size.
    pub(super) fn covers_need(&self, reserve_percent: u64) -> bool {
        let with_reserve = |part: u64| part + part * reserve_percent / 100;
        let needed = Size {
            cpu_milli: with_reserve(self.needed.cpu_milli),
            memory_mb: with_reserve(self.needed.memory_mb),
            gpu: self.needed.gpu,
        };
        needed.fits(self.offered) && self.workers >= self.min_workers
    }

    /// Adds a worker that is there and takes work.
    fn add_accepting(&mut self, capacity: Size, free: Size) {
        self.accepting += 1;
        self.max_capacity = self.max_capacity.component_max(capacity);
        self.max_free = self.max_free.component_max(free);
    }

    /// Adds waiting tasks, of which `placeable` find one on the workers that are there. Of
    /// the rest those that take most of a worker don't share one.
    fn add_waiting(&mut self, footprint: Size, count: u64, placeable: u64) {
        self.pending += footprint.scaled(count);
        if !footprint.fits(self.max_capacity) {
            return;
        }
        let shares = footprint.scaled(2).fits(self.max_capacity);
        let part = if shares { footprint } else { self.max_capacity };
        self.unplaceable += part.scaled(count.saturating_sub(placeable));
    }

    /// How many workers the tasks fill that fit beside no worker's runs.
    fn workers_for_unplaceable(&self) -> usize {
        let workers = |part: u64, of: u64| part.div_ceil(of.max(1));
        let cpu = workers(self.unplaceable.cpu_milli, self.max_capacity.cpu_milli);
        let memory = workers(self.unplaceable.memory_mb, self.max_capacity.memory_mb);
        usize::try_from(cpu.max(memory)).unwrap_or(usize::MAX)
    }

    /// Counts the workers that its tasks need by their number. Of those that may not be
    /// beside each other there may be hundreds after a crash, for a moment, so that no
    /// more than twice the workers are asked for.
    fn update_min_workers(&mut self) {
        let isolated = self.isolated_tasks.min(2 * self.workers);
        let for_unplaceable = match self.workers_for_unplaceable() {
            0 => 0,
            more => self.accepting + more,
        };
        self.min_workers = self.min_workers.max(isolated).max(for_unplaceable);
    }

    /// Which part of the need is met, in thousandths; that of the resource
    /// that lacks most.
    pub(super) fn coverage_milli(&self) -> u64 {
        let part = |needed: u64, offered: u64| match needed {
            0 => u64::MAX,
            _ => offered * 1_000 / needed,
        };
        let cpu = part(self.needed.cpu_milli, self.offered.cpu_milli);
        cpu.min(part(self.needed.memory_mb, self.offered.memory_mb))
    }

    /// By how much the need exceeds the offer, in thousandths of the offer
    /// and one machine more.
    pub(super) fn shortage_milli(&self) -> u64 {
        let part =
            |needed: u64, offered: u64| needed.saturating_sub(offered) * 1_000 / offered.max(1);
        let cpu = part(self.needed.cpu_milli, self.offered.cpu_milli);
        let size = cpu.max(part(self.needed.memory_mb, self.offered.memory_mb));
        size.max(part(self.min_workers as u64, self.workers as u64))
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
        self.add_workers(&mut pools);
        self.add_waiting_work(&mut pools);
        for (pool, balance) in &mut pools {
            // What waits is behind what is coming: a pool that holds no more than
            // what comes would never catch up.
            let flow = self.times.forecast(pool, self.now) + self.long_running_usage(pool);
            balance.needed = balance.used.component_max(flow) + balance.pending;
            balance.update_min_workers();
        }
        pools
    }

    /// Writes the balances to the log, once a second.
    pub(super) fn log_balances(&mut self, balances: &IndexMap<Box<str>, Balance>) {
        if self.now < self.balances_told + BALANCE_LOG_INTERVAL {
            return;
        }
        self.balances_told = self.now;
        for (pool, balance) in balances.iter().filter(|(_, b)| b.needed.cpu_milli > 0) {
            let taking = self.candidates(pool);
            let free = taking.iter().map(|key| self.workers[*key].room().cpu_milli);
            self.tell(Decision::Pool {
                pool: pool.clone(),
                needed_cpu_milli: balance.needed.cpu_milli,
                needed_memory_mb: balance.needed.memory_mb,
                used_cpu_milli: balance.used.cpu_milli,
                offered_cpu_milli: balance.offered.cpu_milli,
                offered_memory_mb: balance.offered.memory_mb,
                workers: balance.workers,
                least_workers: balance.min_workers,
                taking: taking.len(),
                free_cpu_milli: free.sum(),
                waiting: balance.waiting_tasks,
            });
        }
    }

    /// Adds what waits, to pools whose workers are known. What its customer's cap holds
    /// back brings no machines: it could not start there.
    fn add_waiting_work(&self, pools: &mut IndexMap<Box<str>, Balance>) {
        let mut left: IndexMap<CustomerKey, Size> = IndexMap::new();
        for step in self.steps.values() {
            let Some(balance) = pools.get_mut(&step.pool) else {
                continue;
            };
            balance.min_workers = balance.min_workers.max(step.min_workers);
            let mut count = step.pending.len() as u64;
            balance.waiting_tasks += count;
            balance.isolated_tasks += step
                .waiting_suspects()
                .filter(|(_, suspicion)| suspicion.needs_isolation)
                .count();
            let percent = match step.prospect(self.now) {
                Prospect::InTime => 100,
                Prospect::Late => LATE_WORK_PERCENT,
                Prospect::TooLate => WORTHLESS_WORK_PERCENT,
            };
            count = (count * percent).div_ceil(100);
            if let Some(key) = step.charge.customer {
                let left = left
                    .entry(key)
                    .or_insert_with(|| self.accounts.get(key).remaining());
                count = count.min(step.charge.size.count_in(*left));
                *left -= step.charge.size.scaled(count);
            }
            balance.add_waiting(
                step.footprint,
                count,
                self.placeable_tasks(step, balance.max_free),
            );
        }
    }

    fn add_workers(&self, pools: &mut IndexMap<Box<str>, Balance>) {
        let (mut working, mut leaving) = (IndexSet::new(), IndexSet::new());
        for (key, worker) in self.workers.iter() {
            let record = &worker.record;
            let Some(balance) = pools.get_mut(&record.pool) else {
                continue;
            };
            balance.used += worker.used;
            balance.isolated_tasks += usize::from(self.is_taken_alone(key));
            if worker.answers() && !worker.draining && !worker.cordoned {
                // What a task leaves free that is alone there is nobody's.
                balance.add_worker(match self.is_taken_alone(key) {
                    true => worker.used,
                    false => record.capacity,
                });
                balance.add_accepting(record.capacity, worker.room());
                working.extend(record.machine.as_deref());
            } else if worker.answers() {
                leaving.extend(record.machine.as_deref());
            }
        }
        for (name, machine) in &self.machines.by_name {
            if let Some(balance) = machine.reserved_for.as_ref().and_then(|p| pools.get_mut(p)) {
                balance.add_worker(machine.view.capacity);
                continue;
            }
            let Some(balance) = expected_pool(machine).and_then(|pool| pools.get_mut(pool)) else {
                continue;
            };
            let stays = machine.pending_order.is_none() && leaving.contains(&**name);
            if !stays && !working.contains(&**name) {
                balance.add_worker(machine.view.capacity);
            }
        }
    }

    /// How many tasks of a step find a place on workers that are there, of which none has
    /// more than `room` free. What others leave of each may be much in all and of no use
    /// to a large task, or to one that others of its step have to be apart from.
    fn placeable_tasks(&self, step: &ActiveStep, room: Size) -> u64 {
        if step.pending.is_empty() || !step.footprint.fits(room) {
            return 0;
        }
        if step.most_on_one.is_none() {
            return u64::MAX;
        }
        let workers = self.workers.in_pool(&step.pool);
        let takes = workers.filter(|(key, worker)| {
            worker.takes_work(self.now)
                && step.footprint.fits(worker.room())
                && !step.is_full_on(*key)
        });
        takes.count() as u64
    }

    /// What the tasks of a pool take up that run until they are cancelled.
    fn long_running_usage(&self, pool: &str) -> Size {
        let steps = self.steps.values();
        let lasting = steps.filter(|step| *step.pool == *pool && !step.order.ends);
        lasting.fold(Size::default(), |sum, step| {
            let placed: u32 = step.placed.values().sum();
            sum + step.footprint.scaled(u64::from(placed))
        })
    }
}

/// The pool in which a machine without a known worker is about to have one.
fn expected_pool(machine: &Machine) -> Option<&str> {
    let view = &machine.view;
    if let Some(ordered) = &machine.pending_order {
        return match &ordered.order {
            MachineOrder::Move { pool } => Some(pool),
            MachineOrder::Maintain { .. } => Some(&view.pool),
        };
    }
    let arrives = match view.state {
        MachineState::Moving | MachineState::Maintained => true,
        MachineState::Up => view.worker.is_some(),
        MachineState::Down | MachineState::Unknown => false,
    };
    arrives.then_some(&*view.pool)
}
