//! What has to happen without a request: refusing in time, sweeping.

use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Shared;
use crate::control::Control;

/// How late a waiting request that can't finish in time may be told so.
const WHILE_WAITING: Duration = Duration::from_millis(10);
/// How often unused connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

pub(super) fn spawn<C: Control>(shared: &Arc<Shared<C>>) {
    tokio::spawn(run(Arc::downgrade(shared)));
}

/// Runs until the entry and its requests are gone.
async fn run<C: Control>(shared: Weak<Shared<C>>) {
    let mut swept = Instant::now();
    while let Some(shared) = shared.upgrade() {
        let waiting = tick(&shared);
        if swept.elapsed() >= SWEEP {
            sweep(&shared);
            shared.measure();
            swept = Instant::now();
        }
        if waiting {
            drop(shared);
            sleep(WHILE_WAITING).await;
        } else {
            // Woken by a request that begins to wait.
            let _ = timeout(SWEEP, shared.waiting.notified()).await;
        }
    }
}

fn tick<C: Control>(shared: &Shared<C>) -> bool {
    let routes = shared.routes();
    let mut waiting = false;
    for route in routes.services.values() {
        waiting |= route.state.tick();
    }
    waiting
}

fn sweep<C: Control>(shared: &Shared<C>) {
    for route in shared.routes().services.values() {
        route.state.sweep(shared.cfg.limits.idle_timeout);
    }
}
