//! Lists of machines, orders about them, and what becomes of both.

use std::time::Duration;

use indexmap::IndexSet;

use super::machine::{Machine, MachineOrder, MachineState, MachineView, Ordered};
use crate::schedule::decision::LifeOver;
use crate::schedule::event::MachineAnswer;
use crate::schedule::worker::WorkerKey;
use crate::schedule::{Decision, Effect, Scheduler};
use crate::state::{Command, ControlState};

/// How often the machines are listed; a list is one call for 200 machines.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same while an order is under way or a worker does not answer, so that
/// the end of either is seen soon.
const LIST_INTERVAL_BUSY: Duration = Duration::from_millis(400);
/// How long after an order without a clear answer it is repeated. It is
/// idempotent.
const ORDER_RETRY: Duration = Duration::from_millis(700);
/// How long an accepted order may take until the machine is listed as up. The
/// platform needs 1.5 to 2 s.
const ORDER_LIMIT: Duration = Duration::from_secs(8);

impl Scheduler {
    /// Looks after machines: called at each tick.
    pub(in crate::schedule) fn tend_machines(&mut self, state: &ControlState) {
        self.list_machines();
        if self.machines.listed_at.is_none() {
            return;
        }
        self.hold_planned();
        self.watch_idle();
        self.settle_orders();
        self.run_waves(state);
        self.evacuate(state);
        self.move_machines(state);
    }

    fn list_machines(&mut self) {
        if self.machines.listing || self.now < self.machines.list_due {
            return;
        }
        self.machines.listing = true;
        self.effects.push(Effect::ListMachines);
    }

    pub(in crate::schedule) fn machines_listed(
        &mut self,
        sent_at: Duration,
        list: Option<Vec<MachineView>>,
    ) {
        let interval = if self.awaits_a_list() {
            LIST_INTERVAL_BUSY
        } else {
            LIST_INTERVAL
        };
        self.machines.listing = false;
        self.machines.list_due = self.now + interval;
        let Some(list) = list else {
            return;
        };
        self.machines.listed_at = Some(sent_at);
        self.end_absent_lives(&list, sent_at);
        let names: IndexSet<Box<str>> = list.iter().map(|view| view.name.clone()).collect();
        for view in list {
            self.take_view(view, sent_at);
        }
        let now = self.now;
        for (name, machine) in &mut self.machines.by_name {
            if !names.contains(name) && machine.missing_since.is_none() {
                machine.missing_since = Some(now);
            }
        }
    }

    /// Whether a list tells something that is waited for.
    fn awaits_a_list(&self) -> bool {
        let mut machines = self.machines.by_name.values();
        let mut workers = self.workers.iter();
        machines.any(|machine| machine.ordered.is_some())
            || workers.any(|(_, worker)| worker.is_unreachable())
    }

    fn take_view(&mut self, view: MachineView, sent_at: Duration) {
        let name = view.name.clone();
        match self.machines.by_name.get_mut(&name) {
            Some(machine) => machine.take_view(view, sent_at),
            None => drop(self.machines.by_name.insert(name, Machine::new(view))),
        }
    }

    /// Keeps work from the workers whose machine is to be emptied, also from those
    /// that became known after that was decided: else they go on taking work,
    /// and a wave ends without their machine.
    fn hold_planned(&mut self) {
        let machines = self.machines.by_name.iter();
        let planned = machines.filter(|(_, machine)| machine.is_planned());
        // While an order has no answer, a worker that no list names may be the
        // one that the order brought.
        let held = planned.filter_map(|(name, machine)| match machine.awaits_answer() {
            true => self.listed_worker(name),
            false => self.worker_on(name),
        });
        let held: Vec<WorkerKey> = held.collect();
        for worker in held {
            self.workers[worker].cordoned = true;
        }
    }

    /// Ends the orders whose machine is up again, and repeats those that
    /// have no clear answer.
    fn settle_orders(&mut self) {
        let listed_at = self.machines.listed_at.unwrap_or_default();
        let machines = self.machines.by_name.iter();
        let ordered = machines.filter(|(_, machine)| machine.ordered.is_some());
        let names: Vec<Box<str>> = ordered.map(|(name, _)| name.clone()).collect();
        for name in names {
            let back = self.is_back(&name);
            let machine = &mut self.machines.by_name[&name];
            let Some(ordered) = &machine.ordered else {
                continue;
            };
            match ordered.accepted {
                Some(at) => {
                    let listed = machine.view.state == MachineState::Up && listed_at > at;
                    let up = listed || back;
                    if up || self.now > at + ORDER_LIMIT {
                        machine.ordered = None;
                        machine.idle_since = None;
                    }
                }
                None if self.now >= ordered.sent + ORDER_RETRY => {
                    let order = ordered.order.clone();
                    self.send_machine_order(&name, order);
                }
                None => {}
            }
        }
    }

    /// Whether a worker that says that it runs on a machine answers.
    fn is_back(&self, name: &str) -> bool {
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
        machine.ordered = Some(Ordered {
            order: order.clone(),
            sent: now,
            accepted: None,
        });
        let decision = Decision::machine(name, &machine.view.pool, &order);
        self.log(decision);
        self.effects.push(Effect::OrderMachine {
            machine: name.into(),
            token: self.owner.token,
            order,
        });
    }

    /// The worker that runs on a machine: the one that is listed there, else
    /// one that says so itself.
    pub(super) fn worker_on(&self, name: &str) -> Option<WorkerKey> {
        let machine = self.machines.by_name.get(name)?;
        match &machine.view.worker {
            Some(worker) => self.workers.key(worker),
            None => self.workers.on_machine(name),
        }
    }

    /// Whether an order took the machine of a worker away, as far as is known.
    pub(in crate::schedule) fn was_taken_away(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        let name = worker.record.machine.as_deref();
        let machine = name.and_then(|name| self.machines.by_name.get(name));
        let listed_at = self.machines.listed_at.unwrap_or_default();
        machine.is_some_and(|machine| {
            machine.took_away(&worker.record.pool, worker.known_since, listed_at)
        })
    }

    /// The worker that is listed on a machine.
    fn listed_worker(&self, name: &str) -> Option<WorkerKey> {
        let machine = self.machines.by_name.get(name)?;
        self.workers.key(machine.view.worker.as_deref()?)
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
        let Some(ordered) = machine
            .ordered
            .as_mut()
            .filter(|known| known.order == *order)
        else {
            return;
        };
        if ordered.accepted.is_some() {
            return;
        }
        self.effects
            .push(Effect::Log(Decision::machine_answer(name, answer)));
        match answer {
            MachineAnswer::Done => {
                ordered.accepted = Some(now);
                machine.changed_at = Some(now);
                self.machine_left(name, order);
            }
            MachineAnswer::Unknown => {}
            MachineAnswer::Fenced => self.effects.push(Effect::Fenced {
                worker: name.into(),
            }),
            MachineAnswer::Busy | MachineAnswer::Refused => {
                machine.ordered = None;
                machine.reserved_for = None;
                if answer == MachineAnswer::Refused
                    && let MachineOrder::Move { pool } = order
                {
                    self.machines.refuse(name, pool);
                }
                if let Some(worker) = self.worker_on(name) {
                    self.workers[worker].cordoned = false;
                }
            }
        }
    }

    /// A machine has gone down for an order: its worker's life is over.
    fn machine_left(&mut self, name: &str, order: &MachineOrder) {
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
                machine.emptied_for = None;
                let wave = *wave;
                let machine = name.into();
                self.propose(Command::Maintained { wave, machine });
            }
        }
        self.machines.list_due = self.machines.list_due.min(self.now + LIST_INTERVAL_BUSY);
    }

    /// Notes since when each machine has been idle.
    fn watch_idle(&mut self) {
        let now = self.now;
        let machines = self.machines.by_name.values();
        let idle: Vec<bool> = machines.map(|machine| self.is_idle(machine)).collect();
        for (machine, idle) in self.machines.by_name.values_mut().zip(idle) {
            machine.idle_since = idle.then(|| machine.idle_since.unwrap_or(now));
        }
    }
}
