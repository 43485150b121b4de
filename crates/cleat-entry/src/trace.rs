//! The trace of one request: a span for each hop, if the request is sampled.

use http::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry::Context;
use opentelemetry::trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState};
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
/// Version 00 of W3C Trace Context: `00-TRACE-SPAN-FLAGS`.
const VERSION: &str = "00";
const PARTS: usize = 4;

/// The trace of one request. An unsampled one holds no span and costs a look
/// at one header.
pub(crate) struct Trace {
    root: Span,
}

impl Trace {
    /// Begins with the span `received`: sampled as the caller says, else if
    /// `sampled` says so.
    pub(crate) fn begin(headers: &HeaderMap, sampled: impl FnOnce() -> bool) -> Trace {
        let parent = headers.get(TRACEPARENT).and_then(parse);
        let sampled = parent
            .as_ref()
            .map_or_else(sampled, SpanContext::is_sampled);
        if !sampled {
            return Trace { root: Span::none() };
        }
        let root = tracing::info_span!("received");
        if let Some(parent) = parent {
            let parent = Context::new().with_remote_span_context(parent);
            // Without a tracer there is nothing to continue.
            let _ = root.set_parent(parent);
        }
        Trace { root }
    }

    /// From admission asked to admission given.
    pub(crate) fn admitted(&self) -> Span {
        self.hop(|| tracing::info_span!(parent: &self.root, "admitted"))
    }

    /// From a slot to a connection.
    pub(crate) fn chosen(&self, target: &str) -> Span {
        self.hop(|| tracing::info_span!(parent: &self.root, "chosen", target))
    }

    /// From the first byte of a try to the head of its answer.
    pub(crate) fn sent(&self) -> Span {
        self.hop(|| tracing::info_span!(parent: &self.root, "sent"))
    }

    /// From the head of an answer to its end.
    pub(crate) fn answered(&self, status: u16) -> Span {
        self.hop(|| tracing::info_span!(parent: &self.root, "answered", status))
    }

    /// Passes the trace on. An unsampled request keeps what its caller sent.
    pub(crate) fn inject(&self, headers: &mut HeaderMap) {
        if self.root.is_none() {
            return;
        }
        let cx = self.root.context();
        let span = cx.span();
        let span = span.span_context();
        if span.is_valid()
            && let Ok(value) = HeaderValue::try_from(format(span))
        {
            headers.insert(TRACEPARENT, value);
        }
    }

    fn hop(&self, span: impl FnOnce() -> Span) -> Span {
        if self.root.is_none() {
            Span::none()
        } else {
            span()
        }
    }
}

fn parse(value: &HeaderValue) -> Option<SpanContext> {
    let text = value.to_str().ok()?;
    let parts: Vec<&str> = text.split('-').collect();
    if parts.len() != PARTS || parts[0] != VERSION {
        return None;
    }
    let trace = TraceId::from_hex(parts[1]).ok()?;
    let span = SpanId::from_hex(parts[2]).ok()?;
    let flags = TraceFlags::new(u8::from_str_radix(parts[3], 16).ok()?);
    let cx = SpanContext::new(trace, span, flags, true, TraceState::NONE);
    cx.is_valid().then_some(cx)
}

fn format(span: &SpanContext) -> String {
    format!(
        "{VERSION}-{}-{}-{:02x}",
        span.trace_id(),
        span.span_id(),
        span.trace_flags()
    )
}
