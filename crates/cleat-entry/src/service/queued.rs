//! A request that waits for a slot.

use std::sync::Arc;

use cleat_decide::{Refusal, RefusalReason, Ticket};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use super::{ServiceState, Slot};

/// The result of waiting for a slot.
pub(super) enum WaitResult {
    Start(Slot),
    Refused(Refusal),
}

/// A position in the queue. Dropping it cancels the request.
pub(super) struct QueuedRequest {
    service: Arc<ServiceState>,
    ticket: Ticket,
    rx: oneshot::Receiver<WaitResult>,
}

impl QueuedRequest {
    pub(super) fn new(
        service: Arc<ServiceState>,
        ticket: Ticket,
        rx: oneshot::Receiver<WaitResult>,
    ) -> QueuedRequest {
        QueuedRequest {
            service,
            ticket,
            rx,
        }
    }

    /// Waits until the request starts or is refused.
    ///
    /// # Errors
    /// The refusal. There always is one at the deadline.
    pub(super) async fn wait(mut self, deadline: Instant) -> Result<Slot, Refusal> {
        match timeout_at(deadline, &mut self.rx).await {
            Ok(Ok(WaitResult::Start(slot))) => Ok(slot),
            Ok(Ok(WaitResult::Refused(refusal))) => Err(refusal),
            Ok(Err(_)) | Err(_) => {
                let now = self.service.now();
                let mut inner = self.service.lock();
                Err(inner.refuse(RefusalReason::CannotFinishInTime, now))
            }
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.service.lock().cancel(self.ticket);
    }
}
