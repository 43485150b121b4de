//! Graceful shutdown of an entry.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::shared::{Phase, SharedState};
use crate::control::Control;

/// The maximum time to wait for settlements of idempotency keys. The outcome of
/// a key whose settlement is lost is unknown afterwards, but its caller already
/// has a response.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

pub(super) async fn drain<C: Control>(shared: &SharedState<C>) {
    shared.phase.send_replace(Phase::Draining);
    sleep(shared.cfg.limits.drain_delay).await;
    shared.phase.send_replace(Phase::Closing);
    shared.work.wait_until_idle().await;
    if timeout(SETTLEMENT_TIMEOUT, wait_for_settlements(shared))
        .await
        .is_err()
    {
        log::warn!(
            "timed out waiting for settlements of idempotency keys; their outcome will be unknown"
        );
    }
}

async fn wait_for_settlements<C: Control>(shared: &SharedState<C>) {
    while !shared.held_keys.is_empty() {
        sleep(POLL_INTERVAL).await;
    }
}
