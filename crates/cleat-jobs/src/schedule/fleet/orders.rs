//! Lists of machines from the platform, and orders to it.

use std::time::Duration;

use super::machine::{Machine, MachineOrder, MachineState, MachineView, PendingOrder};
use crate::collections::IndexSet;
use crate::schedule::decision::LifeOver;
use crate::schedule::event::MachineAnswer;
use crate::schedule::worker::WorkerKey;
use crate::schedule::{Decision, Effect, Scheduler};
use crate::state::{Command, ControlState};

/// The interval at which the machines are listed. A list takes one call for each 200
/// machines.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval while an order is pending or a worker does not answer, so that the
/// effect of the order or the end of the worker is detected soon.
const LIST_INTERVAL_BUSY: Duration = Duration::from_millis(400);
/// How long after it was sent an order without a definite answer is sent again. Orders
/// are idempotent.
const ORDER_RETRY: Duration = Duration::from_millis(700);
/// How long an accepted order stays pending if its machine is not listed as up. The
/// platform needs 1.5 to 2 s.
const ORDER_LIMIT: Duration = Duration::from_secs(8);

impl Scheduler {
    /// Lists the machines, checks the orders to them, and plans their maintenance and
    /// moves. Called at each tick.
    pub(in crate::schedule) fn manage_machines(&mut self, state: &ControlState) {
        self.list_machines();
        if self.machines.list_requested_at.is_none() {
            return;
        }
        self.cordon_planned();
        self.update_idle_times();
        self.check_orders();
        self.advance_waves(state);
        self.evict_long_running(state);
        if self.cfg.features.machine_plan {
            self.plan_machines(state);
        } else {
            self.move_machines(state);
        }
    }

    fn list_machines(&mut self) {
        if self.machines.list_in_progress || self.now < self.machines.next_list_at {
            return;
        }
        self.machines.list_in_progress = true;
        self.effects.push(Effect::ListMachines);
    }

    pub(in crate::schedule) fn machines_listed(
        &mut self,
        sent_at: Duration,
        list: Option<Vec<MachineView>>,
    ) {
        let interval = if self.awaits_list() {
            LIST_INTERVAL_BUSY
        } else {
            LIST_INTERVAL
        };
        self.machines.list_in_progress = false;
        self.machines.next_list_at = self.now + interval;
        let Some(list) = list else {
            return;
        };
        self.machines.list_requested_at = Some(sent_at);
        self.machines.heard_at = Some(self.now);
        self.end_absent_workers(&list, sent_at);
        self.fleet_listed = true;
        let names: IndexSet<Box<str>> = list.iter().map(|view| view.name.clone()).collect();
        for view in list {
            self.update_view(view, sent_at);
        }
        let now = self.now;
        for (name, machine) in &mut self.machines.by_name {
            if !names.contains(name) && machine.missing_since.is_none() {
                machine.missing_since = Some(now);
            }
        }
    }

    /// Whether the next list may show the result of an order or the end of a worker.
    fn awaits_list(&self) -> bool {
        let mut machines = self.machines.by_name.values();
        let mut workers = self.workers.iter();
        machines.any(|machine| machine.pending_order.is_some())
            || workers.any(|(_, worker)| worker.is_unreachable())
    }

    fn update_view(&mut self, view: MachineView, sent_at: Duration) {
        let name = view.name.clone();
        match self.machines.by_name.get_mut(&name) {
            Some(machine) => self.fleet_changed |= machine.update_view(view, sent_at),
            None => {
                self.machines.by_name.insert(name, Machine::new(view));
                self.fleet_changed = true;
            }
        }
    }

    /// Cordons the workers on machines that must be emptied. This includes workers that
    /// became known after the decision: otherwise they would continue to accept tasks,
    /// and the wave would end without the maintenance of their machine.
    fn cordon_planned(&mut self) {
        let machines = self.machines.by_name.iter();
        let planned = machines.filter(|(_, machine)| machine.must_be_emptied());
        // While an order has no answer, a worker that no list names may have started
        // because of that order.
        let cordoned = planned.filter_map(|(name, machine)| match machine.awaits_answer() {
            true => self.listed_worker(name),
            false => self.worker_on(name),
        });
        let cordoned: Vec<WorkerKey> = cordoned.collect();
        for worker in cordoned {
            self.workers[worker].cordoned = true;
        }
    }

    /// Completes the orders whose machine is up again, and resends those without a definite
    /// answer.
    fn check_orders(&mut self) {
        let list_requested_at = self.machines.list_requested_at.unwrap_or_default();
        let machines = self.machines.by_name.iter();
        let ordered = machines.filter(|(_, machine)| machine.pending_order.is_some());
        let names: Vec<Box<str>> = ordered.map(|(name, _)| name.clone()).collect();
        for name in names {
            let answers = self.has_answering_worker(&name);
            let machine = &mut self.machines.by_name[&name];
            let Some(pending) = &machine.pending_order else {
                continue;
            };
            match pending.accepted_at {
                Some(at) => {
                    let listed = machine.view.state == MachineState::Up && list_requested_at > at;
                    let up = listed || answers;
                    if up || self.now > at + ORDER_LIMIT {
                        machine.pending_order = None;
                        machine.idle_since = None;
                    }
                }
                None if self.now >= pending.sent_at + ORDER_RETRY => {
                    let order = pending.order.clone();
                    self.send_machine_order(&name, order);
                }
                None => {}
            }
        }
    }

    /// Whether a worker that reports the machine as its own answers.
    fn has_answering_worker(&self, name: &str) -> bool {
        let worker = self.workers.on_machine(name);
        worker.is_some_and(|worker| self.workers[worker].answers())
    }

    pub(super) fn order_machine(&mut self, name: &str, order: MachineOrder) {
        if let Some(worker) = self.worker_on(name) {
            self.workers[worker].cordoned = true;
        }
        self.send_machine_order(name, order);
    }

    fn send_machine_order(&mut self, name: &str, order: MachineOrder) {
        let now = self.now;
        let Some(machine) = self.machines.by_name.get_mut(name) else {
            return;
        };
        self.machines.assignments += 1;
        machine.pending_order = Some(PendingOrder {
            order: order.clone(),
            sent_at: now,
            accepted_at: None,
        });
        let decision = Decision::machine(name, &machine.view.pool, &order);
        self.log(decision);
        self.effects.push(Effect::OrderMachine {
            machine: name.into(),
            token: self.owner.token,
            order,
        });
    }

    /// The worker that runs on a machine: the one that is listed there, or else one that
    /// reports the machine as its own.
    pub(super) fn worker_on(&self, name: &str) -> Option<WorkerKey> {
        let machine = self.machines.by_name.get(name)?;
        match &machine.view.worker {
            Some(worker) => self.workers.named_by_platform(worker),
            None => self.workers.on_machine(name),
        }
    }

    /// Whether an order for its machine ended the life of a worker, as far as is known.
    pub(in crate::schedule) fn was_ended_by_order(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        let name = worker.record.machine.as_deref();
        let machine = name.and_then(|name| self.machines.by_name.get(name));
        let list_requested_at = self.machines.list_requested_at.unwrap_or_default();
        machine.is_some_and(|machine| {
            machine.order_ended_life(&worker.record.pool, worker.known_since, list_requested_at)
        })
    }

    /// The worker that is listed on a machine.
    fn listed_worker(&self, name: &str) -> Option<WorkerKey> {
        let machine = self.machines.by_name.get(name)?;
        self.workers
            .named_by_platform(machine.view.worker.as_deref()?)
    }

    pub(in crate::schedule) fn machine_ordered(
        &mut self,
        name: &str,
        order: &MachineOrder,
        answer: MachineAnswer,
    ) {
        let now = self.now;
        let Some(machine) = self.machines.by_name.get_mut(name) else {
            return;
        };
        if answer != MachineAnswer::Unknown {
            self.machines.heard_at = Some(now);
        }
        let Some(pending) = machine
            .pending_order
            .as_mut()
            .filter(|pending| pending.order == *order)
        else {
            return;
        };
        if pending.accepted_at.is_some() {
            return;
        }
        self.effects
            .push(Effect::Log(Decision::machine_answer(name, answer)));
        match answer {
            MachineAnswer::Done => {
                pending.accepted_at = Some(now);
                machine.last_accepted_at = Some(now);
                self.order_accepted(name, order);
            }
            MachineAnswer::Unknown => {}
            MachineAnswer::Fenced => self.effects.push(Effect::Fenced {
                worker: name.into(),
            }),
            MachineAnswer::Busy | MachineAnswer::Refused => {
                machine.pending_order = None;
                machine.reserved_for = None;
                if answer == MachineAnswer::Refused
                    && let MachineOrder::Move { pool } = order
                {
                    self.machines.record_refusal(name, pool);
                }
                if let Some(worker) = self.worker_on(name) {
                    self.workers[worker].cordoned = false;
                }
            }
        }
    }

    /// Processes an accepted order, which ends the life of the machine's worker.
    fn order_accepted(&mut self, name: &str, order: &MachineOrder) {
        if let Some(worker) = self.listed_worker(name) {
            self.end_life(worker, LifeOver::MachineOrdered);
        }
        let Some(machine) = self.machines.by_name.get_mut(name) else {
            return;
        };
        machine.view.worker = None;
        match order {
            MachineOrder::Move { pool } => {
                machine.reserved_for = None;
                machine.view.pool = pool.clone();
                machine.view.state = MachineState::Moving;
            }
            MachineOrder::Maintain { wave } => {
                machine.view.state = MachineState::Maintained;
                machine.draining_for_wave = None;
                let wave = *wave;
                let machine = name.into();
                self.propose(Command::Maintained { wave, machine });
            }
        }
        self.machines.next_list_at = self
            .machines
            .next_list_at
            .min(self.now + LIST_INTERVAL_BUSY);
    }

    /// Updates the times since which the machines have been idle.
    fn update_idle_times(&mut self) {
        let now = self.now;
        let machines = self.machines.by_name.values();
        let idle: Vec<bool> = machines.map(|machine| self.is_idle(machine)).collect();
        for (machine, idle) in self.machines.by_name.values_mut().zip(idle) {
            machine.idle_since = idle.then(|| machine.idle_since.unwrap_or(now));
        }
    }
}
