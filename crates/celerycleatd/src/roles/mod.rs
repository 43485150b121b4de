//! Running a control instance or a gateway.

mod control;
mod gateway;
mod metrics;
mod watch;

pub(crate) use control::{run as run_control, supported};
pub(crate) use gateway::run as run_gateway;

use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;

use cleat_control::{Metrics, PeerAddressing};
use cleat_http::{ConnectionBudget, Inbound, Listener, RunningServer};
use cleat_quorum::MemberId;
use cleat_settings::AnySettings;
use cleat_telemetry::{EventLog, install_logs};
use log::LevelFilter;
use serde::Serialize;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::{DaemonError, ListenSnafu, ProcessSnafu, TelemetrySnafu};
use metrics::MetricsSide;

/// A change of the process's own life.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Life<'a> {
    /// It listens.
    Started {
        name: &'a str,
        role: &'a str,
        version: &'static str,
    },
    /// It was told to stop.
    Stopping { name: &'a str },
    /// It ends.
    Stopped { name: &'a str },
    /// Its settings changed.
    Reloaded { name: &'a str, seeds: usize },
}

impl<'a> Life<'a> {
    fn started(name: &'a str, role: &'a str) -> Life<'a> {
        Life::Started {
            name,
            role,
            version: env!("CARGO_PKG_VERSION"),
        }
    }
}

/// Takes the seeds over whenever the settings file changes. `seeds` gives
/// those of settings of this process's own role, and `set` takes their keys.
fn follow_seeds(
    file: &Path,
    name: &str,
    events: &EventLog,
    seeds: fn(AnySettings) -> Option<Vec<SocketAddrV4>>,
    set: impl Fn(Vec<MemberId>) + Send + 'static,
) -> Result<(), DaemonError> {
    let (events, name): (EventLog, Box<str>) = (events.clone(), name.into());
    watch::spawn(file.to_owned(), move |changed| {
        let Some(seeds) = seeds(changed) else {
            return;
        };
        let keys = seed_keys(&seeds);
        events.emit(&Life::Reloaded {
            name: &name,
            seeds: keys.len(),
        });
        set(keys);
    })
}

fn start_events() -> Result<EventLog, DaemonError> {
    let events = EventLog::spawn().context(ProcessSnafu)?;
    install_logs(&events, LevelFilter::Info).context(TelemetrySnafu)?;
    Ok(events)
}

/// Serves metrics, if the settings name an address.
async fn serve_metrics(
    address: Option<SocketAddr>,
    metrics: &Metrics,
    budget: &ConnectionBudget,
    inbound: &Inbound,
) -> Result<Option<RunningServer>, DaemonError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let listener = Listener::bind(address).await.context(ListenSnafu)?;
    let listener = listener.sharing(inbound);
    let side = MetricsSide {
        metrics: metrics.clone(),
        budget: budget.clone(),
        inbound: inbound.clone(),
    };
    Ok(Some(listener.spawn(Arc::new(side))))
}

/// The keys of the seeds.
fn seed_keys(seeds: &[SocketAddrV4]) -> Vec<MemberId> {
    seeds
        .iter()
        .map(|seed| PeerAddressing::member_id(*seed.ip()))
        .collect()
}

/// Waits for SIGTERM or SIGINT.
async fn until_told_to_stop() -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).context(ProcessSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(ProcessSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
