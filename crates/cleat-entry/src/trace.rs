//! The trace of one request: a span for each hop, if the request is traced.

use cleat_telemetry::{context_from, inject, request_span};
use http::{HeaderMap, HeaderName, HeaderValue};
use tracing::{Span, info_span};

/// The trace of one request. An untraced one holds no span.
#[derive(Clone)]
pub(crate) struct Trace {
    root: Span,
}

impl Trace {
    /// Begins the trace, or continues that of the caller.
    pub(crate) fn begin(headers: &HeaderMap) -> Trace {
        let value = |name: &str| headers.get(name)?.to_str().ok();
        let parent = context_from(value);
        let root = request_span(parent.as_ref());
        Trace { root }
    }

    /// From the head of a request to the end of its body.
    pub(crate) fn receive_span(&self) -> Span {
        self.child_span(|| info_span!("received"))
    }

    /// From a key's claim asked to its answer.
    pub(crate) fn claim_span(&self) -> Span {
        self.child_span(|| info_span!("claimed"))
    }

    /// From admission asked to admission given.
    pub(crate) fn admission_span(&self) -> Span {
        self.child_span(|| info_span!("admitted"))
    }

    /// From a slot to a connection.
    pub(crate) fn connect_span(&self, target: &str) -> Span {
        self.child_span(|| info_span!("chosen", target))
    }

    /// From the first byte of a try to the head of its answer.
    pub(crate) fn send_span(&self) -> Span {
        self.child_span(|| info_span!("sent"))
    }

    /// From the head of an answer to its end, or to its streaming.
    pub(crate) fn response_span(&self, status: u16) -> Span {
        self.child_span(|| info_span!("answered", status))
    }

    /// Notes what the request asks for.
    pub(crate) fn record_request(&self, method: &str, service: &str, caller: &str) {
        self.root.record("method", method);
        self.root.record("service", service);
        self.root.record("caller", caller);
    }

    /// Notes what the caller is told.
    pub(crate) fn record_response(&self, outcome: &str, status: u16) {
        self.root.record("outcome", outcome);
        self.root.record("status", status);
    }

    /// Passes the trace on. An untraced request keeps what its caller sent.
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
