//! Sums the work and the capacity of each pool, once a tick.

use std::time::Duration;

use super::estimate::{Capacity, ExpectedJoin, PoolLoad, Rank, Work, clock_seconds};
use crate::StepId;
use crate::collections::IndexMap;
use crate::schedule::fleet::{FRAGMENTATION_PERCENT, Machine, MachineOrder, MachineState};
use crate::schedule::ready::DISPATCH_OVERHEAD;
use crate::schedule::shares::ShareStatus;
use crate::schedule::timing::Timeliness;
use crate::schedule::worker::WorkerState;
use crate::schedule::{Scheduler, forecast};
use crate::state::ControlState;

/// How long an accepted job counts as waiting work without being applied. A commit takes
/// some 20 ms; after this time the caller has given up.
const MAX_COMMIT_TIME: Duration = Duration::from_secs(3);

type Capacities = IndexMap<Box<str>, Capacity>;
type Pools = IndexMap<Box<str>, PoolLoad>;

impl Scheduler {
    /// Rebuilds the sums from which submitted jobs are accepted or refused.
    pub(in crate::schedule) fn rebuild_admission(&mut self, state: &ControlState) {
        if !self.cfg.features.admission {
            return;
        }
        self.log_refusals();
        let Some(catalogue) = &state.catalogue else {
            return;
        };
        let mut capacities = Capacities::default();
        for queue in &catalogue.queues {
            if !capacities.contains_key(&queue.pool) {
                capacities.insert(queue.pool.clone(), Capacity::default());
            }
        }
        self.add_present_workers(&mut capacities);
        self.add_joining_machines(&mut capacities);
        self.add_obtainable_machines(state, &mut capacities);
        self.subtract_long_running(&mut capacities);
        self.admission.bookings.remove_expired(self.now);
        let (active, unapplied) = (&self.active_jobs, &self.admission.unapplied);
        self.admission
            .accepted_late
            .retain(|id| active.contains(id) || unapplied.contains_key(id));
        let now = clock_seconds(self.now);
        let mut pools = std::mem::take(&mut self.admission.pools);
        for (pool, capacity) in &capacities {
            let seen = self.workers.in_pool(pool).next().is_some()
                || self.machines.by_name.values().any(|m| m.view.pool == *pool);
            let load = pools.entry(pool.clone()).or_default();
            load.seen |= seen;
            load.reset(now, capacity);
        }
        self.add_active_steps(state, &mut pools);
        self.add_later_steps(state, &mut pools);
        self.add_promised_work(&mut pools);
        self.admission.pools = pools;
    }

    /// Adds the workers that accept work, and those that have not answered this owner
    /// yet.
    fn add_present_workers(&self, capacities: &mut Capacities) {
        for (_, worker) in self.workers.iter() {
            let stays = !worker.draining && !worker.cordoned;
            let unseen = worker.state == WorkerState::Unseen;
            if !stays || !(unseen || worker.answers()) {
                continue;
            }
            if let Some(capacity) = capacities.get_mut(&worker.record.pool) {
                capacity.present += Work::of(worker.record.capacity);
                capacity.free += Work::of(worker.free_capacity());
            }
        }
    }

    /// Adds the machines that are on their way to a pool.
    fn add_joining_machines(&self, capacities: &mut Capacities) {
        for machine in self.machines.by_name.values() {
            let Some((pool, joins_at)) = self.expected_join(machine) else {
                continue;
            };
            if let Some(capacity) = capacities.get_mut(pool) {
                let at = joins_at.saturating_sub(self.now).as_secs_f64();
                let size = Work::of(machine.view.capacity);
                capacity.joins.push(ExpectedJoin { at, capacity: size });
            }
        }
    }

    /// The pool that a machine will join, and when. A move that takes more than twice the
    /// usual time may have failed and is not relied on.
    fn expected_join<'a>(&self, machine: &'a Machine) -> Option<(&'a str, Duration)> {
        if let Some(pool) = &machine.reserved_for {
            return Some((pool, self.now + forecast::LEAD_TIME));
        }
        if let Some(pending) = &machine.pending_order {
            let MachineOrder::Move { pool } = &pending.order else {
                return None;
            };
            let ordered_at = pending.accepted_at.unwrap_or(pending.sent_at);
            let overdue = self.now > ordered_at + forecast::LEAD_TIME * 2;
            // Until the move ends it, the worker is still known with its old pool.
            let worker = self.workers.on_machine(&machine.view.name);
            let joined = worker.is_some_and(|key| self.workers[key].record.pool == *pool);
            let is_expected = !overdue && !joined;
            return is_expected.then(|| (&**pool, ordered_at + forecast::LEAD_TIME));
        }
        let moving = machine.view.state == MachineState::Moving;
        moving.then(|| (&*machine.view.pool, self.now + forecast::LEAD_TIME))
    }

    /// Adds the idle machines of the spare pool and of pools with a surplus, less what
    /// other pools are short of.
    fn add_obtainable_machines(&mut self, state: &ControlState, capacities: &mut Capacities) {
        if self.machines.by_name.is_empty() {
            return;
        }
        let balances = self.balances(state);
        #[allow(clippy::cast_precision_loss)]
        let reserve = 1.0 + FRAGMENTATION_PERCENT as f64 / 100.0;
        let mut surplus: IndexMap<&str, Work> = IndexMap::default();
        let mut shortage: IndexMap<&str, Work> = IndexMap::default();
        for (pool, balance) in &balances {
            let needed = Work::of(balance.needed).scaled(reserve);
            let offered = Work::of(balance.offered);
            surplus.insert(pool, offered.saturating_sub(needed));
            shortage.insert(pool, needed.saturating_sub(offered));
        }
        let is_available = |machine: &&Machine| {
            let up = machine.view.state == MachineState::Up && machine.missing_since.is_none();
            up && machine.is_unassigned() && self.is_idle(machine)
        };
        let idle: Vec<&Machine> = self
            .machines
            .by_name
            .values()
            .filter(is_available)
            .collect();
        for (pool, capacity) in capacities {
            let mut by_pool: IndexMap<&str, Work> = IndexMap::default();
            let others = idle.iter().filter(|machine| machine.view.pool != *pool);
            for machine in others {
                if !self.machines.is_refused(&machine.view.name, pool) {
                    let sum = by_pool.entry(&machine.view.pool).or_default();
                    *sum += Work::of(machine.view.capacity);
                }
            }
            let obtainable = by_pool.iter().fold(Work::default(), |sum, (from, idle)| {
                sum + surplus
                    .get(from)
                    .map_or(*idle, |surplus| idle.component_min(*surplus))
            });
            let others_need = shortage
                .iter()
                .filter(|(other, _)| ***other != **pool)
                .fold(Work::default(), |sum, (_, short)| sum + *short);
            let size = obtainable.saturating_sub(others_need);
            if size.cpu > 0.0 {
                let at = forecast::LEAD_TIME.as_secs_f64();
                capacity.joins.push(ExpectedJoin { at, capacity: size });
            }
        }
    }

    /// Subtracts what tasks use that run until they are cancelled, and adds up what runs
    /// beyond customers' shares.
    fn subtract_long_running(&self, capacities: &mut Capacities) {
        for (id, step) in &self.steps {
            let Some(capacity) = capacities.get_mut(&step.pool) else {
                continue;
            };
            let placed: u32 = step.placed.values().sum();
            let running = Work::of(step.footprint).scaled(f64::from(placed));
            if step.order.finite {
                if self.share_status(step) == ShareStatus::Exceeded {
                    capacity.used_beyond_shares += running;
                }
                continue;
            }
            if self.is_unsuitable(*id) {
                capacity.present = capacity.present.saturating_sub(running);
                continue;
            }
            let waiting = Work::of(step.footprint.scaled(step.pending.len() as u64));
            capacity.present = capacity.present.saturating_sub(running + waiting);
            capacity.free = capacity.free.saturating_sub(waiting);
        }
    }

    /// Adds the waiting tasks of the steps that wait for no other.
    fn add_active_steps(&self, state: &ControlState, pools: &mut Pools) {
        let dispatched_at = self.now + DISPATCH_OVERHEAD;
        for (id, step) in &self.steps {
            if !step.order.finite || step.pending.is_empty() || self.is_unsuitable(*id) {
                continue;
            }
            let Some(work) = self.step_work(state, *id, step.pending.len() as u64) else {
                continue;
            };
            let Some(load) = pools.get_mut(&step.pool) else {
                continue;
            };
            let rank = Rank {
                priority: step.order.priority,
                share: self.share_status(step),
            };
            let in_time = step.timeliness(dispatched_at) == Timeliness::InTime;
            let latest_start = if self.admission.accepted_late.contains(&id.job) {
                f64::INFINITY
            } else {
                clock_seconds(step.order.due) - clock_seconds(step.critical_path)
            };
            load.add(
                rank,
                clock_seconds(step.order.due),
                work,
                in_time.then_some(latest_start),
            );
        }
    }

    /// Adds the steps that wait for others.
    fn add_later_steps(&self, state: &ControlState, pools: &mut Pools) {
        for id in &self.active_jobs {
            let Some(job) = state.jobs.get(id) else {
                continue;
            };
            if job.spec.steps.len() < 2 || job.spec.repeat.is_some() {
                continue;
            }
            let Some(objective) = self.objectives.get(id) else {
                continue;
            };
            let Some(load) = pools.get_mut(&job.queue.pool) else {
                continue;
            };
            let due = clock_seconds(objective.due);
            // Only active steps have a latest start; see `add_active_steps`.
            let latest_start = (objective.due > self.now).then_some(f64::INFINITY);
            let share = self.share_statuses.get(id).copied().unwrap_or_default();
            let rank = Rank {
                priority: job.queue.priority,
                share,
            };
            for (index, spec) in (0..=u16::MAX).zip(&job.spec.steps) {
                let step = StepId {
                    job: *id,
                    occurrence: 0,
                    step: index,
                };
                let waits = !spec.long_running
                    && !self.steps.contains_key(&step)
                    && !job.is_step_done(step);
                if !waits {
                    continue;
                }
                if let Some(work) = self.step_work(state, step, u64::from(spec.count)) {
                    load.add(rank, due, work, latest_start);
                }
            }
        }
    }

    /// Adds the accepted jobs that are not applied yet, and the booked ones.
    fn add_promised_work(&self, pools: &mut Pools) {
        let admission = &self.admission;
        for unapplied in admission.unapplied.values() {
            let current = self.now < unapplied.accepted_at + MAX_COMMIT_TIME;
            if current && let Some(load) = pools.get_mut(&unapplied.pool) {
                let demand = &unapplied.demand;
                let latest_start = if unapplied.in_time {
                    demand.latest_start
                } else {
                    f64::INFINITY
                };
                load.add(demand.rank, demand.due, demand.total, Some(latest_start));
            }
        }
        for booking in admission.bookings.iter() {
            if let Some(load) = pools.get_mut(&booking.pool) {
                load.book(&booking.demand, admission.bookings.return_probability());
            }
        }
    }

    /// The work of `count` tasks of a step.
    fn step_work(&self, state: &ControlState, id: StepId, count: u64) -> Option<Work> {
        let job = state.jobs.get(&id.job)?;
        let spec = job.step(id)?;
        let expected = self
            .workload
            .expected_duration(&job.queue.name, spec.estimate_ms);
        let size = Work::of(spec.footprint().scaled(count));
        Some(size.scaled((expected + DISPATCH_OVERHEAD).as_secs_f64()))
    }
}
