//! The way of a request from its arrival to its first slot.

use std::sync::Arc;

use cleat_decide::{AdmissionDecision, Arrival, Refusal, RefusalReason};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::waiting::Waiting;
use super::{ServiceState, Slot};

/// What an arrival leads to at once.
enum Admission {
    Started(Slot),
    Waits(Waiting),
}

impl ServiceState {
    /// Waits for a slot on behalf of `caller`, until `deadline` at the latest.
    /// `on_wait` is called if the request has to wait.
    ///
    /// # Errors
    /// Why the request does not run and when to come back.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        caller: &str,
        deadline: Instant,
        on_wait: impl FnOnce(),
    ) -> Result<Slot, Refusal> {
        match self.arrive(caller, deadline)? {
            Admission::Started(slot) => Ok(slot),
            Admission::Waits(waiting) => {
                on_wait();
                waiting.end(deadline).await
            }
        }
    }

    fn arrive(self: &Arc<Self>, caller: &str, deadline: Instant) -> Result<Admission, Refusal> {
        let now = self.now();
        let ticket = self.next_ticket();
        let arrival = Arrival {
            ticket,
            caller,
            deadline: self.at(deadline),
        };
        let mut inner = self.lock();
        let (arrived, placed) = inner.arrive(arrival, now);
        if let (AdmissionDecision::Start, Some(placed)) = (arrived, placed) {
            let slot = Slot::new(Arc::clone(self), placed, now);
            return Ok(Admission::Started(slot));
        }
        match arrived {
            AdmissionDecision::Refuse(refusal) => Err(refusal),
            // The gate starts nothing while nothing is free.
            AdmissionDecision::Start => Err(inner.refuse(RefusalReason::NoTarget, now)),
            AdmissionDecision::Wait | AdmissionDecision::Displace { .. } => {
                let (tx, rx) = oneshot::channel();
                inner.wait(ticket, tx);
                self.slots().want(inner.missing());
                let waiting = Waiting::new(Arc::clone(self), ticket, rx);
                Ok(Admission::Waits(waiting))
            }
        }
    }
}
