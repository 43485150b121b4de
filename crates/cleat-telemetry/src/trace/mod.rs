//! Traces: which requests have one, how it is continued, where it is written.

mod export;
mod filter;
mod propagate;
mod request;
mod tally;

use cleat_settings::Settings;
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{BatchSpanProcessor, Sampler, SdkTracerProvider};
use tracing::Subscriber;
use tracing::level_filters::LevelFilter;
use tracing::subscriber::NoSubscriber;
use tracing_opentelemetry::OpenTelemetryLayer;
use tracing_subscriber::Registry;
use tracing_subscriber::layer::SubscriberExt;

pub use propagate::{context_from, inject};
pub use request::request_span;

use crate::error::AlreadyStartedSnafu;
use crate::{Counters, TelemetryError};
use export::Export;
use filter::OnlyTraced;
use tally::Tally;

const TRACER: &str = "celerycleat";
/// Counts traced spans that ended.
const ENDED: &str = "spans.ended";
/// Counts traced spans that were written to the log.
const WRITTEN: &str = "spans.written";
/// The level of a finished span's log line.
const SPAN_LEVEL: log::LevelFilter = log::LevelFilter::Info;
/// The most verbose level of a span that is ever recorded.
const LEVEL: LevelFilter = LevelFilter::INFO;

/// Installs the process's tracing subscriber. Spans are log lines of level info,
/// so below it no request is traced and none costs anything.
pub(crate) fn install(
    settings: &Settings,
    counters: &Counters,
) -> Result<SdkTracerProvider, TelemetryError> {
    if settings.log.level < SPAN_LEVEL {
        install_subscriber(NoSubscriber::new())?;
        return Ok(SdkTracerProvider::builder().build());
    }
    let (ratio_percent, format) = (settings.trace.ratio_percent, settings.log.format);
    // Only a request's first span has no parent, and it is made only if it is to be traced.
    let sampler = Sampler::ParentBased(Box::new(Sampler::AlwaysOn));
    let export = Export::new(format, counters.counter(WRITTEN));
    let queue = BatchSpanProcessor::builder(export).build();
    let provider = SdkTracerProvider::builder()
        .with_sampler(sampler)
        .with_span_processor(Tally::new(queue, counters.counter(ENDED)))
        .build();
    let layer = OpenTelemetryLayer::new(provider.tracer(TRACER))
        .with_location(false)
        .with_threads(false)
        .with_target(false)
        .with_tracked_inactivity(false);
    let subscriber = Registry::default().with(layer).with(OnlyTraced);
    install_subscriber(subscriber)?;
    request::set_ratio(ratio_percent);
    Ok(provider)
}

fn install_subscriber(subscriber: impl Subscriber + Send + Sync) -> Result<(), TelemetryError> {
    let installed = tracing::subscriber::set_global_default(subscriber);
    installed.or_else(|_| AlreadyStartedSnafu.fail())
}
