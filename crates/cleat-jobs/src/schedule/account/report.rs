//! What is told of customers: to operators, and to the log.

use std::time::Duration;

use super::{Account, CustomerKey};
use crate::schedule::{Decision, Effect, Scheduler};
use crate::{Cap, Size, StepId};

/// How often it is logged that a customer's cap holds its steps back: often enough
/// for a caller who asks why a job waits, and bounded under any load.
pub(super) const CAP_LOG_INTERVAL: Duration = Duration::from_secs(1);

fn view(account: &Account) -> CustomerView<'_> {
    CustomerView {
        name: &account.name,
        used: account.used,
        in_doubt: account.in_doubt,
        waiting: 0,
    }
}

/// What a customer has and wants, as its owner sees it.
#[derive(Clone, Copy, Debug)]
pub struct CustomerView<'a> {
    /// Its name.
    pub name: &'a str,
    /// What its runs take up.
    pub used: Size,
    /// What may run beside that without this owner's knowledge.
    pub in_doubt: Size,
    /// How many of its tasks wait for a start.
    pub waiting: usize,
}

impl Scheduler {
    /// Notes that a step has to wait for its customer's cap.
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
                hidden_cpu_milli: account.in_doubt.cpu_milli,
                cap_cpu_milli: cap.cpu_milli,
                held_memory_mb: account.used.memory_mb,
                cap_memory_mb: cap.memory_mb,
            }
        });
        self.effects.extend(decision.map(Effect::Tell));
    }

    /// What each customer has and wants, by name.
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
