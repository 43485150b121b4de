//! The graceful end of an entry.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::shared::{Phase, Shared};
use crate::control::Control;

/// The longest to wait for settlements of idempotency keys. One that is lost
/// counts as unknown later; its caller has its answer.
const SETTLEMENTS: Duration = Duration::from_secs(2);
const LOOK_AGAIN: Duration = Duration::from_millis(10);

pub(super) async fn drain<C: Control>(shared: &Shared<C>) {
    shared.phase.send_replace(Phase::Lingering);
    sleep(shared.cfg.limits.drain_delay).await;
    shared.phase.send_replace(Phase::Closing);
    shared.work.end().await;
    if timeout(SETTLEMENTS, settled(shared)).await.is_err() {
        log::warn!("idempotency keys are left unsettled; they will count as unknown");
    }
}

async fn settled<C: Control>(shared: &Shared<C>) {
    while !shared.keys_in_hand.is_empty() {
        sleep(LOOK_AGAIN).await;
    }
}
