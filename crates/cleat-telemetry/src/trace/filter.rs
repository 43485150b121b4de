//! Which spans are made at all.

use tracing::level_filters::LevelFilter;
use tracing::subscriber::Interest;
use tracing::{Metadata, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::Context;
use tracing_subscriber::registry::LookupSpan;

use super::LEVEL;
use super::request::REQUEST;

/// Our crates, and the calls between instances.
const TARGETS: [&str; 3] = ["cleat", "celerycleat", "tarpc"];
/// A call that arrives from another instance is the first span here;
/// what its caller decided is followed by the sampler.
const CALL_TARGET: &str = "tarpc::server";

/// Lets through the start of a request or of a call from another instance,
/// and what happens within one. No events.
#[derive(Debug)]
pub(super) struct OnlyTraced;

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for OnlyTraced {
    fn register_callsite(&self, metadata: &'static Metadata<'static>) -> Interest {
        if !metadata.is_span() || !is_ours(metadata.target()) {
            Interest::never()
        } else if is_start(metadata) {
            Interest::always()
        } else {
            Interest::sometimes()
        }
    }

    fn enabled(&self, metadata: &Metadata<'_>, cx: Context<'_, S>) -> bool {
        is_start(metadata) || cx.current_span().id().is_some()
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LEVEL)
    }
}

fn is_ours(target: &str) -> bool {
    TARGETS.iter().any(|prefix| target.starts_with(prefix))
}

fn is_start(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with(CALL_TARGET) || metadata.name() == REQUEST
}
