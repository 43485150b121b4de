//! The resources that each pool needs and offers.

use std::time::Duration;

use super::machine::{Machine, MachineOrder, MachineState};
use crate::Size;
use crate::collections::IndexMap;
use crate::schedule::step::ActiveStep;
use crate::schedule::timing::Timeliness;
use crate::schedule::worker::{Worker, WorkerKey, millis};
use crate::schedule::{Decision, Scheduler};
use crate::state::ControlState;

/// The percentage of late work that counts as demand for machines. The result of late
/// work has less than a tenth of the value that it would have had in time, but the work
/// has to be done eventually.
pub(super) const LATE_WORK_PERCENT: u64 = 30;
/// The percentage of work that counts as demand for machines if it will end too late
/// for its result to have any value.
const TOO_LATE_WORK_PERCENT: u64 = 5;

/// The interval at which the balances are logged.
pub(super) const BALANCE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The resources that a pool needs and offers.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::schedule) struct Balance {
    /// The resources for its running and waiting tasks and for the work that is forecast.
    pub(in crate::schedule) needed: Size,
    /// The capacity of its workers, including those that are expected to join.
    pub(in crate::schedule) offered: Size,
    /// The number of workers in `offered`.
    pub(super) workers: usize,
    /// The minimum number of workers that its tasks need, since tasks of some steps
    /// can't share a worker.
    min_workers: usize,
    /// The total size of its waiting tasks, as far as they count as demand for machines.
    pending: Size,
    /// The total size of its runs.
    used: Size,
    /// The number of waiting tasks.
    waiting_tasks: u64,
    /// The number of workers on which a task runs that must run alone.
    isolated_workers: usize,
    /// The number of waiting tasks that must run alone on their worker.
    waiting_isolated: usize,
    /// The number of waiting tasks that may have crashed a worker.
    waiting_suspects: usize,
    /// The number of workers that accept tasks now, without those expected to join.
    accepting: usize,
    /// The capacity of the accepting workers.
    accepting_capacity: Size,
    /// The maximum capacity of any accepting worker, for each resource.
    max_capacity: Size,
    /// The maximum free capacity of any accepting worker, for each resource.
    max_free: Size,
    /// The total size of the waiting tasks for which no accepting worker has free capacity.
    unplaceable: Size,
}

/// The workers that answer on a machine.
#[derive(Clone, Copy, Debug, Default)]
struct Presence {
    /// Whether one accepts work.
    accepting: bool,
    /// Whether one is leaving.
    leaving: bool,
}

impl Presence {
    const ACCEPTING: Presence = Presence {
        accepting: true,
        leaving: false,
    };
    const LEAVING: Presence = Presence {
        accepting: false,
        leaving: true,
    };

    fn add(&mut self, other: Presence) {
        self.accepting |= other.accepting;
        self.leaving |= other.leaving;
    }
}

impl Balance {
    fn add_worker(&mut self, size: Size) {
        self.offered += size;
        self.workers += 1;
    }

    /// The balance with one machine of this size less.
    pub(super) fn without_machine(&self, size: Size) -> Balance {
        Balance {
            offered: self.offered - size,
            workers: self.workers.saturating_sub(1),
            ..*self
        }
    }

    /// The balance with one more machine of this size.
    pub(super) fn with_machine(&self, size: Size) -> Balance {
        let mut balance = *self;
        balance.add_worker(size);
        balance
    }

    /// Whether the offer covers the need plus `reserve_percent` of it. A reserve is
    /// needed because tasks of different sizes leave part of a worker unused.
    pub(super) fn covers_need(&self, reserve_percent: u64) -> bool {
        let with_reserve = |amount: u64| amount + amount * reserve_percent / 100;
        let needed = Size {
            cpu_milli: with_reserve(self.needed.cpu_milli),
            memory_mb: with_reserve(self.needed.memory_mb),
            gpu: self.needed.gpu,
        };
        needed.fits(self.offered) && self.workers >= self.min_workers
    }

    /// Adds a worker that accepts tasks now.
    fn add_accepting(&mut self, capacity: Size, free: Size) {
        self.accepting += 1;
        self.accepting_capacity += capacity;
        self.max_capacity = self.max_capacity.component_max(capacity);
        self.max_free = self.max_free.component_max(free);
    }

    /// Adds waiting tasks, of which up to `placeable` fit on the accepting workers. Of the
    /// others, a task of more than half a worker counts as a whole one.
    fn add_waiting(&mut self, footprint: Size, count: u64, placeable: u64) {
        self.pending += footprint.scaled(count);
        if !footprint.fits(self.max_capacity) {
            return;
        }
        let can_share = footprint.scaled(2).fits(self.max_capacity);
        let size = if can_share {
            footprint
        } else {
            self.max_capacity
        };
        self.unplaceable += size.scaled(count.saturating_sub(placeable));
    }

    /// The number of additional workers that the unplaceable tasks fill.
    fn workers_for_unplaceable(&self) -> usize {
        let workers = |size: u64, capacity: u64| size.div_ceil(capacity.max(1));
        let cpu = workers(self.unplaceable.cpu_milli, self.max_capacity.cpu_milli);
        let memory = workers(self.unplaceable.memory_mb, self.max_capacity.memory_mb);
        usize::try_from(cpu.max(memory)).unwrap_or(usize::MAX)
    }

    /// Raises the minimum number of workers for isolated and unplaceable tasks. After a
    /// crash there may briefly be hundreds of isolated tasks, so they raise it to at most
    /// twice the number of workers.
    fn update_min_workers(&mut self) {
        let isolated = self.isolated_workers + self.waiting_isolated;
        let isolated = isolated.min(2 * self.workers);
        let for_unplaceable = match self.workers_for_unplaceable() {
            0 => 0,
            additional => self.accepting + additional,
        };
        self.min_workers = self.min_workers.max(isolated).max(for_unplaceable);
    }

    /// The part of the need that the offer covers, in thousandths, of the scarcest
    /// resource.
    pub(super) fn coverage_milli(&self) -> u64 {
        let coverage = |needed: u64, offered: u64| match needed {
            0 => u64::MAX,
            _ => offered * 1_000 / needed,
        };
        let cpu = coverage(self.needed.cpu_milli, self.offered.cpu_milli);
        cpu.min(coverage(self.needed.memory_mb, self.offered.memory_mb))
    }

    /// The amount by which the need exceeds the offer, in thousandths of the offer, of
    /// the scarcest resource or of the number of workers.
    pub(super) fn shortage_milli(&self) -> u64 {
        let shortage =
            |needed: u64, offered: u64| needed.saturating_sub(offered) * 1_000 / offered.max(1);
        let cpu = shortage(self.needed.cpu_milli, self.offered.cpu_milli);
        let size = cpu.max(shortage(self.needed.memory_mb, self.offered.memory_mb));
        size.max(shortage(self.min_workers as u64, self.workers as u64))
    }
}

impl Scheduler {
    /// The balance of each pool that a queue uses.
    pub(in crate::schedule) fn balances(
        &mut self,
        state: &ControlState,
    ) -> IndexMap<Box<str>, Balance> {
        let mut pools: IndexMap<Box<str>, Balance> = IndexMap::default();
        if let Some(catalogue) = &state.catalogue {
            for queue in &catalogue.queues {
                pools.entry(queue.pool.clone()).or_default();
            }
        }
        self.add_workers(&mut pools);
        let long_running = self.add_steps(&mut pools);
        for ((pool, balance), long_running) in pools.iter_mut().zip(long_running) {
            // Waiting tasks are added to the forecast. A pool with capacity for new work
            // only would never reduce its backlog.
            let expected = self.workload.forecast(pool, self.now) + long_running;
            balance.needed = balance.used.component_max(expected) + balance.pending;
            balance.update_min_workers();
        }
        pools
    }

    /// Logs the balances, once a second.
    pub(super) fn log_balances(&mut self, balances: &IndexMap<Box<str>, Balance>) {
        if self.now < self.balances_logged_at + BALANCE_LOG_INTERVAL {
            return;
        }
        self.balances_logged_at = self.now;
        for (pool, balance) in balances.iter().filter(|(_, b)| b.needed.cpu_milli > 0) {
            let candidates = self.candidates(pool);
            let free = candidates
                .iter()
                .map(|key| self.workers[*key].free_capacity().cpu_milli);
            let joining = balance.offered.saturating_sub(balance.accepting_capacity);
            self.log(Decision::Pool {
                pool: pool.clone(),
                needed_cpu_milli: balance.needed.cpu_milli,
                needed_memory_mb: balance.needed.memory_mb,
                used_cpu_milli: balance.used.cpu_milli,
                offered_cpu_milli: balance.offered.cpu_milli,
                offered_memory_mb: balance.offered.memory_mb,
                workers: balance.workers,
                least_workers: balance.min_workers,
                taking: candidates.len(),
                free_cpu_milli: free.sum(),
                waiting: balance.waiting_tasks,
                isolated: balance.isolated_workers,
                waiting_suspects: balance.waiting_suspects,
                waiting_isolated: balance.waiting_isolated,
                joining_cpu_milli: joining.cpu_milli,
                expected_join_ms: millis(self.machines.joins.expected(pool)),
            });
        }
    }

    /// Adds the waiting tasks, and returns the total size of the placed tasks of each pool
    /// that run until they are cancelled. Workers must have been added before. Tasks beyond
    /// the cap of their customer don't count as demand, since they could not start on more
    /// machines either, and no more do those that no machine could hold.
    fn add_steps(&self, pools: &mut IndexMap<Box<str>, Balance>) -> Vec<Size> {
        let mut remaining: Vec<Option<Size>> = vec![None; self.accounts.count()];
        let mut long_running = vec![Size::default(); pools.len()];
        let names = self.pool_names.iter();
        let indexes: Vec<Option<usize>> = names.map(|name| pools.get_index_of(name)).collect();
        for step in self.steps.values() {
            let Some(index) = indexes[step.pool_key.index()] else {
                continue;
            };
            let Some((_, balance)) = pools.get_index_mut(index) else {
                continue;
            };
            if !step.order.finite {
                let placed: u32 = step.placed.values().sum();
                long_running[index] += step.footprint.scaled(u64::from(placed));
            }
            let mut count = step.pending.len() as u64;
            balance.waiting_tasks += count;
            if count > 0 && !self.fleet_sizes.can_hold_step(step) {
                continue;
            }
            balance.min_workers = balance.min_workers.max(step.min_workers);
            for (_, suspicion) in step.pending_suspects() {
                balance.waiting_suspects += 1;
                balance.waiting_isolated += usize::from(suspicion.needs_isolation());
            }
            let percent = match step.timeliness(self.now) {
                Timeliness::InTime => 100,
                Timeliness::Late => LATE_WORK_PERCENT,
                Timeliness::TooLate => TOO_LATE_WORK_PERCENT,
            };
            count = (count * percent).div_ceil(100);
            if let Some(key) = step.charge.customer {
                let remaining = remaining[key.index()]
                    .get_or_insert_with(|| self.accounts.get(key).remaining());
                count = count.min(step.charge.size.count_in(*remaining));
                *remaining -= step.charge.size.scaled(count);
            }
            balance.add_waiting(
                step.footprint,
                count,
                self.placeable_tasks(step, balance.max_free),
            );
        }
        long_running
    }

    fn add_workers(&self, pools: &mut IndexMap<Box<str>, Balance>) {
        let mut presences = vec![Presence::default(); self.machines.by_name.len()];
        for pool in self.workers.pools() {
            let Some(balance) = pools.get_mut(pool) else {
                continue;
            };
            for (key, worker) in self.workers.in_pool(pool) {
                let presence = self.add_worker(balance, key, worker);
                let machine = worker.record.machine.as_ref();
                if let Some(presence) = presence
                    && let Some(index) = machine.and_then(|m| self.machines.by_name.get_index_of(m))
                {
                    presences[index].add(presence);
                }
            }
        }
        self.add_machines(pools, &presences);
    }

    /// Adds a worker to the balance of its pool. Returns how it counts for its machine, if it
    /// answers.
    fn add_worker(
        &self,
        balance: &mut Balance,
        key: WorkerKey,
        worker: &Worker,
    ) -> Option<Presence> {
        let capacity = worker.record.capacity;
        let is_isolated = self.is_isolated(key);
        balance.used += self.at_speed(key, worker.used);
        balance.isolated_workers += usize::from(is_isolated);
        if !worker.answers() {
            return None;
        }
        if worker.draining || worker.cordoned {
            return Some(Presence::LEAVING);
        }
        // No other task may use what an isolated task leaves free.
        balance.add_worker(match is_isolated {
            true => worker.used,
            false => self.at_speed(key, capacity),
        });
        // Tasks are placed on slow workers only as a last resort.
        let free = match self.is_slow(key) {
            true => Size::default(),
            false => worker.free_capacity(),
        };
        balance.add_accepting(capacity, free);
        Some(Presence::ACCEPTING)
    }

    /// Adds the machines without a worker that accepts work, to the pools that they are
    /// expected to join. `presences` are in the order of the machines.
    fn add_machines(&self, pools: &mut IndexMap<Box<str>, Balance>, presences: &[Presence]) {
        for (machine, presence) in self.machines.by_name.values().zip(presences) {
            if let Some(balance) = machine.reserved_for.as_ref().and_then(|p| pools.get_mut(p)) {
                balance.add_worker(machine.view.capacity);
                continue;
            }
            // A machine whose worker is leaving joins a pool only by an order.
            let is_leaving = machine.pending_order.is_none() && presence.leaving;
            if is_leaving || presence.accepting {
                continue;
            }
            let pool = expected_pool(machine);
            if let Some(balance) = pool.and_then(|pool| pools.get_mut(pool)) {
                balance.add_worker(machine.view.capacity);
            }
        }
    }

    /// The number of waiting tasks of a step that are assumed to fit on the accepting workers, of
    /// which none has more than `max_free` free: one on each suitable worker if the step
    /// limits its tasks on a worker, else any number. The total free capacity is no
    /// measure, since it may be spread over workers that are each too full for a large
    /// task, or that each have as many tasks of the step as they may.
    fn placeable_tasks(&self, step: &ActiveStep, max_free: Size) -> u64 {
        if step.pending.is_empty() || !step.footprint.fits(max_free) {
            return 0;
        }
        if step.max_per_worker.is_none() {
            return u64::MAX;
        }
        let workers = self.workers.in_pool(&step.pool);
        let suitable = workers.filter(|(key, worker)| {
            worker.accepts_work(self.now)
                && step.footprint.fits(worker.free_capacity())
                && !step.is_full_on(*key)
        });
        suitable.take(step.pending.len()).count() as u64
    }
}

/// The pool that a machine without an answering worker is expected to join.
pub(super) fn expected_pool(machine: &Machine) -> Option<&str> {
    let view = &machine.view;
    if let Some(pending) = &machine.pending_order {
        return match &pending.order {
            MachineOrder::Move { pool } => Some(pool),
            MachineOrder::Maintain { .. } => Some(&view.pool),
        };
    }
    let is_expected = match view.state {
        MachineState::Moving | MachineState::Maintained => true,
        MachineState::Up => view.worker.is_some(),
        MachineState::Down | MachineState::Unknown => false,
    };
    is_expected.then_some(&*view.pool)
}
