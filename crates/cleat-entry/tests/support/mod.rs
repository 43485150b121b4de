//! Scripted targets, a scripted control and a simple caller.
#![allow(clippy::unwrap_used, dead_code, unreachable_pub, unused_imports)]

mod caller;
mod control;
mod fleet;
mod target;

pub use caller::{Reply, call, get, open, post};
pub use control::{Behaviour, FakeControl};
pub use fleet::{Fleet, entry, entry_with, limits};
pub use target::{Step, Target};

use std::time::Duration;

/// Polls until `check` holds. Panics after ten seconds.
pub async fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..1_000 {
        if check() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never: {what}");
}
