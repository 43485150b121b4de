//! Carrying out what the scheduler decided.

use std::pin::Pin;
use std::sync::Arc;

use cleat_jobs::{
    Command, Effect, Event, MachineAnswer, MachineOrder, OrderAnswer, RenewalOrder, StepId,
    TaskOrder,
};
use cleat_telemetry::Condition;
use log::warn;
use tokio::time::sleep;

use super::{Calls, OwnerTask, TICK};
use crate::clock::boot_time;
use crate::events::ControlEvent;
use crate::node::Shared;
use crate::platform::{AdviceClient, MachineClient, RenewalError, WorkerClient};

/// A call under way, and the event that it ends with, if any.
pub(super) type Call = Pin<Box<dyn Future<Output = Option<Event>> + Send>>;

impl<W: WorkerClient, M: MachineClient, A: AdviceClient> OwnerTask<W, M, A> {
    /// False if another owner is known to have taken over.
    pub(super) fn carry_out(&self, effect: Effect, calls: &Calls) -> bool {
        match effect {
            Effect::Renew {
                worker,
                address,
                order,
            } => calls.push(self.renew(worker, address, order)),
            Effect::Order {
                worker,
                address,
                token,
                order,
            } => calls.push(self.order(worker, address, token, order)),
            Effect::Advise { step, workers } => calls.push(self.advise(step, workers)),
            Effect::ListMachines => calls.push(self.list_machines()),
            Effect::OrderMachine {
                machine,
                token,
                order,
            } => calls.push(self.order_machine(machine, token, order)),
            Effect::Propose(command) => calls.push(self.propose(command)),
            Effect::Log(decision) => {
                self.shared.metrics.count_decision(&decision);
                if decision.is_routine() {
                    self.shared.events.emit_routine(&decision);
                } else {
                    self.shared.events.emit(&decision);
                }
            }
            Effect::Fenced { worker } => {
                warn!("worker {worker} knows a later owner; this one gives no more orders");
                return false;
            }
        }
        true
    }

    fn renew(&self, worker: Box<str>, address: Box<str>, order: RenewalOrder) -> Call {
        let (shared, workers) = (self.shared.clone(), self.workers.clone());
        Box::pin(async move {
            let sent_at = boot_time();
            // Only a certain leader gives orders: another may have begun.
            if !shared.leads() {
                sleep(TICK).await;
                let other_life = false;
                return Some(Event::RenewalFailed { worker, other_life });
            }
            let acked = order.acked;
            Some(match workers.renew(&worker, &address, order).await {
                Ok(answer) => Event::RenewalAnswered {
                    worker,
                    sent_at,
                    acked,
                    answer,
                },
                Err(error) => Event::RenewalFailed {
                    worker,
                    other_life: error == RenewalError::OtherLife,
                },
            })
        })
    }

    fn order(&self, worker: Box<str>, address: Box<str>, token: u64, order: TaskOrder) -> Call {
        let (shared, workers) = (self.shared.clone(), self.workers.clone());
        Box::pin(async move {
            let answer = if shared.leads() {
                workers.order(&worker, &address, token, &order).await
            } else {
                sleep(TICK).await;
                OrderAnswer::NotSent
            };
            Some(Event::Ordered {
                worker,
                order,
                answer,
            })
        })
    }

    fn advise(&self, step: StepId, asked: Vec<Box<str>>) -> Call {
        let adviser = self.adviser.clone();
        Box::pin(async move {
            let sent_at = boot_time();
            let good = adviser.advise(step, &asked).await;
            Some(Event::Advised {
                step,
                sent_at,
                asked,
                good,
            })
        })
    }

    fn list_machines(&self) -> Call {
        let (shared, machines) = (self.shared.clone(), self.machines.clone());
        Box::pin(async move {
            let sent_at = boot_time();
            let machines = if shared.leads() {
                machines.list().await
            } else {
                None
            };
            Some(Event::MachinesListed { sent_at, machines })
        })
    }

    fn order_machine(&self, machine: Box<str>, token: u64, order: MachineOrder) -> Call {
        let (shared, machines) = (self.shared.clone(), self.machines.clone());
        Box::pin(async move {
            let answer = if shared.leads() {
                machines.order(&machine, token, &order).await
            } else {
                MachineAnswer::Unknown
            };
            Some(Event::MachineOrdered {
                machine,
                order,
                answer,
            })
        })
    }

    fn propose(&self, command: Command) -> Call {
        let (shared, commits) = (self.shared.clone(), self.commits.clone());
        Box::pin(async move {
            match shared.replica().propose(command.encode()).await {
                Ok(_) => {
                    end_commit_failures(&shared, &commits);
                    None
                }
                Err(error) => {
                    if commits.fail(boot_time()) {
                        let reason = error.to_string().into();
                        shared.events.emit(&ControlEvent::CommitsFail { reason });
                    }
                    sleep(TICK).await;
                    let command = Arc::new(command);
                    Some(Event::ProposalFailed { command })
                }
            }
        })
    }
}

/// Logs that commands are committed again, or not tried any more, if some failed.
pub(super) fn end_commit_failures(shared: &Shared, commits: &Condition) {
    if let Some(outage) = commits.end(boot_time()) {
        shared.events.emit(&ControlEvent::CommitsFailEnd {
            failed: outage.failures,
            lasted_ms: outage.lasted.as_millis(),
        });
    }
}
