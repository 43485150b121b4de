//! Reports on customers' accounts, to operators and to the log.

use std::time::Duration;

use super::{Account, CustomerKey};
use crate::schedule::{Decision, Effect, Scheduler};
use crate::{Cap, Size, StepId};

/// The minimum interval between two log events that report that a customer's cap
/// prevents the start of its steps. It is short enough that an operator finds a recent
/// event in the log that explains why a job waits, and bounds the log volume under any
/// load.
pub(super) const CAP_LOG_INTERVAL: Duration = Duration::from_secs(1);

fn view(account: &Account) -> CustomerView<'_> {
    CustomerView {
        name: &account.name,
        used: account.used,
        hidden_usage: account.hidden_usage,
        waiting: 0,
    }
}

/// The owner's view of what a customer has running and waiting.
#[derive(Clone, Copy, Debug)]
pub struct CustomerView<'a> {
    /// Its name.
    pub name: &'a str,
    /// The total size of its known runs.
    pub used: Size,
    /// The total size of the tasks that may be running in addition, started by an earlier
    /// owner.
    pub hidden_usage: Size,
    /// The number of its tasks that wait for a start.
    pub waiting: usize,
}

impl Scheduler {
    /// Records that a step has to wait because of its customer's cap.
    pub(in crate::schedule) fn record_cap_reached(&mut self, id: StepId) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let account = self
            .accounts
            .record_blocked(step.charge, &step.pool, self.now);
        let decision = account.map(|account| {
            let Cap(cap) = account.cap;
            Decision::CapReached {
                customer: account.name.clone(),
                step: id.to_string().into(),
                held_cpu_milli: account.used.cpu_milli,
                hidden_cpu_milli: account.hidden_usage.cpu_milli,
                cap_cpu_milli: cap.cpu_milli,
                held_memory_mb: account.used.memory_mb,
                cap_memory_mb: cap.memory_mb,
            }
        });
        self.effects.extend(decision.map(Effect::Log));
    }

    /// What each customer has running and waiting.
    pub fn customers(&self) -> Vec<CustomerView<'_>> {
        let mut views: Vec<CustomerView<'_>> = self.accounts.arena.iter().map(view).collect();
        for step in self.steps.values() {
            if let Some(CustomerKey(at)) = step.charge.customer {
                views[at as usize].waiting += step.pending.len();
            }
        }
        views
    }
}
