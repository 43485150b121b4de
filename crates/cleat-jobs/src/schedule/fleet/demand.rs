//! How much each pool needs and has.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::machine::{Machine, MachineOrder, MachineState};
use crate::Size;
use crate::schedule::account::CustomerKey;
use crate::schedule::step::ActiveStep;
use crate::schedule::timing::Timeliness;
use crate::schedule::{Decision, Scheduler};
use crate::state::ControlState;

/// Of the work that will be late anyway, the share in percent that machines
/// are brought for. It is worth less than a tenth, but has to end some time.
const LATE_PERCENT: u64 = 30;
/// The same for work that is worth nothing any more.
const TOO_LATE_PERCENT: u64 = 5;

/// How often the balances are logged.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

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
    least_workers: usize,
    /// What waits, as far as machines are brought for it.
    pending: Size,
    /// What runs.
    used: Size,
    /// How many tasks wait for room.
    waiting: u64,
    /// How many tasks run or wait that may not be beside each other.
    apart: usize,
    /// How many workers are there, those on their way not included.
    present: usize,
    /// The most of each resource that any of them has.
    largest: Size,
    /// The most of each resource that any of them has free.
    room: Size,
    /// What the tasks take up that wait and fit beside no worker's runs.
    misfits: Size,
}

impl Balance {
    fn offer(&mut self, size: Size) {
        self.offered += size;
        self.workers += 1;
    }

    /// This without a machine of that size.
    pub(super) fn without(&self, size: Size) -> Balance {
        Balance {
            offered: self.offered - size,
            workers: self.workers.saturating_sub(1),
            ..*self
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
        needed.fits(self.offered) && self.workers >= self.least_workers
    }

    /// Adds a worker that is there and takes work.
    fn add_present(&mut self, capacity: Size, room: Size) {
        self.present += 1;
        self.largest = self.largest.max_of_each(capacity);
        self.room = self.room.max_of_each(room);
    }

    /// Adds waiting tasks, of which `places` find one on the workers that are there. Of
    /// the rest those that take most of a worker don't share one.
    fn wait(&mut self, footprint: Size, count: u64, places: u64) {
        self.pending += footprint.times(count);
        if !footprint.fits(self.largest) {
            return;
        }
        let shares = footprint.times(2).fits(self.largest);
        let part = if shares { footprint } else { self.largest };
        self.misfits += part.times(count.saturating_sub(places));
    }

    /// How many workers the tasks fill that fit beside no worker's runs.
    fn workers_of_misfits(&self) -> usize {
        let workers = |part: u64, of: u64| part.div_ceil(of.max(1));
        let cpu = workers(self.misfits.cpu_milli, self.largest.cpu_milli);
        let memory = workers(self.misfits.memory_mb, self.largest.memory_mb);
        usize::try_from(cpu.max(memory)).unwrap_or(usize::MAX)
    }

    /// Counts the workers that its tasks need by their number. Of those that may not be
    /// beside each other there may be hundreds after a crash, for a moment, so that no
    /// more than twice the workers are asked for.
    fn count_workers(&mut self) {
        let apart = self.apart.min(2 * self.workers);
        let more = match self.workers_of_misfits() {
            0 => 0,
            misfits => self.present + misfits,
        };
        self.least_workers = self.least_workers.max(apart).max(more);
    }

    /// Which part of the need is met, in thousandths; that of the resource
    /// that lacks most.
    pub(super) fn met_milli(&self) -> u64 {
        let part = |needed: u64, offered: u64| match needed {
            0 => u64::MAX,
            _ => offered * 1_000 / needed,
        };
        let cpu = part(self.needed.cpu_milli, self.offered.cpu_milli);
        cpu.min(part(self.needed.memory_mb, self.offered.memory_mb))
    }

    /// By how much the need exceeds the offer, in thousandths of the offer
    /// and one machine more.
    pub(super) fn lack_milli(&self) -> u64 {
        let part =
            |needed: u64, offered: u64| needed.saturating_sub(offered) * 1_000 / offered.max(1);
        let cpu = part(self.needed.cpu_milli, self.offered.cpu_milli);
        let size = cpu.max(part(self.needed.memory_mb, self.offered.memory_mb));
        size.max(part(self.least_workers as u64, self.workers as u64))
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
        self.add_work(&mut pools);
        for (pool, balance) in &mut pools {
            // What waits is behind what is coming: a pool that holds no more than
            // what comes would never catch up.
            let flow = self.workload.forecast(pool, self.now) + self.lasting(pool);
            balance.needed = balance.used.max_of_each(flow) + balance.pending;
            balance.count_workers();
        }
        pools
    }

    /// Writes the balances to the log, once a second.
    pub(super) fn tell_balances(&mut self, balances: &IndexMap<Box<str>, Balance>) {
        if self.now < self.balances_logged_at + TELL_INTERVAL {
            return;
        }
        self.balances_logged_at = self.now;
        for (pool, balance) in balances.iter().filter(|(_, b)| b.needed.cpu_milli > 0) {
            let taking = self.candidates(pool);
            let free = taking
                .iter()
                .map(|key| self.workers[*key].free_capacity().cpu_milli);
            self.log(Decision::Pool {
                pool: pool.clone(),
                needed_cpu_milli: balance.needed.cpu_milli,
                needed_memory_mb: balance.needed.memory_mb,
                used_cpu_milli: balance.used.cpu_milli,
                offered_cpu_milli: balance.offered.cpu_milli,
                offered_memory_mb: balance.offered.memory_mb,
                workers: balance.workers,
                least_workers: balance.least_workers,
                taking: taking.len(),
                free_cpu_milli: free.sum(),
                waiting: balance.waiting,
            });
        }
    }

    /// Adds what waits, to pools whose workers are known. What its customer's cap holds
    /// back brings no machines: it could not start there.
    fn add_work(&self, pools: &mut IndexMap<Box<str>, Balance>) {
        let mut left: IndexMap<CustomerKey, Size> = IndexMap::new();
        for step in self.steps.values() {
            let Some(balance) = pools.get_mut(&step.pool) else {
                continue;
            };
            balance.least_workers = balance.least_workers.max(step.min_workers);
            let mut count = step.pending.len() as u64;
            balance.waiting += count;
            balance.apart += step
                .pending_suspects()
                .filter(|(_, suspicion)| suspicion.alone)
                .count();
            let percent = match step.timeliness(self.now) {
                Timeliness::InTime => 100,
                Timeliness::Late => LATE_PERCENT,
                Timeliness::TooLate => TOO_LATE_PERCENT,
            };
            count = (count * percent).div_ceil(100);
            if let Some(key) = step.charge.customer {
                let left = left
                    .entry(key)
                    .or_insert_with(|| self.accounts.get(key).left());
                count = count.min(step.charge.size.times_in(*left));
                *left -= step.charge.size.times(count);
            }
            balance.wait(step.footprint, count, self.places(step, balance.room));
        }
    }

    fn add_workers(&self, pools: &mut IndexMap<Box<str>, Balance>) {
        let (mut at_work, mut leaving) = (IndexSet::new(), IndexSet::new());
        for (key, worker) in self.workers.iter() {
            let record = &worker.record;
            let Some(balance) = pools.get_mut(&record.pool) else {
                continue;
            };
            balance.used += worker.used;
            balance.apart += usize::from(self.is_isolated(key));
            if worker.answers() && !worker.draining && !worker.cordoned {
                // What a task leaves free that is alone there is nobody's.
                balance.offer(match self.is_isolated(key) {
                    true => worker.used,
                    false => record.capacity,
                });
                balance.add_present(record.capacity, worker.free_capacity());
                at_work.extend(record.machine.as_deref());
            } else if worker.answers() {
                leaving.extend(record.machine.as_deref());
            }
        }
        for (name, machine) in &self.machines.by_name {
            if let Some(balance) = machine.reserved_for.as_ref().and_then(|p| pools.get_mut(p)) {
                balance.offer(machine.view.capacity);
                continue;
            }
            let Some(balance) = arrives_in(machine).and_then(|pool| pools.get_mut(pool)) else {
                continue;
            };
            let stays = machine.ordered.is_none() && leaving.contains(&**name);
            if !stays && !at_work.contains(&**name) {
                balance.offer(machine.view.capacity);
            }
        }
    }

    /// How many tasks of a step find a place on workers that are there, of which none has
    /// more than `room` free. What others leave of each may be much in all and of no use
    /// to a large task, or to one that others of its step have to be apart from.
    fn places(&self, step: &ActiveStep, room: Size) -> u64 {
        if step.pending.is_empty() || !step.footprint.fits(room) {
            return 0;
        }
        if step.max_per_worker.is_none() {
            return u64::MAX;
        }
        let workers = self.workers.in_pool(&step.pool);
        let takes = workers.filter(|(key, worker)| {
            worker.accepts_work(self.now)
                && step.footprint.fits(worker.free_capacity())
                && !step.is_full_on(*key)
        });
        takes.count() as u64
    }

    /// What the tasks of a pool take up that run until they are cancelled.
    fn lasting(&self, pool: &str) -> Size {
        let steps = self.steps.values();
        let lasting = steps.filter(|step| *step.pool == *pool && !step.order.finite);
        lasting.fold(Size::default(), |sum, step| {
            let placed: u32 = step.placed.values().sum();
            sum + step.footprint.times(u64::from(placed))
        })
    }
}

/// The pool in which a machine without a known worker is about to have one.
fn arrives_in(machine: &Machine) -> Option<&str> {
    let view = &machine.view;
    if let Some(ordered) = &machine.ordered {
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
