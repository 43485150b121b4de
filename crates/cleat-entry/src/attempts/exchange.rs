//! One attempt at one target.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use tokio::time::{Instant, Sleep};
use tracing::Instrument;

use crate::request::OutgoingRequest;
use crate::response::{MemoryBudget, Received, receive};
use crate::service::{ConnectOptions, Slot};
use crate::trace::Trace;
use crate::upstream::{Failure, Upstream};

/// What all attempts of a request have in common.
pub(super) struct AttemptOptions<'a> {
    pub(super) outgoing: &'a OutgoingRequest,
    pub(super) connect: ConnectOptions,
    /// The maximum size of a buffered response, in bytes.
    pub(super) response_limit: u64,
    pub(super) memory: &'a Arc<MemoryBudget>,
    pub(super) deadline: Instant,
    pub(super) trace: &'a Trace,
}

/// Runs one attempt until it ends or the deadline passes.
///
/// # Errors
/// The proven cause, if there is no complete response.
pub(super) async fn exchange(
    slot: &mut Slot,
    options: &AttemptOptions<'_>,
) -> Result<Received, Failure> {
    let target = slot.target().cloned().ok_or(Failure::NotSent)?;
    let connect_span = options.trace.connect_span(&target.name);
    let connecting = slot.connect(&options.connect, options.deadline);
    connecting.instrument(connect_span).await?;
    let upstream = slot.upstream().ok_or(Failure::NotSent)?;
    let mut timer = upstream.take_timer(options.deadline);
    let received = with_timer(timer.as_mut(), run(upstream, target.address, options)).await;
    upstream.set_timer(timer);
    let received = match received {
        Some(received) => received?,
        None if upstream.may_have_sent() => return Err(Failure::TimedOut),
        None => return Err(Failure::NotSent),
    };
    if matches!(received, Received::Complete(..)) {
        slot.mark_reusable();
    }
    Ok(received)
}

async fn run(
    upstream: &mut Upstream,
    address: SocketAddr,
    options: &AttemptOptions<'_>,
) -> Result<Received, Failure> {
    let request = options
        .outgoing
        .request(address, options.deadline, options.trace);
    let response = upstream.send(request).instrument(options.trace.send_span());
    let response = response.await?;
    let response_span = options.trace.response_span(response.status().as_u16());
    let method = &options.outgoing.method;
    let received = receive(
        upstream,
        method,
        response,
        options.response_limit,
        options.memory,
    );
    received.instrument(response_span).await
}

/// Runs `work`; returns `None` if `timer` ends first.
async fn with_timer<F: Future>(mut timer: Pin<&mut Sleep>, work: F) -> Option<F::Output> {
    let mut work = std::pin::pin!(work);
    std::future::poll_fn(|cx| {
        if let std::task::Poll::Ready(result) = work.as_mut().poll(cx) {
            return std::task::Poll::Ready(Some(result));
        }
        timer.as_mut().poll(cx).map(|()| None)
    })
    .await
}
