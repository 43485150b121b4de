//! Tests the choice of a target by its measured latency.
#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::{Fleet, Step, Target, entry, get};
use tokio::task::JoinSet;

/// Enough concurrent requests to make the fast targets look busy.
const BURST: usize = 60;

#[tokio::test]
async fn choice_avoids_a_target_far_slower_than_the_others() {
    let quick = || Target::spawn(|_| Step::slow_ok(100, "quick"));
    let (a, b, c) = (quick().await, quick().await, quick().await);
    let slow = Target::spawn(|_| Step::slow_ok(1_000, "slow")).await;
    let fleet = Fleet::with_targets(json!({}), &[&a, &b, &c, &slow], 64);
    let (entry, _) = entry(&fleet).await;
    let address = entry.local_addr();
    for target in [&a, &b, &c, &slow] {
        while target.count() == 0 {
            assert_eq!(get(address, "/dock/x", "").await.status, 200);
        }
    }
    let before = slow.count();
    let mut burst = JoinSet::new();
    for _ in 0..BURST {
        burst.spawn(get(address, "/dock/x", ""));
    }
    while let Some(reply) = burst.join_next().await {
        assert_eq!(reply.unwrap().status, 200);
    }
    // The other targets have enough free capacity for all requests.
    assert_eq!(slow.count(), before);
}
