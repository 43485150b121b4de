//! A simulated entry instance, reduced to its decisions.

use std::time::Duration;

use cleat_decide::{AdmissionController, Health, Protections, RetryBudget};
use cleat_world::Service;

/// The decision state of an entry for the service of a trace.
pub(crate) struct Entry {
    pub(crate) name: Box<str>,
    pub(crate) controller: AdmissionController,
    pub(crate) budget: RetryBudget,
    pub(crate) health: Vec<Health>,
    pub(crate) in_flight: Vec<u32>,
    /// The next target of [`Policy::RoundRobin`](crate::request::Policy::RoundRobin).
    pub(crate) next_target: usize,
    /// The time of the next scheduled check of the queue.
    pub(crate) next_check: Duration,
}

impl Entry {
    pub(crate) fn new(name: &str, service: &Service, seed: u64, protections: Protections) -> Entry {
        Entry {
            name: name.into(),
            controller: AdmissionController::with_protections(service, seed, protections),
            budget: RetryBudget::with_protections(&service.retry, seed, protections),
            health: Vec::new(),
            in_flight: Vec::new(),
            next_target: 0,
            next_check: Duration::MAX,
        }
    }

    /// Adds the target at `index` if it is unknown, and resets its health if it has
    /// a new incarnation.
    pub(crate) fn set_target(
        &mut self,
        index: usize,
        new_incarnation: bool,
        now: Duration,
        protections: Protections,
    ) {
        if self.health.len() <= index {
            self.health.push(Health::with_protections(now, protections));
            self.in_flight.push(0);
        } else if new_incarnation {
            self.health[index] = Health::with_protections(now, protections);
        }
    }
}
