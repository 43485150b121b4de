//! Settles a claimed idempotency key.

use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use cleat_world::{ClaimKey, KeyAnswer, SettleKey, Settlement};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep, timeout_at};

use super::held_keys::HeldKey;
use crate::control::Control;

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The maximum additional time for which a caller without a claim waits for its
/// withdrawal.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// A claim that may have been committed. It is settled exactly once.
pub(super) struct ClaimGuard<C: Control> {
    control: Arc<C>,
    settle: SettleKey,
    /// How long the key is retained, and thus how long a settlement is useful.
    retention: Duration,
    /// Moved to the settlement, which holds the key until it is committed.
    held_key: Option<HeldKey>,
}

impl<C: Control> ClaimGuard<C> {
    /// Creates the guard of a claim that is about to be proposed. Unless its
    /// state changes, it is settled as not run.
    pub(super) fn new(
        control: Arc<C>,
        claim: &ClaimKey,
        retention: Duration,
        held_key: HeldKey,
    ) -> ClaimGuard<C> {
        let settle = SettleKey {
            key: claim.key.clone(),
            entry: claim.entry.clone(),
            incarnation: claim.incarnation,
            number: claim.number,
            settlement: Settlement::NotRun,
        };
        ClaimGuard {
            control,
            settle,
            retention,
            held_key: Some(held_key),
        }
    }

    /// Records that bytes of the request may be sent from now on.
    pub(super) fn mark_sent(&mut self) {
        self.settle.settlement = Settlement::Unknown;
    }

    /// Records that no claim of this request exists, so that nothing is
    /// settled.
    pub(super) fn disarm(&mut self) {
        self.held_key = None;
    }

    /// Settles a claim as not run, until `deadline`. Returns whether the claim
    /// had been committed: if so, the key was free, and no request with it has
    /// run. If the result stays unknown, dropping the guard continues the
    /// settlement.
    pub(super) async fn withdraw(mut self, deadline: Instant) -> bool {
        let end = deadline.min(Instant::now() + WITHDRAW_TIMEOUT);
        let settled = timeout_at(end, self.control.settle(self.settle.clone())).await;
        if matches!(settled, Ok(Ok(_))) {
            self.disarm();
        }
        matches!(settled, Ok(Ok(KeyAnswer::Settled)))
    }

    /// Proposes the settlement before it returns, but does not wait for its
    /// commit.
    ///
    /// Waiting would cost every request with a key another quorum write.
    /// Without it, a crash right after the response leaves the key pending
    /// until its hold ends. A repeated request then gets an unknown outcome,
    /// but never runs twice.
    pub(super) async fn settle(mut self, settlement: Settlement) {
        self.settle.settlement = settlement;
        let Some(proposal) = self.proposal() else {
            return;
        };
        let mut proposal = Box::pin(proposal);
        let pending = poll_fn(|cx| Poll::Ready(proposal.as_mut().poll(cx).is_pending())).await;
        if pending {
            tokio::spawn(proposal);
        }
    }

    fn proposal(&mut self) -> Option<impl Future<Output = ()> + Send + use<C>> {
        let held_key = self.held_key.take()?;
        let control = Arc::clone(&self.control);
        Some(propose_until_settled(
            control,
            self.settle.clone(),
            self.retention,
            held_key,
        ))
    }
}

impl<C: Control> Drop for ClaimGuard<C> {
    fn drop(&mut self) {
        let Some(proposal) = self.proposal() else {
            return;
        };
        // Without a runtime, the process is ending.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(proposal);
        }
    }
}

/// Proposes the settlement until it is committed or the key is no longer
/// retained.
async fn propose_until_settled<C: Control>(
    control: Arc<C>,
    settle: SettleKey,
    retention: Duration,
    _held_key: HeldKey,
) {
    let end = Instant::now() + retention;
    let mut backoff = INITIAL_BACKOFF;
    while Instant::now() < end {
        if control.settle(settle.clone()).await.is_ok() {
            return;
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    log::warn!("failed to settle an idempotency key within its retention; its outcome is unknown");
}
