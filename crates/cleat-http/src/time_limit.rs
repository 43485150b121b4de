//! Time limits of calls.

use std::pin::pin;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::timeout;

/// The number of turns in which the event loop reads from sockets before a call is given up or
/// a server stops: one in which a message arrives, and more for a large one, which arrives in
/// parts.
pub(crate) const READ_TURNS: usize = 8;

/// Waits for the output of a call until its time limit; `None` if there is none.
///
/// A thread that was busy finds the limit over before it has read what arrived meanwhile. The
/// event loop therefore reads once more from all sockets before the call is given up.
pub(crate) async fn within<F: Future>(limit: Duration, call: F) -> Option<F::Output> {
    let mut call = pin!(call);
    if let Ok(output) = timeout(limit, call.as_mut()).await {
        return Some(output);
    }
    tokio::select! {
        biased;
        output = call => Some(output),
        () = read_from_sockets() => None,
    }
}

/// Lets the event loop read from all sockets and run the tasks of their connections.
async fn read_from_sockets() {
    for _ in 0..READ_TURNS {
        // Resumes only after the event loop has asked the system for events.
        yield_now().await;
    }
}
