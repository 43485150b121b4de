//! One try at one target.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use tokio::time::{Instant, Sleep};
use tracing::Instrument;

use crate::answer::{Memory, Received, receive};
use crate::request::Outgoing;
use crate::service::{ConnectTerms, Slot};
use crate::trace::Trace;
use crate::upstream::{Failure, Upstream};

/// What every try of a request shares.
pub(super) struct Terms<'a> {
    pub(super) outgoing: &'a Outgoing,
    pub(super) connect: ConnectTerms,
    /// The largest answer held back until it is whole, in bytes.
    pub(super) answer_limit: u64,
    pub(super) memory: &'a Arc<Memory>,
    pub(super) deadline: Instant,
    pub(super) trace: &'a Trace,
}

/// Runs one try until it ends or its deadline comes.
///
/// # Errors
/// What provably happened instead of a whole answer.
pub(super) async fn exchange(slot: &mut Slot, terms: &Terms<'_>) -> Result<Received, Failure> {
    let target = slot.target().cloned().ok_or(Failure::NotSent)?;
    let chosen = terms.trace.chosen(&target.name);
    let connecting = slot.connect(&terms.connect, terms.deadline);
    connecting.instrument(chosen).await?;
    let upstream = slot.upstream().ok_or(Failure::NotSent)?;
    let mut timer = upstream.take_timer(terms.deadline);
    let received = within(timer.as_mut(), run(upstream, target.address, terms)).await;
    upstream.set_timer(timer);
    let received = match received {
        Some(received) => received?,
        None if upstream.may_have_sent() => return Err(Failure::Late),
        None => return Err(Failure::NotSent),
    };
    if matches!(received, Received::Whole(..)) {
        slot.set_reusable();
    }
    Ok(received)
}

async fn run(
    upstream: &mut Upstream,
    address: SocketAddr,
    terms: &Terms<'_>,
) -> Result<Received, Failure> {
    let request = terms.outgoing.request(address, terms.deadline, terms.trace);
    let answer = upstream.send(request).instrument(terms.trace.sent());
    let answer = answer.await?;
    let answered = terms.trace.answered(answer.status().as_u16());
    let method = &terms.outgoing.method;
    let received = receive(upstream, method, answer, terms.answer_limit, terms.memory);
    received.instrument(answered).await
}

/// `work`, or `None` if `timer` ends first.
async fn within<F: Future>(mut timer: Pin<&mut Sleep>, work: F) -> Option<F::Output> {
    let mut work = std::pin::pin!(work);
    std::future::poll_fn(|cx| {
        if let std::task::Poll::Ready(result) = work.as_mut().poll(cx) {
            return std::task::Poll::Ready(Some(result));
        }
        timer.as_mut().poll(cx).map(|()| None)
    })
    .await
}
