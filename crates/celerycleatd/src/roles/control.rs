//! A control instance.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cleat_control::{ControlConfig, ControlNode, Metrics, PeerAddressing, PlatformClients};
use cleat_http::{ConnectionBudget, Inbound, Listener};
use cleat_jobs::{Features, SchedulerConfig};
use cleat_node::{INBOUND_SHARE, Machine, inbound_limits};
use cleat_operate::JobOperatorServer;
use cleat_platform::{ControlApi, HttpAdviser, HttpMachines, HttpWorkers, WorkerTimeouts};
use cleat_quorum::Timing;
use cleat_settings::{AnySettings, ControlSettings, OrderPath, SchedulingSettings};
use snafu::ResultExt;

use super::{Life, follow_seeds, seed_keys, serve_metrics, start_events, until_told_to_stop};
use crate::error::{ControlSnafu, DaemonError, ListenSnafu, OrdersByHeartbeatSnafu};

/// How long a voter that another has replaced may be silent before it stops
/// counting: longer than a restart, shorter than the next loss is likely.
const REPLACE_AFTER: Duration = Duration::from_secs(3);
/// How long a stopping instance passes calls on before it closes, so that
/// callers with an old list still get answers.
const LINGER: Duration = Duration::from_millis(1_500);

/// Files that are neither HTTP connections nor links: the log and snapshots, the
/// listeners, the standard streams, and those that the system keeps back for a
/// process on small machines (200).
const OWN_FILES: usize = 256;
/// The part of all files that is left for links with gateways and other control
/// instances: an eighth of 4,096 carries 500 gateways.
const LINK_SHARE: usize = 8;

/// The part of the memory that inbound connections may use beside their requests, as a divisor;
/// the state needs more.
const CONNECTIONS_SHARE: usize = 4;

const MB: u64 = 1_000_000;
/// The part of the memory that accepted jobs may take up, as a divisor.
const JOBS_SHARE: u64 = 8;

/// Runs it until it is told to stop.
pub(crate) async fn run(settings: ControlSettings, file: &Path) -> Result<(), DaemonError> {
    supported(&settings)?;
    let events = start_events()?;
    let metrics = Metrics::default();
    let budget = connection_budget(settings.max_files);
    let clients = PlatformClients {
        workers: HttpWorkers::new(WorkerTimeouts::default(), &budget),
        machines: HttpMachines::new(
            settings.machines.clone(),
            settings.name.clone(),
            budget.clone(),
        ),
        adviser: HttpAdviser::new(settings.adviser.clone(), budget.clone()),
    };
    let node = ControlNode::start(config(&settings), clients, events.clone(), metrics.clone());
    let node = node.await;
    let node = Arc::new(node.context(ControlSnafu)?);
    let listener = Listener::bind(settings.listen).await.context(ListenSnafu)?;
    let machine = Machine {
        memory_mb: settings.memory_mb,
        connections_share: CONNECTIONS_SHARE,
        connections: budget.most() / INBOUND_SHARE,
    };
    let inbound = Inbound::new(inbound_limits(settings.inbound, machine));
    let listener = listener.within(budget.clone()).sharing(&inbound);
    let side = ControlApi::new(node.clone(), settings.listen);
    let server = listener.spawn(Arc::new(side));
    let _metrics = serve_metrics(settings.metrics, &metrics, &budget, &inbound).await?;
    let operators = match settings.operators {
        None => None,
        Some(address) => {
            let listener = Listener::bind(address).await.context(ListenSnafu)?;
            let listener = listener.sharing(&inbound);
            Some(JobOperatorServer::spawn(listener, node.clone()))
        }
    };
    let name = &*settings.name;
    events.emit(&Life::started(name, "control"));
    let seeds = |changed| match changed {
        AnySettings::Control(changed) => Some(changed.seeds),
        _ => None,
    };
    let own = node.clone();
    follow_seeds(file, name, &events, seeds, move |keys| own.set_seeds(keys))?;
    until_told_to_stop().await?;
    events.emit(&Life::Stopping { name });
    node.stop_replica().await;
    tokio::time::sleep(LINGER).await;
    server.stop().await;
    if let Some(operators) = operators {
        operators.stop().await;
    }
    events.emit(&Life::Stopped { name });
    events.flush();
    Ok(())
}

/// Refuses settings that ask for what this release does not do.
pub(crate) fn supported(settings: &ControlSettings) -> Result<(), DaemonError> {
    match settings.orders {
        OrderPath::Call => Ok(()),
        OrderPath::Heartbeat => OrdersByHeartbeatSnafu.fail(),
    }
}

/// How many HTTP connections fit beside all other files.
fn connection_budget(max_files: usize) -> ConnectionBudget {
    let links = max_files / LINK_SHARE;
    let most = max_files.saturating_sub(OWN_FILES + links);
    ConnectionBudget::new(most)
}

fn config(settings: &ControlSettings) -> ControlConfig {
    let (port, _) = settings.internal_ports;
    let timing = settings.timing;
    let mut scheduler = SchedulerConfig::default();
    if let Some(lease) = timing.worker_lease_ms {
        scheduler.lease = Duration::from_millis(lease);
    }
    if let Some(remember) = timing.remember_ms {
        scheduler.ended_job_retention = Duration::from_millis(remember);
    }
    scheduler.features = features(settings.scheduling);
    ControlConfig {
        name: settings.name.clone(),
        id: PeerAddressing::member_id(settings.ip),
        listen: SocketAddr::new(settings.bind_ip.unwrap_or(settings.ip).into(), port),
        addressing: PeerAddressing { port },
        seeds: seed_keys(&settings.seeds),
        may_bootstrap: settings.first_start,
        voters: 2 * settings.losses_to_bear + 1,
        remove_silent_after: REPLACE_AFTER,
        data_folder: settings.data_folder.clone(),
        redirect_calls: settings.redirect_heartbeats,
        jobs_bytes: u64::from(settings.memory_mb) * MB / JOBS_SHARE,
        timing: Timing::fast_failover(),
        scheduler,
    }
}

fn features(settings: SchedulingSettings) -> Features {
    Features {
        admission: settings.admission,
        worker_speed: settings.worker_speed,
        speculation_percent: settings.speculation_percent,
        machine_plan: settings.machine_plan,
        carry_over_interval: Duration::from_millis(settings.carry_over_ms),
        preemption: settings.preemption,
    }
}
