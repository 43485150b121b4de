//! The graceful end of an entry.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::shared::{Phase, SharedState};
use crate::control::Control;

/// The longest to wait for settlements of idempotency keys. One that is lost
/// counts as unknown later; its caller has its answer.
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
        log::warn!("idempotency keys are left unsettled; they will count as unknown");
    }
}

async fn wait_for_settlements<C: Control>(shared: &SharedState<C>) {
    while !shared.held_keys.is_empty() {
        sleep(POLL_INTERVAL).await;
    }
}
