//! Maintenance waves.

use std::time::Duration;

use super::machine::{Machine, MachineOrder, MachineState};
use crate::schedule::Scheduler;
use crate::schedule::worker::WorkerKey;
use crate::state::{Command, ControlState, Wave};

/// How long after a takeover the waves pause. By then the lists show the effect of the
/// last orders of the previous owner.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(2);
/// How long a machine may be missing from the lists before it counts as removed.
const MISSING_LIMIT: Duration = Duration::from_secs(6);

impl Scheduler {
    /// Advances all waves that are not completed.
    pub(super) fn advance_waves(&mut self, state: &ControlState) {
        if self.now < self.taken_over_at + TAKEOVER_PAUSE {
            return;
        }
        for (number, wave) in &state.waves {
            let now = self.now;
            self.machines.wave_seen_at.entry(*number).or_insert(now);
            if !wave.is_completed() {
                self.advance_wave(*number, wave);
            }
        }
    }

    fn advance_wave(&mut self, number: u64, wave: &Wave) {
        self.remove_missing(number, wave);
        let limit = usize::try_from(wave.max_at_once).unwrap_or(usize::MAX);
        let allowed = limit.saturating_sub(self.machines_in_progress(number, wave));
        let mut waiting: Vec<Box<str>> = wave
            .waiting
            .iter()
            .filter(|name| self.can_be_drained(name))
            .cloned()
            .collect();
        waiting.sort_by_key(|name| self.drain_cost(name));
        for name in waiting.into_iter().take(allowed) {
            self.drain_machine(&name, number);
        }
        self.order_maintenance(number);
    }

    /// The number of machines of a wave that are in maintenance or being drained for it.
    fn machines_in_progress(&self, number: u64, wave: &Wave) -> usize {
        let of_wave = wave.waiting.iter().chain(&wave.maintained);
        let machines = of_wave.filter_map(|name| self.machines.by_name.get(name));
        let in_progress = |machine: &&Machine| {
            let pending = machine.pending_order.as_ref();
            let maintains = |order: &MachineOrder| matches!(order, MachineOrder::Maintain { .. });
            let ordered = pending.is_some_and(|pending| maintains(&pending.order));
            ordered
                || machine.draining_for_wave == Some(number)
                || machine.view.state == MachineState::Maintained
        };
        machines.filter(in_progress).count()
    }

    fn can_be_drained(&self, name: &str) -> bool {
        let machine = self.machines.by_name.get(name);
        machine.is_some_and(|machine| {
            let unassigned = machine.is_unassigned();
            unassigned && machine.view.state == MachineState::Up && machine.missing_since.is_none()
        })
    }

    /// The cost of draining a machine: 0 without a worker, else higher with more processor
    /// time in use. Machines with the lowest cost are drained first.
    fn drain_cost(&self, name: &str) -> u64 {
        let worker = self.worker_on(name);
        worker.map_or(0, |worker| 1 + self.workers[worker].used.cpu_milli)
    }

    /// Cordons the worker of a machine, so that the machine becomes empty.
    fn drain_machine(&mut self, name: &str, number: u64) {
        if let Some(worker) = self.worker_on(name) {
            self.workers[worker].cordoned = true;
        }
        if let Some(machine) = self.machines.by_name.get_mut(name) {
            machine.draining_for_wave = Some(number);
        }
    }

    /// Orders the maintenance of the machines that were drained for a wave.
    fn order_maintenance(&mut self, number: u64) {
        let ready = |machine: &Machine| {
            let is_drained =
                machine.draining_for_wave == Some(number) && machine.pending_order.is_none();
            is_drained && machine.view.state == MachineState::Up && self.is_idle(machine)
        };
        let machines = self.machines.by_name.iter();
        let names: Vec<Box<str>> = machines
            .filter(|(_, machine)| ready(machine))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.order_machine(&name, MachineOrder::Maintain { wave: number });
        }
    }

    /// Removes machines from a wave that have been missing for too long.
    fn remove_missing(&mut self, number: u64, wave: &Wave) {
        let is_removed = |name: &str| {
            let machine = self.machines.by_name.get(name);
            let missing = machine.and_then(|machine| machine.missing_since);
            let since = missing.or_else(|| match machine {
                None => self.machines.wave_seen_at.get(&number).copied(),
                Some(_) => None,
            });
            since.is_some_and(|since| self.now >= since + MISSING_LIMIT)
        };
        let waiting = wave.waiting.iter();
        let names: Vec<Box<str>> = waiting.filter(|name| is_removed(name)).cloned().collect();
        for machine in names {
            if let Some(known) = self.machines.by_name.get_mut(&machine) {
                known.draining_for_wave = None;
            }
            let wave = number;
            self.propose(Command::LeftWave { wave, machine });
        }
    }

    /// The workers that must become empty and still have tasks: those that are cordoned
    /// and those that announced their end.
    pub(super) fn workers_to_empty(&self) -> Vec<WorkerKey> {
        let leaving = |worker: &crate::schedule::worker::Worker| worker.draining || worker.cordoned;
        let workers = self.workers.iter();
        workers
            .filter(|(_, worker)| leaving(worker) && !worker.tasks.is_empty())
            .map(|(key, _)| key)
            .collect()
    }
}
