//! The collection of completed calls.

use tokio::sync::oneshot;

use super::*;

/// More than the operations that the runtime allows a task in one poll.
const MANY_CALLS: usize = 200;

/// This many calls whose answers are there.
fn completed_calls(count: usize) -> PendingCalls {
    let calls = PendingCalls::default();
    for at in 0..count {
        let (tx, rx) = oneshot::channel();
        let worker = format!("w{at}").into();
        let sent = tx.send(Event::Left { worker });
        sent.expect("the call waits for its answer");
        calls.push(Box::pin(async { rx.await.ok() }));
    }
    calls
}

/// Guards against turns that handle a part of the answers that are there, and poll the other
/// calls in vain.
#[tokio::test]
async fn collect_completed_takes_all_answers_that_are_there() {
    let mut calls = completed_calls(MANY_CALLS);
    let mut events = Vec::new();
    let all_collected = calls.collect_completed(&mut events);
    assert_eq!((events.len(), all_collected), (MANY_CALLS, true));
}

/// A tick after such a batch must count as one after a stall, as an answer that prevents the
/// expiry of a lease may be left.
#[tokio::test]
async fn collect_completed_tells_that_answers_are_left() {
    let mut calls = completed_calls(MAX_EVENT_BATCH + 1);
    let mut events = Vec::new();
    let all_collected = calls.collect_completed(&mut events);
    assert_eq!((events.len(), all_collected), (MAX_EVENT_BATCH, false));
}
