//! Periodic work: rejects waiting requests in time and closes idle connections.

use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::SharedState;
use crate::control::Control;

/// The maximum delay before a waiting request that can't finish in time is
/// rejected.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The interval of the search for expired connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

pub(super) fn spawn<C: Control>(shared: &Arc<SharedState<C>>) {
    tokio::spawn(run(Arc::downgrade(shared)));
}

/// Runs until the entry and all its requests are dropped.
async fn run<C: Control>(shared: Weak<SharedState<C>>) {
    let mut last_sweep = Instant::now();
    while let Some(shared) = shared.upgrade() {
        let waiting = check_queues(&shared);
        if last_sweep.elapsed() >= SWEEP_INTERVAL {
            close_expired_connections(&shared);
            shared.update_gauges();
            last_sweep = Instant::now();
        }
        if waiting {
            drop(shared);
            sleep(QUEUE_CHECK_INTERVAL).await;
        } else {
            // Returns early when a request starts to wait.
            let _ = timeout(SWEEP_INTERVAL, shared.waiter_added.notified()).await;
        }
    }
}

fn check_queues<C: Control>(shared: &SharedState<C>) -> bool {
    let routes = shared.routes();
    let mut waiting = false;
    for route in routes.services.values() {
        waiting |= route.state.check_queue();
    }
    waiting
}

fn close_expired_connections<C: Control>(shared: &SharedState<C>) {
    for route in shared.routes().services.values() {
        route
            .state
            .close_expired_connections(shared.cfg.limits.idle_timeout);
    }
}
