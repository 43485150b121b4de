//! A gateway.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cleat_control::{Gateway, GatewayConfig, Metrics, PeerAddressing};
use cleat_http::{ConnectionBudget, Inbound, Listener};
use cleat_node::{Machine, allowed_files, inbound_limits};
use cleat_platform::{CallerApi, Readiness, ReadinessApi};
use cleat_settings::{AnySettings, GatewaySettings};
use snafu::ResultExt;
use tokio::time::sleep;

use super::{Life, follow_seeds, seed_keys, serve_metrics, start_events, until_told_to_stop};
use crate::error::{DaemonError, ListenSnafu};

/// How often the gateway makes sure that it finds the leader.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How long it looks before it says that it is not ready: well above the wait
/// before an election (0.6 s at most) and the election itself.
const PROBE_LIMIT: Duration = Duration::from_millis(1_500);
/// How long callers are still taken after a stop was asked for. The platform
/// asks once a second and turns away after two refusals.
const LINGER: Duration = Duration::from_millis(2_500);

/// The part of the memory that connections of callers may use, as a divisor; the gateway itself
/// holds little else.
const CONNECTIONS_SHARE: usize = 2;
/// Files that are not connections of callers: the listeners, the standard streams, those that
/// the event loop needs.
const OWN_FILES: usize = 32;
/// The part of all files, as a divisor, that is left for links with control instances and for
/// those that the system keeps back on small machines (200 of 4,100).
const OTHER_FILES_SHARE: usize = 8;

/// Runs it until it is told to stop.
pub(crate) async fn run(settings: GatewaySettings, file: &Path) -> Result<(), DaemonError> {
    let events = start_events()?;
    let (port, _) = settings.internal_ports;
    let metrics = Metrics::default();
    let gateway = Arc::new(Gateway::open(GatewayConfig {
        seeds: seed_keys(&settings.seeds),
        addressing: PeerAddressing { port },
        metrics: metrics.clone(),
        events: events.clone(),
    }));
    let readiness = Readiness::default();
    let ready = Listener::bind(settings.ready).await.context(ListenSnafu)?;
    let callers = Listener::bind(settings.callers)
        .await
        .context(ListenSnafu)?;
    let machine = Machine {
        memory_mb: settings.memory_mb,
        connections_share: CONNECTIONS_SHARE,
        connections: caller_connections(settings.max_files.unwrap_or_else(allowed_files)),
    };
    let inbound = Inbound::new(inbound_limits(settings.inbound, machine));
    // Counted, not limited: `inbound` limits them.
    let budget = ConnectionBudget::unlimited();
    let callers = callers.within(budget.clone()).sharing(&inbound);
    let ready = ready
        .sharing(&inbound)
        .spawn(Arc::new(ReadinessApi(readiness.clone())));
    let side = Arc::new(CallerApi::new(gateway.clone(), readiness.clone()));
    let callers = callers.spawn(side.clone());
    let _metrics = serve_metrics(settings.metrics, &metrics, &budget, &inbound).await?;
    let name = &*settings.name;
    events.emit(&Life::started(name, "gateway"));
    let seeds = |changed| match changed {
        AnySettings::Gateway(changed) => Some(changed.seeds),
        _ => None,
    };
    let own = gateway.clone();
    follow_seeds(file, name, &events, seeds, move |keys| own.set_seeds(keys))?;
    let probing = tokio::spawn(probe(gateway, readiness));
    until_told_to_stop().await?;
    events.emit(&Life::Stopping { name });
    // It would set the readiness again.
    probing.abort();
    side.begin_shutdown();
    sleep(LINGER).await;
    callers.stop().await;
    ready.stop().await;
    events.emit(&Life::Stopped { name });
    events.flush();
    Ok(())
}

/// How many connections of callers fit beside all other files.
fn caller_connections(max_files: usize) -> usize {
    max_files.saturating_sub(OWN_FILES + max_files / OTHER_FILES_SHARE)
}

/// Keeps the readiness true while a leader is found.
async fn probe(gateway: Arc<Gateway>, readiness: Readiness) {
    loop {
        let found = gateway.reaches_leader(PROBE_LIMIT).await;
        if readiness.get() != found {
            log::info!("ready: {found}");
        }
        readiness.set(found);
        sleep(PROBE_INTERVAL).await;
    }
}
