//! The running telemetry of the process.

use std::time::Duration;

use cleat_settings::Settings;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::push::Push;
use crate::{Counters, TelemetryError, logs, trace};

const PUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Logs, metrics and traces, running. Dropped without
/// [`shutdown`](Self::shutdown), the last second's numbers and spans may be lost.
#[derive(Debug)]
pub struct Telemetry {
    counters: Counters,
    tracer: SdkTracerProvider,
    stop: oneshot::Sender<()>,
    pushing: JoinHandle<()>,
}

impl Telemetry {
    /// Installs the logger and the tracing subscriber for the process and starts to send
    /// metrics. Needs a tokio runtime.
    ///
    /// # Errors
    /// See [`TelemetryError`].
    pub fn start(settings: &Settings) -> Result<Telemetry, TelemetryError> {
        let counters = Counters::default();
        let push = Push::new(counters.clone(), settings.metrics.statsd)?;
        logs::install(&settings.log)?;
        let tracer = trace::install(settings, &counters)?;
        let (stop, stopped) = oneshot::channel();
        let pushing = tokio::spawn(keep_pushing(push, stopped));
        Ok(Telemetry {
            counters,
            tracer,
            stop,
            pushing,
        })
    }

    /// The registry of numbers. Telemetry itself counts `spans.ended` and `spans.written`;
    /// spans that were ended but never written were lost to a full queue.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Sends what is left of metrics and spans and flushes the log.
    pub async fn shutdown(self) {
        // Either fails only if the task has ended already.
        let _ = self.stop.send(());
        let _ = self.pushing.await;
        let tracer = self.tracer;
        let flushed = tokio::task::spawn_blocking(move || tracer.shutdown()).await;
        if !matches!(flushed, Ok(Ok(()))) {
            log::warn!("spans were lost on shutdown: {flushed:?}");
        }
        log::logger().flush();
    }
}

async fn keep_pushing(mut push: Push, mut stopped: oneshot::Receiver<()>) {
    let mut ticks = interval(PUSH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            _ = ticks.tick() => push.send(),
        }
    }
    push.send();
}
