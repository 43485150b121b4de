//! A request that waits for a slot.

use std::sync::Arc;

use cleat_decide::{Refusal, RefusalReason, Ticket};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use super::{ServiceState, Slot};

/// How a wait ends.
pub(super) enum WaitResult {
    Start(Slot),
    Refused(Refusal),
}

/// A place in the queue, given up when dropped.
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
    /// The refusal; at the deadline there always is one.
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
