//! A slot of a target, held by one attempt.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::ServiceState;
use crate::target::{SlotToken, Target};
use crate::upstream::{Failure, Upstream};

/// A slot of a target with the connection that uses it.
///
/// It is released exactly once, by [`ServiceState::finish_attempt`] or when it
/// is dropped, and never before its connection is idle or closed.
pub(crate) struct Slot {
    service: Arc<ServiceState>,
    /// `None` once the slot was released.
    target: Option<Arc<Target>>,
    token: SlotToken,
    upstream: Option<Box<Upstream>>,
    /// Whether the exchange is complete, so that the connection can be reused.
    reusable: bool,
    acquired_at: Duration,
}

impl Slot {
    pub(super) fn new(service: Arc<ServiceState>, acquired: AcquiredSlot, now: Duration) -> Slot {
        Slot {
            service,
            target: Some(acquired.target),
            token: acquired.token,
            upstream: None,
            reusable: false,
            acquired_at: now,
        }
    }

    /// The target, until the slot is released.
    pub(crate) fn target(&self) -> Option<&Arc<Target>> {
        self.target.as_ref()
    }

    pub(crate) fn service(&self) -> &Arc<ServiceState> {
        &self.service
    }

    /// Takes an idle connection or opens a new one.
    ///
    /// # Errors
    /// [`Failure::NotSent`].
    pub(crate) async fn connect(
        &mut self,
        options: &ConnectOptions,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let target = self.target.as_ref().ok_or(Failure::NotSent)?;
        let idle = target.take_idle(self.service.now(), options.idle_timeout);
        let upstream = match idle {
            Some(upstream) => upstream,
            None => {
                let left = deadline.saturating_duration_since(Instant::now());
                let limit = options.connect_timeout.min(left);
                Upstream::open(target.address, limit).await?
            }
        };
        upstream.set_start_deadline(self.token.start_deadline);
        self.upstream = Some(upstream);
        Ok(())
    }

    /// The connection, if there is one.
    pub(crate) fn upstream(&mut self) -> Option<&mut Upstream> {
        self.upstream.as_deref_mut()
    }

    /// Records that the response was complete and the connection can be reused.
    pub(crate) fn mark_reusable(&mut self) {
        self.reusable = true;
    }

    pub(super) fn held_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.acquired_at)
    }

    /// Puts back or closes the connection. The slot must then be released through
    /// the returned value.
    pub(super) fn detach(&mut self, now: Duration) -> PendingRelease {
        let target = self.target.take();
        let upstream = self.upstream.take();
        let unfinished = upstream.as_ref().is_some_and(|u| u.is_unfinished());
        let awaits_close = unfinished && !self.reusable;
        if let Some(upstream) = upstream
            && self.reusable
            && let Some(target) = &target
        {
            target.put_idle(upstream, now);
        }
        PendingRelease {
            slot: target.map(|target| (target, self.token)),
            awaits_close,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.target.is_some() {
            let now = self.service.now();
            let pending = self.detach(now);
            self.service.release_without_outcome(pending);
        }
    }
}

/// A target and an acquired slot of it.
pub(super) struct AcquiredSlot {
    pub(super) target: Arc<Target>,
    pub(super) token: SlotToken,
}

/// Timeouts of connections to targets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectOptions {
    /// The timeout for opening a connection.
    pub(crate) connect_timeout: Duration,
    /// How long an idle connection can be reused.
    pub(crate) idle_timeout: Duration,
}

/// A slot that must still be released, without its connection.
#[must_use]
pub(super) struct PendingRelease {
    slot: Option<(Arc<Target>, SlotToken)>,
    /// The connection was closed during an exchange. The target may keep
    /// working on the request until it detects this.
    awaits_close: bool,
}

impl PendingRelease {
    pub(super) fn record(
        &self,
        outcome: cleat_decide::AttemptOutcome,
        latency: Duration,
        now: Duration,
    ) {
        if let Some((target, _)) = &self.slot {
            target.record(outcome, latency, now);
        }
    }

    /// Whether the slot has to wait for the grace period, in which the target
    /// detects the closed connection. Returns `true` only once: the next call
    /// happens after that period.
    pub(super) fn take_grace_period(&mut self) -> bool {
        std::mem::take(&mut self.awaits_close)
    }

    pub(super) fn release(self) {
        if let Some((target, token)) = self.slot {
            target.release(token);
        }
    }
}
