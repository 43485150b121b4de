//! What each pool needs and has, for the machine plan.
//!
//! Amounts are in thousandths of a machine of mean capacity, so that pools can be compared.
//! The resource of which the largest part of that machine is used counts.

use std::time::Duration;

use super::demand::{LATE_WORK_PERCENT, expected_pool};
use super::moves::FRAGMENTATION_PERCENT;
use crate::Size;
use crate::collections::{IndexMap, IndexSet};
use crate::schedule::Scheduler;
use crate::schedule::account::CustomerKey;
use crate::schedule::shares::ShareStatus;
use crate::schedule::step::ActiveStep;
use crate::schedule::timing::Timeliness;
use crate::schedule::worker::millis;
use crate::state::ControlState;

/// One machine, in the unit of the plan.
pub(super) const MACHINE: u64 = 1_000;

/// The class of a need. The classes are met in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// The minimum of a pool with waiting work.
    Floor,
    /// Running and waiting work that can be in time and is within shares, or the forecast
    /// of such work if that is larger. A machine that is ordered only when the work waits
    /// joins too late for it.
    InTime,
    /// Other work whose result has value.
    Other,
    /// The forecast of all work, including work beyond shares.
    Forecast,
}

impl Class {
    pub(super) const ALL: [Class; 4] = [Class::Floor, Class::InTime, Class::Other, Class::Forecast];
}

/// What a pool needs and has.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolState {
    /// The lowest number, which is the most urgent, among the priorities of its queues.
    pub(super) priority: u32,
    /// The need up to and including each class, in the order of [`Class::ALL`].
    pub(super) needs: [u64; 4],
    /// What the pool will need when a machine that is ordered now joins it, for as long as
    /// the move takes.
    pub(super) need_after_join: u64,
    /// The capacity that accepts work now.
    pub(super) accepting: u64,
    /// The capacity that is expected to join.
    pub(super) joining: u64,
    /// The machines of other pools that are being emptied for this pool.
    pub(super) draining: u64,
    /// The number of machines in `accepting`, `joining` and `draining`.
    pub(super) machines: usize,
    /// Whether tasks of the pool run, wait or are forecast.
    pub(super) has_work: bool,
    /// The maximum capacity of any machine that the pool has or will get, for each resource.
    max_capacity: Size,
    demand: Demand,
}

/// What a pool's jobs will use if they keep arriving at the current rate.
#[derive(Clone, Copy, Debug)]
struct Forecast {
    /// The use of the jobs within their customers' shares.
    within_shares: u64,
    /// The use of all jobs.
    all: u64,
}

/// The work of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Running and waiting work that can be in time and is within shares.
    in_time: u64,
    /// Running and waiting work that is beyond shares or late, as far as it has value.
    other: u64,
    /// The size of all running tasks.
    running: u64,
    /// The work of running tasks, of waiting ones that can be in time, and of the later
    /// steps of their jobs: their size times milliseconds.
    work_ms: u64,
    /// The size of running tasks that run until they are cancelled.
    long_running: u64,
    /// The size of waiting tasks of this kind that fit on no accepting worker.
    unplaceable: u64,
    /// The number of waiting tasks, including those beyond their customers' caps.
    waiting_tasks: u64,
    /// The largest waiting task that some machine of the fleet can run, for each
    /// resource.
    largest_waiting: Size,
    /// The minimum number of workers that its tasks need, since tasks of some steps run on
    /// different workers and isolated tasks alone on theirs.
    min_workers: usize,
    /// The maximum free capacity of any accepting worker, for each resource.
    max_free: Size,
}

/// The numbers of tasks of a step that count as demand.
#[derive(Clone, Copy, Debug)]
struct TaskCounts {
    running: u64,
    waiting: u64,
}

impl PoolState {
    /// The capacity that the pool has or will get.
    pub(super) fn planned(&self) -> u64 {
        self.accepting + self.joining + self.draining
    }

    /// Adds a machine that will join the pool. `size` is its capacity in the unit of the plan.
    pub(super) fn add_joining(&mut self, capacity: Size, size: u64) {
        self.joining += size;
        self.machines += 1;
        self.max_capacity = self.max_capacity.component_max(capacity);
    }

    /// Whether a machine of this capacity helps the pool. While none of its machines can run
    /// the largest waiting task, only one that can does.
    pub(super) fn suits(&self, capacity: Size) -> bool {
        let largest = self.demand.largest_waiting;
        largest.fits(self.max_capacity) || largest.fits(capacity)
    }

    /// The need up to and including this class.
    pub(super) fn need(&self, class: Class) -> u64 {
        self.needs[class as usize]
    }
}

impl Scheduler {
    /// The mean capacity of the machines that the platform listed.
    pub(super) fn mean_machine(&self) -> Size {
        let machines = self.machines.by_name.values();
        let total = machines.fold(Size::default(), |sum, machine| sum + machine.view.capacity);
        let count = self.machines.by_name.len().max(1) as u64;
        Size {
            cpu_milli: (total.cpu_milli / count).max(1),
            memory_mb: (total.memory_mb / count).max(1),
            gpu: total.gpu / count,
        }
    }

    /// The state of each pool that a queue uses.
    pub(super) fn pool_states(&mut self, state: &ControlState) -> IndexMap<Box<str>, PoolState> {
        let mut pools: IndexMap<Box<str>, PoolState> = IndexMap::default();
        for queue in state.catalogue.iter().flat_map(|c| &c.queues) {
            let pool = pools
                .entry(queue.pool.clone())
                .or_insert_with(|| PoolState {
                    priority: u32::MAX,
                    ..PoolState::default()
                });
            pool.priority = pool.priority.min(queue.priority);
        }
        let mean_machine = self.mean_machine();
        let machines = self.machines.by_name.values();
        let max_machine = machines.fold(Size::default(), |max, listed| {
            max.component_max(listed.view.capacity)
        });
        self.add_capacity(&mut pools, mean_machine);
        self.add_demand(&mut pools, mean_machine, max_machine);
        let now = self.now;
        for (name, pool) in &mut pools {
            let within_shares = self.workload.forecast_within_shares(name, now);
            let all = self.workload.forecast(name, now);
            let forecast = Forecast {
                within_shares: in_machines(within_shares, mean_machine),
                all: in_machines(all, mean_machine),
            };
            let join = self.machines.joins.expected(name);
            pool.set_needs(forecast, join);
        }
        pools
    }

    /// Adds the workers that accept work and the machines that are joining or draining.
    fn add_capacity(&self, pools: &mut IndexMap<Box<str>, PoolState>, mean_machine: Size) {
        let (mut accepting, mut leaving) = (IndexSet::default(), IndexSet::default());
        for (key, worker) in self.workers.iter() {
            let record = &worker.record;
            let Some(pool) = pools.get_mut(&record.pool) else {
                continue;
            };
            if !worker.answers() {
                continue;
            }
            if worker.draining || worker.cordoned {
                leaving.extend(record.machine.as_deref());
                continue;
            }
            accepting.extend(record.machine.as_deref());
            // No other task may use what an isolated task leaves free.
            let (capacity, free) = match self.is_isolated(key) {
                true => (worker.used, Size::default()),
                false => (record.capacity, worker.free_capacity()),
            };
            pool.accepting += in_machines(capacity, mean_machine);
            pool.machines += 1;
            pool.max_capacity = pool.max_capacity.component_max(record.capacity);
            pool.demand.max_free = pool.demand.max_free.component_max(free);
        }
        for (name, listed) in &self.machines.by_name {
            let size = in_machines(listed.view.capacity, mean_machine);
            if let Some(to) = &listed.reserved_for {
                if let Some(pool) = pools.get_mut(to) {
                    pool.draining += size;
                    pool.machines += 1;
                    pool.max_capacity = pool.max_capacity.component_max(listed.view.capacity);
                }
                continue;
            }
            let expected = expected_pool(listed).and_then(|pool| pools.get_mut(pool));
            let Some(pool) = expected.filter(|_| !listed.is_join_overdue()) else {
                continue;
            };
            // A machine whose worker is leaving joins a pool only by an order.
            let is_leaving = listed.pending_order.is_none() && leaving.contains(&**name);
            if !is_leaving && !accepting.contains(&**name) {
                pool.add_joining(listed.view.capacity, size);
            }
        }
    }

    /// Adds the running and waiting tasks. Waiting tasks beyond the cap of their customer, and
    /// those that no machine could hold, count for nothing, since they could not start on
    /// more machines either.
    fn add_demand(
        &self,
        pools: &mut IndexMap<Box<str>, PoolState>,
        mean_machine: Size,
        max_machine: Size,
    ) {
        let mut remaining: IndexMap<CustomerKey, Size> = IndexMap::default();
        for step in self.steps.values() {
            let Some(pool) = pools.get_mut(&step.pool) else {
                continue;
            };
            let demand = &mut pool.demand;
            let running: u64 = step.placed.values().map(|placed| u64::from(*placed)).sum();
            let mut waiting = step.pending.len() as u64;
            if waiting > 0 && !self.fleet_sizes.can_hold_step(step) {
                waiting = 0;
            }
            if running + waiting == 0 {
                continue;
            }
            demand.waiting_tasks += waiting;
            if waiting > 0 && step.footprint.fits(max_machine) {
                demand.largest_waiting = demand.largest_waiting.component_max(step.footprint);
            }
            if let Some(key) = step.charge.customer {
                let remaining = remaining
                    .entry(key)
                    .or_insert_with(|| self.accounts.get(key).remaining());
                waiting = waiting.min(step.charge.size.count_in(*remaining));
                *remaining -= step.charge.size.scaled(waiting);
            }
            let counts = TaskCounts { running, waiting };
            demand.add_constraints(step, counts, mean_machine, self.now);
            let within = !step.order.finite || self.share_status(step) == ShareStatus::Within;
            demand.add_classes(step, within, counts, mean_machine, self.now);
        }
    }
}

impl Demand {
    /// Adds the running tasks of a step, and what its tasks need beside free capacity.
    fn add_constraints(
        &mut self,
        step: &ActiveStep,
        counts: TaskCounts,
        mean_machine: Size,
        now: Duration,
    ) {
        let TaskCounts { running, waiting } = counts;
        let size = in_machines(step.footprint, mean_machine);
        self.running += size * running;
        let timeliness = step.timeliness(now);
        if timeliness == Timeliness::InTime {
            self.min_workers = self.min_workers.max(step.min_workers);
        }
        let isolated = step.pending_suspects().filter(|(_, s)| s.needs_isolation());
        self.min_workers = self.min_workers.max(isolated.count());
        if !step.order.finite {
            self.long_running += size * running;
            if waiting > 0 && !step.footprint.fits(self.max_free) {
                self.unplaceable += size * waiting;
            }
        }
    }

    /// Adds the tasks of a step to the classes of need. `within` is whether they are within
    /// their customer's share.
    fn add_classes(
        &mut self,
        step: &ActiveStep,
        within: bool,
        counts: TaskCounts,
        mean_machine: Size,
        now: Duration,
    ) {
        let TaskCounts { running, waiting } = counts;
        let size = in_machines(step.footprint, mean_machine);
        let path_ms = millis(step.critical_path);
        // On average, a running task has half of its duration left.
        let half_done = now + step.critical_path / 2;
        let running_in_time = !step.order.finite || half_done <= step.order.due;
        if running_in_time && within {
            self.in_time += size * running;
        } else {
            self.other += size * running;
        }
        let mut work = size * running / 2;
        match step.timeliness(now) {
            Timeliness::InTime => {
                match within {
                    true => self.in_time += size * waiting,
                    false => self.other += size * waiting,
                }
                work += size * waiting;
            }
            Timeliness::Late => {
                let counted = size * waiting * LATE_WORK_PERCENT / 100;
                // Late work is served after other work, in the time until it has no value.
                let left_ms = millis(step.zero_value_at.saturating_sub(now)).max(1);
                self.other += (counted * path_ms).div_ceil(left_ms);
            }
            Timeliness::TooLate => {}
        }
        if step.order.finite {
            self.work_ms += work * path_ms;
        }
    }
}

impl PoolState {
    /// Computes the needs from the demand, the forecast and the time that a move to the pool
    /// takes.
    fn set_needs(&mut self, forecast: Forecast, join: Duration) {
        let demand = self.demand;
        let reserve = |need: u64| need + need * FRAGMENTATION_PERCENT / 100;
        let floor = match demand.waiting_tasks + demand.running {
            0 => 0,
            _ => MACHINE.max(demand.min_workers as u64 * MACHINE),
        };
        // The pool needs another machine if none that it has can run its largest task.
        let floor = match demand.largest_waiting.fits(self.max_capacity) {
            true => floor,
            false => floor.max(self.planned() + MACHINE),
        };
        let unplaceable = match demand.unplaceable {
            0 => 0,
            size => self.accepting + size,
        };
        let expected = reserve(forecast.within_shares + demand.long_running);
        let in_time = reserve(demand.in_time).max(floor).max(unplaceable);
        let in_time = in_time.max(expected);
        let other = in_time.max(reserve(demand.in_time + demand.other));
        let with_forecast = other.max(reserve(forecast.all + demand.long_running));
        self.needs = [floor, in_time, other, with_forecast];
        // What is left of the work when a machine that is ordered now joins. Machines that
        // are joining do so half of that time from now on average.
        let join_ms = millis(join).max(1);
        let until_join = (self.accepting + self.joining / 2).saturating_sub(demand.long_running);
        let left = (demand.work_ms + forecast.all * join_ms).saturating_sub(until_join * join_ms);
        let need = forecast.all + demand.long_running + left / join_ms;
        self.need_after_join = reserve(need).max(floor).max(unplaceable);
        self.has_work = with_forecast > 0;
    }
}

/// A size in the unit of the plan, thousandths of the mean machine.
pub(super) fn in_machines(size: Size, mean_machine: Size) -> u64 {
    let part = |amount: u64, of: u64| (amount * MACHINE).checked_div(of).unwrap_or_default();
    let cpu = part(size.cpu_milli, mean_machine.cpu_milli);
    let memory = part(size.memory_mb, mean_machine.memory_mb);
    cpu.max(memory).max(part(size.gpu, mean_machine.gpu))
}
