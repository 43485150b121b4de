//! `traceparent` and `tracestate` (W3C Trace Context), in and out.

use opentelemetry::Context;
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

const TRACEPARENT: &str = "traceparent";
const TRACESTATE: &str = "tracestate";

/// The trace that a request's headers continue, if they name a valid one. `get` gives
/// the value of a header by its lower-case name.
pub fn context_from<'a>(get: impl Fn(&str) -> Option<&'a str>) -> Option<Context> {
    use opentelemetry::trace::TraceContextExt;
    let headers = Headers {
        traceparent: get(TRACEPARENT)?,
        tracestate: get(TRACESTATE),
    };
    let cx = TraceContextPropagator::new().extract_with_context(&Context::new(), &headers);
    cx.has_active_span().then_some(cx)
}

/// Gives `set` the headers that make a next hop continue `span`, by their lower-case names,
/// and says whether there were any. There are none for a disabled span: then the headers
/// that came in are passed on as they are.
pub fn inject(span: &Span, set: impl FnMut(&str, String)) -> bool {
    if span.is_disabled() {
        return false;
    }
    let mut setter = Setter(set);
    TraceContextPropagator::new().inject_context(&span.context(), &mut setter);
    true
}

struct Headers<'a> {
    traceparent: &'a str,
    tracestate: Option<&'a str>,
}

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        match key {
            TRACEPARENT => Some(self.traceparent),
            TRACESTATE => self.tracestate,
            _ => None,
        }
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT, TRACESTATE]
    }
}

struct Setter<F>(F);

impl<F: FnMut(&str, String)> Injector for Setter<F> {
    fn set(&mut self, key: &str, value: String) {
        // An empty tracestate says nothing.
        if !value.is_empty() {
            self.0(key, value);
        }
    }
}
