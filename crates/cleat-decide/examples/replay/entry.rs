//! An instance of ours as far as the decisions go.

use std::time::Duration;

use cleat_decide::{AdmissionController, Health, Protections, RetryBudget};
use cleat_world::Service;

/// Its decisions on the one service of a trace.
pub(crate) struct Entry {
    pub(crate) name: Box<str>,
    pub(crate) controller: AdmissionController,
    pub(crate) budget: RetryBudget,
    pub(crate) health: Vec<Health>,
    pub(crate) in_flight: Vec<u32>,
    /// The target that is next in turn.
    pub(crate) turn: usize,
    /// The next time at which the queue is looked at.
    pub(crate) planned: Duration,
}

impl Entry {
    pub(crate) fn new(name: &str, service: &Service, seed: u64, protections: Protections) -> Entry {
        Entry {
            name: name.into(),
            controller: AdmissionController::with_protections(service, seed, protections),
            budget: RetryBudget::with_protections(&service.retry, seed, protections),
            health: Vec::new(),
            in_flight: Vec::new(),
            turn: 0,
            planned: Duration::MAX,
        }
    }

    /// Learns of the target at `index`, which is known already unless it has a
    /// new life.
    pub(crate) fn learn(
        &mut self,
        index: usize,
        new_life: bool,
        now: Duration,
        protections: Protections,
    ) {
        if self.health.len() <= index {
            self.health.push(Health::with_protections(now, protections));
            self.in_flight.push(0);
        } else if new_life {
            self.health[index] = Health::with_protections(now, protections);
        }
    }
}
