//! Counts the spans that go to the exporter's queue.

use std::time::Duration;

use opentelemetry::Context;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{BatchSpanProcessor, Span, SpanData, SpanProcessor};

use crate::Counter;

/// The queue drops what it has no room for and does not say so. Spans ended, less spans
/// written, less the few still queued, are those lost.
#[derive(Debug)]
pub(super) struct Tally {
    queue: BatchSpanProcessor,
    ended: Counter,
}

impl Tally {
    pub(super) fn new(queue: BatchSpanProcessor, ended: Counter) -> Tally {
        Tally { queue, ended }
    }
}

impl SpanProcessor for Tally {
    fn on_start(&self, span: &mut Span, cx: &Context) {
        self.queue.on_start(span, cx);
    }

    fn on_end(&self, span: SpanData) {
        if span.span_context.is_sampled() {
            self.ended.incr();
        }
        self.queue.on_end(span);
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.queue.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.queue.shutdown_with_timeout(timeout)
    }
}
