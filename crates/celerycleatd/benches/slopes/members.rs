//! The cost of standing still, by the number of instances.

use std::time::Duration;

use crate::support::Fleet;
use crate::{REPEATS, sample};

const VOTERS: usize = 3;
const SETTLE: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(10);

pub(crate) async fn measure() {
    for size in [3, 6, 9] {
        for _ in 0..REPEATS {
            let fleet = Fleet::start(size, VOTERS).await;
            tokio::time::sleep(SETTLE).await;
            sample::window(&fleet, "members", size, WINDOW).await;
        }
    }
}
