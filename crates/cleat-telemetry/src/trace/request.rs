//! The first span of a request, and the decision whether there is one.

use std::sync::atomic::{AtomicU8, Ordering};

use opentelemetry::Context;
use opentelemetry::trace::TraceContextExt;
use tracing::Span;
use tracing::field::Empty;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// The name of a request's first span; no other span may have it.
pub(super) const REQUEST: &str = "request";

/// Percent of the requests without a `traceparent` that are traced.
static RATIO_PERCENT: AtomicU8 = AtomicU8::new(0);

pub(super) fn set_ratio(percent: u8) {
    RATIO_PERCENT.store(percent, Ordering::Relaxed);
}

/// The first span of a request that arrived with `parent`, see
/// [`context_from`](super::context_from). It is disabled if the request is not traced: the
/// parent's own decision is followed; without a parent, the ratio in the settings decides.
/// With a log level below info it is always disabled.
///
/// The fields `method`, `service`, `caller`, `target`, `outcome` and `status` may be
/// recorded later.
pub fn request_span(parent: Option<&Context>) -> Span {
    let traced = match parent {
        Some(cx) => cx.span().span_context().is_sampled(),
        None => rand::random_range(0..100) < RATIO_PERCENT.load(Ordering::Relaxed),
    };
    if !traced {
        return Span::none();
    }
    let span = tracing::info_span!(
        parent: None,
        REQUEST,
        otel.kind = "server",
        method = Empty,
        service = Empty,
        caller = Empty,
        target = Empty,
        outcome = Empty,
        status = Empty,
    );
    if let Some(cx) = parent {
        // Fails only without a subscriber, where there is no span either.
        let _ = span.set_parent(cx.clone());
    }
    span
}
