//! The state of a service behind its lock.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cleat_decide::{
    AdmissionController, AdmissionDecision, Arrival, Candidate, Refusal, RefusalReason,
    RetryBudget, Ticket, choose_target, eject_slow_targets, free_slots,
};
use cleat_world::Service;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::oneshot;

use super::retry::Retries;
use super::slot::Placed;
use super::waiting::Wake;
use super::{ServiceState, Slot};
use crate::target::Target;

pub(super) struct Inner {
    terms: Service,
    gate: AdmissionController,
    budget: RetryBudget,
    targets: Vec<Arc<Target>>,
    /// Invariant: exactly the tickets that wait in `gate`.
    waiting: HashMap<Ticket, oneshot::Sender<Wake>>,
    retries: Retries,
    /// The targets as the choice sees them, position by position; only good
    /// right after [`Inner::look`].
    candidates: Vec<Candidate>,
    random: SmallRng,
}

impl Inner {
    pub(super) fn new(terms: &Service, seed: u64) -> Inner {
        Inner {
            terms: terms.clone(),
            gate: AdmissionController::new(terms, seed),
            budget: RetryBudget::new(&terms.retry, seed),
            targets: Vec::new(),
            waiting: HashMap::new(),
            retries: Retries::default(),
            candidates: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    pub(super) fn set_terms(&mut self, terms: &Service) {
        if self.terms == *terms {
            return;
        }
        self.terms = terms.clone();
        self.gate.reconfigure(terms);
        self.budget.reconfigure(&terms.retry);
    }

    pub(super) fn set_targets(&mut self, targets: Vec<Arc<Target>>) {
        self.targets = targets;
    }

    pub(super) fn targets(&self) -> Vec<Arc<Target>> {
        self.targets.clone()
    }

    /// Whether any target could ever take a request of this entry.
    pub(super) fn has_capacity(&self) -> bool {
        self.targets
            .iter()
            .any(|target| target.slots.connections() > 0)
    }

    /// Whether a target other than `target` could take a request.
    pub(super) fn has_other(&self, target: &Arc<Target>) -> bool {
        let other = |t: &Arc<Target>| !Arc::ptr_eq(t, target) && t.slots.connections() > 0;
        self.targets.iter().any(other)
    }

    /// How many slots of other entries would help what waits.
    pub(super) fn missing(&self) -> u32 {
        let waiting = self.gate.waiting() + self.retries.len();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        if waiting == 0 {
            return 0;
        }
        let headroom = self.targets.iter().map(|target| target.slots.headroom());
        waiting.min(headroom.sum())
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.gate.waiting() > 0 || !self.retries.is_empty()
    }

    pub(super) fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    pub(super) fn service_time_p10(&self) -> Duration {
        self.gate.service_time_p10()
    }

    pub(super) fn refuse(&mut self, reason: RefusalReason, now: Duration) -> Refusal {
        self.gate.refuse(reason, now)
    }

    /// Decides on a new request. One that starts has a slot.
    pub(super) fn arrive(
        &mut self,
        arrival: Arrival<'_>,
        now: Duration,
    ) -> (AdmissionDecision, Option<Placed>) {
        if !self.has_capacity() {
            let refusal = self.refuse(RefusalReason::NoTarget, now);
            return (AdmissionDecision::Refuse(refusal), None);
        }
        self.look(now);
        let free = free_slots(&self.candidates);
        // A slot that looks free may be lent this moment.
        let starts = free > 0 && self.gate.waiting() == 0;
        let placed = starts.then(|| self.place(None)).flatten();
        let free = if placed.is_some() { free } else { 0 };
        let arrived = self.gate.admit(arrival, free, now);
        if let AdmissionDecision::Displace { displaced, refusal } = arrived {
            self.refuse_ticket(displaced, refusal);
        }
        match (arrived, placed) {
            (AdmissionDecision::Start, placed) => (arrived, placed),
            (arrived, Some(unused)) => {
                unused.target.release(unused.taken);
                (arrived, None)
            }
            (arrived, None) => (arrived, None),
        }
    }

    pub(super) fn wait(&mut self, ticket: Ticket, tx: oneshot::Sender<Wake>) {
        self.waiting.insert(ticket, tx);
    }

    pub(super) fn retries(&mut self) -> &mut Retries {
        &mut self.retries
    }

    pub(super) fn cancel(&mut self, ticket: Ticket) {
        if self.waiting.remove(&ticket).is_some() {
            self.gate.cancel(ticket);
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.retries.expire(now);
        for (ticket, refusal) in self.gate.expire(now) {
            self.refuse_ticket(ticket, refusal);
        }
    }

    /// Answers everything that waits: no target is left.
    pub(super) fn refuse_waiting(&mut self, now: Duration) {
        let tickets: Vec<Ticket> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            self.gate.cancel(ticket);
            let refusal = self.refuse(RefusalReason::NoTarget, now);
            self.refuse_ticket(ticket, refusal);
        }
        self.retries.close();
    }

    /// Brings the candidates up to date.
    pub(super) fn look(&mut self, now: Duration) {
        let candidates = self.targets.iter().map(|target| target.candidate(now));
        self.candidates.clear();
        self.candidates.extend(candidates);
        eject_slow_targets(&mut self.candidates);
    }

    /// Chooses a target and takes a slot of it. Call [`Inner::look`] before.
    pub(super) fn place(&mut self, exclude: Option<&Arc<Target>>) -> Option<Placed> {
        let is_excluded = |target: &Arc<Target>| exclude.is_some_and(|e| Arc::ptr_eq(e, target));
        let exclude = exclude.and_then(|_| self.targets.iter().position(is_excluded));
        loop {
            let index = choose_target(&self.candidates, exclude, self.random.next_u64())?;
            let target = &self.targets[index];
            let candidate = &mut self.candidates[index];
            if let Some(taken) = target.acquire() {
                candidate.in_flight += 1;
                let target = Arc::clone(target);
                return Some(Placed { target, taken });
            }
            candidate.max_in_flight = 0;
        }
    }

    /// Starts what waits as long as slots are free; `sample` is the service
    /// time of the request that gave back a slot.
    pub(super) fn fill(
        &mut self,
        service: &Arc<ServiceState>,
        sample: Option<Duration>,
        now: Duration,
    ) {
        if !self.is_waiting() {
            if sample.is_some() {
                self.gate.slot_freed(sample, now);
            }
            return;
        }
        self.look(now);
        self.fill_retries(service, now);
        self.fill_waiting(service, sample, now);
    }

    fn fill_retries(&mut self, service: &Arc<ServiceState>, now: Duration) {
        while let Some(exclude) = self.retries.first(now) {
            let Some(target) = self.place(exclude.as_ref()) else {
                return;
            };
            let slot = Slot::new(Arc::clone(service), target, now);
            let tx = self.retries.take_first();
            start(tx, slot);
        }
    }

    fn fill_waiting(
        &mut self,
        service: &Arc<ServiceState>,
        mut sample: Option<Duration>,
        now: Duration,
    ) {
        while self.gate.waiting() > 0 {
            let Some(target) = self.place(None) else {
                return;
            };
            let released = self.gate.slot_freed(sample.take(), now);
            for (ticket, refusal) in released.refused {
                self.refuse_ticket(ticket, refusal);
            }
            let ticket = released.start;
            let tx = ticket.and_then(|ticket| self.waiting.remove(&ticket));
            start(tx, Slot::new(Arc::clone(service), target, now));
        }
    }

    fn refuse_ticket(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            // A receiver that is gone needs no answer.
            let _ = tx.send(Wake::Refused(refusal));
        }
    }
}

/// Hands over a slot. If nobody takes it, it goes back here: its own drop
/// would take the lock that is held now.
fn start(tx: Option<oneshot::Sender<Wake>>, slot: Slot) {
    let unsent = match tx {
        Some(tx) => tx.send(Wake::Start(slot)).err(),
        None => Some(Wake::Start(slot)),
    };
    if let Some(Wake::Start(mut slot)) = unsent {
        slot.disarm(Duration::ZERO).release();
    }
}
