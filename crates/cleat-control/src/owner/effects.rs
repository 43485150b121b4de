//! Executes the effects that the scheduler returns.

use std::sync::Arc;

use cleat_jobs::{
    Command, Effect, Event, MachineAnswer, MachineOrder, OrderAnswer, RenewalOrder, StepId,
    TaskOrder,
};
use cleat_telemetry::Condition;
use log::warn;
use tokio::time::sleep;

use super::calls::{PendingCall, PendingCalls};
use super::{OwnerTask, TICK_INTERVAL};
use crate::clock::boot_time;
use crate::events::ControlEvent;
use crate::node::Shared;
use crate::platform::{AdviceClient, MachineClient, RenewalError, WorkerClient};

impl<W: WorkerClient, M: MachineClient, A: AdviceClient> OwnerTask<W, M, A> {
    /// Executes an effect; false if a worker has rejected this owner in favour of a
    /// later one.
    pub(super) fn execute(&self, effect: Effect, calls: &PendingCalls) -> bool {
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
            Effect::Departed { worker } => self.shared.departures.complete(&worker),
            Effect::Fenced { worker } => {
                warn!("worker {worker} knows a later owner; this instance stops sending orders");
                return false;
            }
        }
        true
    }

    fn renew(&self, worker: Box<str>, address: Box<str>, order: RenewalOrder) -> PendingCall {
        let (shared, workers) = (self.shared.clone(), self.workers.clone());
        let load = self.load.clone();
        let decided_at = boot_time();
        Box::pin(async move {
            let sent_at = boot_time();
            load.renewal_started(sent_at.saturating_sub(decided_at));
            // Without a valid leader lease, another owner may already send orders.
            if !shared.leads() {
                sleep(TICK_INTERVAL).await;
                return Some(Event::RenewalNotSent { worker });
            }
            let acked = order.acked;
            Some(match workers.renew(&worker, &address, order).await {
                Ok(answer) => Event::RenewalAnswered {
                    worker,
                    sent_at,
                    acked,
                    answer,
                },
                Err(RenewalError::Restarted { life }) => Event::WorkerRestarted { worker, life },
                Err(error) => Event::RenewalFailed {
                    worker,
                    other_life: error == RenewalError::OtherLife,
                },
            })
        })
    }

    fn order(
        &self,
        worker: Box<str>,
        address: Box<str>,
        token: u64,
        order: TaskOrder,
    ) -> PendingCall {
        let (shared, workers) = (self.shared.clone(), self.workers.clone());
        let load = self.load.clone();
        let decided_at = boot_time();
        load.order_decided();
        Box::pin(async move {
            load.order_started(boot_time().saturating_sub(decided_at));
            let answer = if shared.leads() {
                workers.send_order(&worker, &address, token, &order).await
            } else {
                sleep(TICK_INTERVAL).await;
                OrderAnswer::NotSent
            };
            if answer == OrderAnswer::NotSent {
                load.order_not_sent();
            }
            load.order_ended(boot_time().saturating_sub(decided_at));
            Some(Event::Ordered {
                worker,
                order,
                answer,
            })
        })
    }

    fn advise(&self, step: StepId, asked: Vec<Box<str>>) -> PendingCall {
        let adviser = self.adviser.clone();
        Box::pin(async move {
            let sent_at = boot_time();
            let permitted = adviser.advise(step, &asked).await;
            Some(Event::Advised {
                step,
                sent_at,
                asked,
                permitted,
            })
        })
    }

    fn list_machines(&self) -> PendingCall {
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

    fn order_machine(&self, machine: Box<str>, token: u64, order: MachineOrder) -> PendingCall {
        let (shared, machines) = (self.shared.clone(), self.machines.clone());
        Box::pin(async move {
            let answer = if shared.leads() {
                machines.send_order(&machine, token, &order).await
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

    fn propose(&self, command: Command) -> PendingCall {
        let (shared, commit_failures) = (self.shared.clone(), self.commit_failures.clone());
        Box::pin(async move {
            match shared.replica().propose(command.encode()).await {
                Ok(_) => {
                    end_commit_failures(&shared, &commit_failures);
                    None
                }
                Err(error) => {
                    if commit_failures.fail(boot_time()) {
                        let reason = error.to_string().into();
                        shared.events.emit(&ControlEvent::CommitsFail { reason });
                    }
                    sleep(TICK_INTERVAL).await;
                    let command = Arc::new(command);
                    Some(Event::ProposalFailed { command })
                }
            }
        })
    }
}

/// Logs the end of a series of failed commits, if there is one: commands commit
/// again, or this owner stops.
pub(super) fn end_commit_failures(shared: &Shared, commit_failures: &Condition) {
    if let Some(outage) = commit_failures.end(boot_time()) {
        shared.events.emit(&ControlEvent::CommitsFailEnd {
            failed: outage.failures,
            lasted_ms: outage.lasted.as_millis(),
        });
    }
}
