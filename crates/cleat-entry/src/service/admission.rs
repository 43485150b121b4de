//! Admission of new requests.

use std::sync::Arc;

use cleat_decide::{AdmissionDecision, Arrival, Refusal, RefusalReason};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::queued::QueuedRequest;
use super::{ServiceState, Slot};

/// The immediate result of admission.
enum Admission {
    Started(Slot),
    Waiting(QueuedRequest),
}

impl ServiceState {
    /// Waits for a slot on behalf of `caller`, until `deadline` at the latest.
    /// `on_wait` is called if no slot is available at once.
    ///
    /// # Errors
    /// Why the request does not run and when the caller may retry.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        caller: &str,
        deadline: Instant,
        on_wait: impl FnOnce(),
    ) -> Result<Slot, Refusal> {
        match self.try_admit(caller, deadline)? {
            Admission::Started(slot) => Ok(slot),
            Admission::Waiting(waiting) => {
                on_wait();
                waiting.wait(deadline).await
            }
        }
    }

    fn try_admit(self: &Arc<Self>, caller: &str, deadline: Instant) -> Result<Admission, Refusal> {
        let now = self.now();
        let ticket = self.next_ticket();
        let arrival = Arrival {
            ticket,
            caller,
            deadline: self.to_clock(deadline),
        };
        let mut inner = self.lock();
        let (decision, acquired) = inner.admit(arrival, now);
        if let (AdmissionDecision::Start, Some(acquired)) = (decision, acquired) {
            let slot = Slot::new(Arc::clone(self), acquired, now);
            return Ok(Admission::Started(slot));
        }
        match decision {
            AdmissionDecision::Refuse(refusal) => Err(refusal),
            // Not expected: the admission controller starts nothing unless a
            // slot is free.
            AdmissionDecision::Start => Err(inner.refuse(RefusalReason::NoTarget, now)),
            AdmissionDecision::Wait | AdmissionDecision::Displace { .. } => {
                let (tx, rx) = oneshot::channel();
                inner.add_waiting(ticket, tx);
                self.slots().request_slots(inner.slots_needed());
                let waiting = QueuedRequest::new(Arc::clone(self), ticket, rx);
                Ok(Admission::Waiting(waiting))
            }
        }
    }
}
