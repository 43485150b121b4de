//! Gathering work that lasts on fewer machines.
//!
//! The load that this answers: after a turn of demand the tasks that run until
//! they are cancelled are left on as many machines as the turn took, three or
//! five for what fits on two, and none of them ever falls idle. One machine of
//! a pool at a time is emptied for the spare pool, as far as each step allows
//! tasks to be away.

use std::time::Duration;

use super::machine::{Machine, MachineState};
use super::moves::{Balances, FRAGMENTATION_PERCENT, spare_pool};
use crate::TaskId;
use crate::schedule::Scheduler;
use crate::state::ControlState;

/// How long a machine has nothing but work that lasts before it is emptied. A
/// task that is stopped and started elsewhere is away for some 0.5 s, which by
/// the platform's prices is worth a machine for 1.5 s; waiting that long costs
/// at most twice the optimum, as with idle machines. Computed, not measured.
const GATHER_AFTER: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Reserves a machine of each pool that can do without it for the spare
    /// pool.
    pub(super) fn gather(&mut self, state: &ControlState, balances: &mut Balances) {
        let Some(spare) = spare_pool(state) else {
            return;
        };
        let pools: Vec<Box<str>> = balances.keys().cloned().collect();
        for pool in pools {
            let machines = self.machines.by_name.values();
            let mut leaving = machines.filter(|machine| machine.view.pool == pool);
            if leaving.any(|machine| machine.reserved_for.as_ref() == Some(&spare)) {
                continue;
            }
            let Some(name) = self.machine_to_empty(state, &pool, &spare, balances) else {
                continue;
            };
            self.machines.by_name[&name].reserved_for = Some(spare.clone());
            if let Some(worker) = self.worker_on(&name) {
                self.workers[worker].cordoned = true;
            }
        }
    }

    /// The machine with the fewest tasks of those that the pool could do
    /// without.
    fn machine_to_empty(
        &self,
        state: &ControlState,
        pool: &str,
        spare: &str,
        balances: &Balances,
    ) -> Option<Box<str>> {
        let rank = |name: &str, machine: &Machine| {
            let since = machine.only_lasting_since?;
            let worker = self.worker_on(name)?;
            let waited = self.now >= since + GATHER_AFTER;
            let rest = balances.get(pool)?.without(machine.view.capacity);
            let dispensable = rest.workers > 0 && rest.suffices(FRAGMENTATION_PERCENT);
            let may = waited && dispensable && self.may_share(machine, worker, spare);
            (may && self.fit_elsewhere(state, name)).then(|| self.workers[worker].tasks.len())
        };
        let machines = self.machines.by_name.iter();
        let own = machines.filter(|(_, machine)| *machine.view.pool == *pool);
        let ranked = own.filter_map(|(name, machine)| Some((rank(name, machine)?, name)));
        ranked.min().map(|(_, name)| name.clone())
    }

    /// Whether a reserved machine's pool, which does not count it any more,
    /// still does without it, and its tasks find a place elsewhere.
    pub(super) fn is_dispensable(
        &self,
        state: &ControlState,
        name: &str,
        balances: &Balances,
    ) -> bool {
        let Some(machine) = self.machines.by_name.get(name) else {
            return false;
        };
        let rest = balances.get(&machine.view.pool);
        let suffices = rest.is_some_and(|rest| rest.suffices(FRAGMENTATION_PERCENT));
        suffices && self.fit_elsewhere(state, name)
    }

    /// Whether each task of a machine would find a place on another.
    fn fit_elsewhere(&self, state: &ControlState, name: &str) -> bool {
        let Some(worker) = self.worker_on(name) else {
            return true;
        };
        let fits = |task: &TaskId| {
            let job = state.jobs.get(&task.job());
            let spec = job.and_then(|job| job.step(task.step));
            spec.is_none_or(|spec| self.has_place_beside(*task, spec, worker))
        };
        self.workers[worker].tasks.iter().all(fits)
    }

    /// Whether nothing runs on a machine but what goes on until it is cancelled,
    /// and something does.
    pub(super) fn has_only_lasting(&self, machine: &Machine) -> bool {
        let up = machine.view.state == MachineState::Up;
        let worker = machine.view.worker.as_deref();
        let key = worker.and_then(|worker| self.workers.key(worker));
        up && key.is_some_and(|key| {
            let worker = &self.workers[key];
            worker.lasting > 0 && worker.lasting == worker.tasks.len()
        })
    }
}
