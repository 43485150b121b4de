//! The state of a service that is protected by its lock.

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

use super::queued::WaitResult;
use super::retry::RetryQueue;
use super::slot::AcquiredSlot;
use super::{ServiceState, Slot};
use crate::target::Target;

pub(super) struct Inner {
    config: Service,
    admission: AdmissionController,
    budget: RetryBudget,
    targets: Vec<Arc<Target>>,
    /// Invariant: exactly the tickets that wait in `admission`.
    waiting: HashMap<Ticket, oneshot::Sender<WaitResult>>,
    retries: RetryQueue,
    /// The candidates for the choice of a target, at the same positions as
    /// `targets`. Only valid right after [`Inner::refresh_candidates`].
    candidates: Vec<Candidate>,
    rng: SmallRng,
}

impl Inner {
    pub(super) fn new(config: &Service, seed: u64) -> Inner {
        Inner {
            config: config.clone(),
            admission: AdmissionController::new(config, seed),
            budget: RetryBudget::new(&config.retry, seed),
            targets: Vec::new(),
            waiting: HashMap::new(),
            retries: RetryQueue::default(),
            candidates: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(super) fn set_config(&mut self, config: &Service) {
        if self.config == *config {
            return;
        }
        self.config = config.clone();
        self.admission.reconfigure(config);
        self.budget.reconfigure(&config.retry);
    }

    pub(super) fn set_targets(&mut self, targets: Vec<Arc<Target>>) {
        self.targets = targets;
    }

    pub(super) fn targets(&self) -> Vec<Arc<Target>> {
        self.targets.clone()
    }

    /// Whether any target could ever admit a request of this entry.
    pub(super) fn has_capacity(&self) -> bool {
        self.targets
            .iter()
            .any(|target| target.slots.connection_share() > 0)
    }

    /// Whether a target other than `target` could ever admit a request of this
    /// entry.
    pub(super) fn has_alternative(&self, target: &Arc<Target>) -> bool {
        let other = |t: &Arc<Target>| !Arc::ptr_eq(t, target) && t.slots.connection_share() > 0;
        self.targets.iter().any(other)
    }

    /// The number of slots to borrow from other entries for the waiting
    /// requests.
    pub(super) fn slots_needed(&self) -> u32 {
        let waiting = self.admission.waiting() + self.retries.len();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        if waiting == 0 {
            return 0;
        }
        let borrowable = self.targets.iter().map(|target| target.slots.borrowable());
        waiting.min(borrowable.sum())
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.admission.waiting() > 0 || !self.retries.is_empty()
    }

    pub(super) fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    pub(super) fn service_time_p10(&self) -> Duration {
        self.admission.service_time_p10()
    }

    pub(super) fn refuse(&mut self, reason: RefusalReason, now: Duration) -> Refusal {
        self.admission.refuse(reason, now)
    }

    /// Decides on a new request. If it starts, the result contains its slot.
    pub(super) fn admit(
        &mut self,
        arrival: Arrival<'_>,
        now: Duration,
    ) -> (AdmissionDecision, Option<AcquiredSlot>) {
        if !self.has_capacity() {
            let refusal = self.refuse(RefusalReason::NoTarget, now);
            return (AdmissionDecision::Refuse(refusal), None);
        }
        self.refresh_candidates(now);
        let free = free_slots(&self.candidates);
        // A slot that looks free may have been lent in the meantime, so it is
        // acquired before the decision.
        let starts = free > 0 && self.admission.waiting() == 0;
        let acquired = starts.then(|| self.acquire_slot(None)).flatten();
        let free = if acquired.is_some() { free } else { 0 };
        let decision = self.admission.admit(arrival, free, now);
        if let AdmissionDecision::Displace { displaced, refusal } = decision {
            self.refuse_ticket(displaced, refusal);
        }
        match (decision, acquired) {
            (AdmissionDecision::Start, acquired) => (decision, acquired),
            (decision, Some(unused)) => {
                unused.target.release(unused.token);
                (decision, None)
            }
            (decision, None) => (decision, None),
        }
    }

    pub(super) fn add_waiting(&mut self, ticket: Ticket, tx: oneshot::Sender<WaitResult>) {
        self.waiting.insert(ticket, tx);
    }

    pub(super) fn retries(&mut self) -> &mut RetryQueue {
        &mut self.retries
    }

    pub(super) fn cancel(&mut self, ticket: Ticket) {
        if self.waiting.remove(&ticket).is_some() {
            self.admission.cancel(ticket);
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.retries.expire(now);
        for (ticket, refusal) in self.admission.expire(now) {
            self.refuse_ticket(ticket, refusal);
        }
    }

    /// Refuses all waiting requests, because no target is left.
    pub(super) fn refuse_waiting(&mut self, now: Duration) {
        let tickets: Vec<Ticket> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            self.admission.cancel(ticket);
            let refusal = self.refuse(RefusalReason::NoTarget, now);
            self.refuse_ticket(ticket, refusal);
        }
        self.retries.clear();
    }

    /// Updates the candidates for the choice of a target.
    pub(super) fn refresh_candidates(&mut self, now: Duration) {
        let candidates = self.targets.iter().map(|target| target.candidate(now));
        self.candidates.clear();
        self.candidates.extend(candidates);
        eject_slow_targets(&mut self.candidates);
    }

    /// Chooses a target and acquires a slot of it.
    /// [`Inner::refresh_candidates`] must be called first.
    pub(super) fn acquire_slot(&mut self, exclude: Option<&Arc<Target>>) -> Option<AcquiredSlot> {
        let is_excluded = |target: &Arc<Target>| exclude.is_some_and(|e| Arc::ptr_eq(e, target));
        let exclude = exclude.and_then(|_| self.targets.iter().position(is_excluded));
        loop {
            let index = choose_target(&self.candidates, exclude, self.rng.next_u64())?;
            let target = &self.targets[index];
            let candidate = &mut self.candidates[index];
            if let Some(token) = target.acquire() {
                candidate.in_flight += 1;
                let target = Arc::clone(target);
                return Some(AcquiredSlot { target, token });
            }
            candidate.max_in_flight = 0;
        }
    }

    /// Assigns free slots to waiting requests. `sample` is the service time of
    /// the request that released a slot.
    pub(super) fn assign_slots(
        &mut self,
        service: &Arc<ServiceState>,
        sample: Option<Duration>,
        now: Duration,
    ) {
        if !self.has_waiting() {
            if sample.is_some() {
                self.admission.slot_freed(sample, now);
            }
            return;
        }
        self.refresh_candidates(now);
        self.assign_to_retries(service, now);
        self.assign_to_queue(service, sample, now);
    }

    fn assign_to_retries(&mut self, service: &Arc<ServiceState>, now: Duration) {
        while let Some(exclude) = self.retries.next_excluded_target(now) {
            let Some(acquired) = self.acquire_slot(exclude.as_ref()) else {
                return;
            };
            let slot = Slot::new(Arc::clone(service), acquired, now);
            let tx = self.retries.pop_first();
            hand_over(tx, slot);
        }
    }

    fn assign_to_queue(
        &mut self,
        service: &Arc<ServiceState>,
        mut sample: Option<Duration>,
        now: Duration,
    ) {
        while self.admission.waiting() > 0 {
            let Some(acquired) = self.acquire_slot(None) else {
                return;
            };
            let dequeued = self.admission.slot_freed(sample.take(), now);
            for (ticket, refusal) in dequeued.refused {
                self.refuse_ticket(ticket, refusal);
            }
            let ticket = dequeued.start;
            let tx = ticket.and_then(|ticket| self.waiting.remove(&ticket));
            hand_over(tx, Slot::new(Arc::clone(service), acquired, now));
        }
    }

    fn refuse_ticket(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            // If the receiver was dropped, nobody waits for the refusal.
            let _ = tx.send(WaitResult::Refused(refusal));
        }
    }
}

/// Passes a slot to a waiting request. If the receiver was dropped, the slot is
/// released here, because dropping the slot would try to take the lock of the
/// service, which is already held.
fn hand_over(tx: Option<oneshot::Sender<WaitResult>>, slot: Slot) {
    let unsent = match tx {
        Some(tx) => tx.send(WaitResult::Start(slot)).err(),
        None => Some(WaitResult::Start(slot)),
    };
    if let Some(WaitResult::Start(mut slot)) = unsent {
        slot.detach(Duration::ZERO).release();
    }
}
