//! The right to run one try at one target.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::ServiceState;
use crate::target::{Taken, Target};
use crate::upstream::{Failure, Upstream};

/// A slot of a target, with the connection that uses it.
///
/// Given back exactly once: by [`ServiceState::conclude`], else when dropped,
/// and never before its connection is unused or closed.
pub(crate) struct Slot {
    service: Arc<ServiceState>,
    /// `None` once given back.
    target: Option<Arc<Target>>,
    taken: Taken,
    upstream: Option<Box<Upstream>>,
    /// Whether the exchange ended so that the connection can serve another.
    reusable: bool,
    since: Duration,
}

impl Slot {
    /// Wraps a slot that was taken of `target`.
    pub(super) fn new(service: Arc<ServiceState>, placed: Placed, now: Duration) -> Slot {
        Slot {
            service,
            target: Some(placed.target),
            taken: placed.taken,
            upstream: None,
            reusable: false,
            since: now,
        }
    }

    /// The target.
    pub(crate) fn target(&self) -> Option<&Arc<Target>> {
        self.target.as_ref()
    }

    /// The service.
    pub(crate) fn service(&self) -> &Arc<ServiceState> {
        &self.service
    }

    /// A connection for one exchange: an unused one or a new one.
    ///
    /// # Errors
    /// [`Failure::NotSent`].
    pub(crate) async fn connect(
        &mut self,
        terms: &ConnectTerms,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let target = self.target.as_ref().ok_or(Failure::NotSent)?;
        let idle = target.take_idle(self.service.now(), terms.idle);
        let upstream = match idle {
            Some(upstream) => upstream,
            None => {
                let left = deadline.saturating_duration_since(Instant::now());
                let limit = terms.connect.min(left);
                Upstream::open(target.address, limit).await?
            }
        };
        upstream.set_begin_until(self.taken.begin_until);
        self.upstream = Some(upstream);
        Ok(())
    }

    /// The connection, once there is one.
    pub(crate) fn upstream(&mut self) -> Option<&mut Upstream> {
        self.upstream.as_deref_mut()
    }

    /// Says that the exchange ended by its framing.
    pub(crate) fn set_reusable(&mut self) {
        self.reusable = true;
    }

    pub(super) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Takes care of the connection and hands over the duty to give back the
    /// slot.
    pub(super) fn disarm(&mut self, now: Duration) -> Released {
        let target = self.target.take();
        let upstream = self.upstream.take();
        let unfinished = upstream.as_ref().is_some_and(|u| u.is_unfinished());
        let lingers = unfinished && !self.reusable;
        if let Some(upstream) = upstream
            && self.reusable
            && let Some(target) = &target
        {
            target.keep_idle(upstream, now);
        }
        Released {
            held: target.map(|target| (target, self.taken)),
            lingers,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.target.is_some() {
            let now = self.service.now();
            let released = self.disarm(now);
            self.service.freed(released);
        }
    }
}

/// A target with a slot of it.
pub(super) struct Placed {
    pub(super) target: Arc<Target>,
    pub(super) taken: Taken,
}

/// How connections to targets are opened and kept.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectTerms {
    /// The longest that opening may take.
    pub(crate) connect: Duration,
    /// How long an unused connection stays usable.
    pub(crate) idle: Duration,
}

/// A slot still to be given back, without its connection.
#[must_use]
pub(super) struct Released {
    held: Option<(Arc<Target>, Taken)>,
    /// Its connection was closed in mid-exchange: the target works on until it
    /// notices.
    lingers: bool,
}

impl Released {
    pub(super) fn record(
        &self,
        outcome: cleat_decide::AttemptOutcome,
        latency: Duration,
        now: Duration,
    ) {
        if let Some((target, _)) = &self.held {
            target.record(outcome, latency, now);
        }
    }

    /// Whether the target needs time to notice that it is to stop. Asked once:
    /// the time is over when it is asked again.
    pub(super) fn take_lingering(&mut self) -> bool {
        std::mem::take(&mut self.lingers)
    }

    pub(super) fn release(self) {
        if let Some((target, taken)) = self.held {
            target.release(taken);
        }
    }
}
