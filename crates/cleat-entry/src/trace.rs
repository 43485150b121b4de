//! The trace of one request, with a span for each step of its processing.

use cleat_telemetry::{context_from, inject, request_span};
use http::{HeaderMap, HeaderName, HeaderValue};
use tracing::{Span, info_span};

/// The trace of one request. If the request is not traced, it contains no span.
#[derive(Clone)]
pub(crate) struct Trace {
    root: Span,
}

impl Trace {
    /// Starts a trace, or continues the trace of the caller.
    pub(crate) fn begin(headers: &HeaderMap) -> Trace {
        let value = |name: &str| headers.get(name)?.to_str().ok();
        let parent = context_from(value);
        let root = request_span(parent.as_ref());
        Trace { root }
    }

    /// The span from the head of the request to the end of its body.
    pub(crate) fn receive_span(&self) -> Span {
        self.child_span(|| info_span!("received"))
    }

    /// The span from the claim of the idempotency key to its result.
    pub(crate) fn claim_span(&self) -> Span {
        self.child_span(|| info_span!("claimed"))
    }

    /// The span from the request for a slot to its assignment.
    pub(crate) fn admission_span(&self) -> Span {
        self.child_span(|| info_span!("admitted"))
    }

    /// The span from the acquired slot to an open connection.
    pub(crate) fn connect_span(&self, target: &str) -> Span {
        self.child_span(|| info_span!("chosen", target))
    }

    /// The span from the first byte of an attempt to the head of the response.
    pub(crate) fn send_span(&self) -> Span {
        self.child_span(|| info_span!("sent"))
    }

    /// The span from the head of the response to its end, or to the start of
    /// streaming.
    pub(crate) fn response_span(&self, status: u16) -> Span {
        self.child_span(|| info_span!("answered", status))
    }

    /// Records the attributes of the request.
    pub(crate) fn record_request(&self, method: &str, service: &str, caller: &str) {
        self.root.record("method", method);
        self.root.record("service", service);
        self.root.record("caller", caller);
    }

    /// Records the response to the caller.
    pub(crate) fn record_response(&self, outcome: &str, status: u16) {
        self.root.record("outcome", outcome);
        self.root.record("status", status);
    }

    /// Adds the trace context to the headers of a forwarded request. Without a
    /// trace, the headers stay as the caller sent them.
    pub(crate) fn inject(&self, headers: &mut HeaderMap) {
        inject(&self.root, |name, value| {
            let name = HeaderName::try_from(name);
            let value = HeaderValue::try_from(value);
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.insert(name, value);
            }
        });
    }

    fn child_span(&self, span: impl FnOnce() -> Span) -> Span {
        if self.root.is_disabled() {
            return Span::none();
        }
        self.root.in_scope(span)
    }
}
