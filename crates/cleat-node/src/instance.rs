//! Starting and stopping an instance.
//!
//! An instance is one process of this system: an entry instance with its replica. Each
//! run of the process is an incarnation; its number is `life` in this crate, and
//! `incarnation` in commands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use cleat_entry::{Entry, EntryConfig, Limits};
use cleat_link::PeerListener;
use cleat_log::Journal;
use cleat_maintain::HttpPlatform;
use cleat_operate::{Listener, OperatorServer, RunningServer, TargetServer};
use cleat_quorum::{MemberConfig, Replica, ReplicaConfig};
use cleat_settings::Settings;
use cleat_telemetry::Counters;
use cleat_world::{BeginIncarnation, CommandBody};
use log::{info, warn};
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;

use crate::inbound::{INBOUND_SHARE, Machine, allowed_files, inbound_limits};
use crate::leases::{self, LeaseMonitor};
use crate::links::{LinkTransport, Links};
use crate::member::Members;
use crate::node::Node;
use crate::renewals::{self, RenewalQueue};
use crate::slots;
use crate::state_machine::FleetStateMachine;
use crate::world::{SharedWorld, new_life};

/// The delay before the announcement of a new life is retried.
const BEGIN_LIFE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why an instance could not start. Nothing was changed.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The data folder can't be opened; the source says what to correct.
    #[snafu(display("the data folder {} cannot be used", folder.display()))]
    DataFolder {
        /// The folder.
        folder: PathBuf,
        /// The cause.
        source: cleat_log::OpenError,
    },
    /// The listener for other instances could not be bound.
    #[snafu(display("listen.peers cannot be used"))]
    ListenPeers {
        /// The cause.
        source: cleat_link::ServeError,
    },
    /// The listener for operators or targets could not be bound.
    #[snafu(display("listen.operators or listen.targets cannot be used"))]
    Listen {
        /// The cause.
        source: cleat_operate::ListenError,
    },
    /// The listener for callers could not be bound.
    #[snafu(display("listen.callers cannot be used"))]
    ListenCallers {
        /// The cause.
        source: cleat_entry::BindError,
    },
    /// The names of two instances hash to the same member ID. Rename one of them.
    #[snafu(display(
        "the instance names {first:?} and {second:?} have the same member ID; rename one"
    ))]
    NameCollision {
        /// One of the names.
        first: Box<str>,
        /// The other name.
        second: Box<str>,
    },
    /// The replica could not be restored from the content of the data folder.
    #[snafu(display("the replicated log cannot be started"))]
    Replica {
        /// The cause.
        source: cleat_quorum::SpawnError,
    },
}

/// The addresses on which a running instance listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for targets.
    pub targets: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
}

/// A running instance.
pub struct Instance {
    addresses: Addresses,
    node: Arc<Node>,
    entry: Arc<Entry<Node>>,
    servers: Vec<RunningServer>,
    tasks: Vec<JoinHandle<()>>,
}

impl Instance {
    /// Starts an instance. It listens when this returns, and accepts requests
    /// once it holds a member lease and the fleet knows its incarnation.
    ///
    /// # Errors
    /// See [`StartError`]; nothing was changed then.
    pub async fn start(settings: &Settings, counters: Counters) -> Result<Instance, StartError> {
        let members =
            Members::from_settings(settings).map_err(|collision| StartError::NameCollision {
                first: collision.first,
                second: collision.second,
            })?;
        let peers = PeerListener::bind(settings.listen.peers).await;
        let peers = peers.context(ListenPeersSnafu)?;
        let operators = Listener::bind(settings.listen.operators).await;
        let operators = operators.context(ListenSnafu)?;
        let targets = Listener::bind(settings.listen.targets).await;
        let targets = targets.context(ListenSnafu)?;

        let entry_names = members.sorted_names();
        let (node, pending_renewals) = build_node(settings, members, counters)?;
        let entry = bind_entry(settings, &node, entry_names).await?;
        let addresses = Addresses {
            callers: entry.local_addr(),
            targets: targets.local_addr(),
            operators: operators.local_addr(),
            peers: peers.local_addr(),
        };
        let mut tasks = vec![
            peers.serve(node.clone(), node.links.traffic().clone()),
            tokio::spawn(leases::withdraw_lapsed_targets(node.clone())),
            tokio::spawn(renewals::send_batches(node.clone(), pending_renewals)),
            tokio::spawn(begin_life(node.clone())),
            tokio::spawn(cleat_maintain::run(node.clone(), Arc::new(HttpPlatform))),
        ];
        tasks.extend(slots::spawn(&node, &entry));
        let servers = vec![
            OperatorServer::spawn(operators.sharing(entry.inbound()), node.clone()),
            TargetServer::spawn(targets.sharing(entry.inbound()), node.clone()),
        ];
        Ok(Instance {
            addresses,
            node,
            entry,
            servers,
            tasks,
        })
    }

    /// The addresses on which the instance listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops gracefully: the instance stops being ready immediately, requests in
    /// progress complete, and the lease is released so that no other instance has
    /// to wait for its expiry.
    pub async fn stop(self) {
        info!("instance is stopping");
        self.entry.drain().await;
        for server in self.servers {
            server.stop().await;
        }
        self.node.replica.stop().await;
        for task in self.tasks {
            task.abort();
        }
        info!("instance has stopped");
    }
}

/// The part of the memory that inbound connections may use beside their requests, as a divisor.
const CONNECTIONS_SHARE: usize = 2;

type PendingRenewals = tokio::sync::mpsc::Receiver<renewals::PendingRenewal>;

fn build_node(
    settings: &Settings,
    members: Members,
    counters: Counters,
) -> Result<(Arc<Node>, PendingRenewals), StartError> {
    let links = Arc::new(Links::spawn(&members));
    let world = Arc::new(SharedWorld::new(&settings.name));
    let replica = spawn_replica(settings, &members, &links, &world)?;
    let (renewals, pending_renewals) = RenewalQueue::new();
    let node = Node {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        life: new_life(),
        members,
        links,
        replica,
        world,
        leases: LeaseMonitor::default(),
        renewals,
        counters,
        entry: OnceLock::new(),
        started_at: Instant::now(),
        life_began: OnceLock::new(),
        slots_changed: tokio::sync::Notify::new(),
    };
    Ok((Arc::new(node), pending_renewals))
}

fn spawn_replica(
    settings: &Settings,
    members: &Members,
    links: &Arc<Links>,
    world: &Arc<SharedWorld>,
) -> Result<Replica, StartError> {
    let member_config = |(id, info): (_, &crate::member::MemberInfo)| MemberConfig {
        id,
        votes: info.votes,
    };
    let cfg = ReplicaConfig::new(
        members.own_id(),
        members.iter().map(member_config).collect(),
        // The random seed must differ between incarnations.
        rand::random(),
    );
    let transport = LinkTransport(links.clone());
    let machine = FleetStateMachine {
        world: world.clone(),
    };
    let Some(folder) = &settings.data_folder else {
        let replica = Replica::spawn_in_memory(cfg, transport, machine);
        return replica.context(ReplicaSnafu);
    };
    let opened = Journal::open(folder, &settings.name);
    let (journal, recovered) = opened.context(DataFolderSnafu { folder })?;
    let replica = Replica::spawn(cfg, (journal, recovered), transport, machine);
    replica.context(ReplicaSnafu)
}

/// Callers have half of the descriptors, and as much of the memory as at a gateway.
fn limits(settings: &Settings) -> Limits {
    let machine = Machine {
        memory_mb: settings.memory_mb,
        connections_share: CONNECTIONS_SHARE,
        connections: allowed_files() / INBOUND_SHARE,
    };
    let inbound = inbound_limits(settings.inbound, machine);
    Limits {
        request_memory_bytes: inbound.bytes,
        inbound,
        ..Limits::default()
    }
}

async fn bind_entry(
    settings: &Settings,
    node: &Arc<Node>,
    entries: Vec<Box<str>>,
) -> Result<Arc<Entry<Node>>, StartError> {
    let cfg = EntryConfig {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: node.life,
        listen: settings.listen.callers,
        entries,
        seed: rand::random(),
        limits: limits(settings),
    };
    let entry = Entry::bind_with_counters(cfg, node.clone(), &node.counters).await;
    let entry = Arc::new(entry.context(ListenCallersSnafu)?);
    // Weak, because the entry holds the node, whose world keeps the closure.
    let published = Arc::downgrade(&entry);
    node.world.subscribe(Box::new(move |world| {
        if let Some(entry) = published.upgrade() {
            entry.update_routes(world);
        }
    }));
    // Can't fail: the entry of a node is set only here.
    let _ = node.entry.set(Arc::downgrade(&entry));
    Ok(entry)
}

/// Announces this incarnation to the fleet by a command in the replicated log, which
/// ends the claims of idempotency keys that earlier incarnations left behind.
async fn begin_life(node: Arc<Node>) {
    let begin = BeginIncarnation {
        entry: node.name.clone(),
        incarnation: node.life,
    };
    while !node.is_current_life() {
        let body = CommandBody::BeginIncarnation(begin.clone());
        match node.propose_to_leader(body).await {
            Ok(proposed) => {
                // Can't fail: only this task sets it.
                let _ = node.life_began.set(proposed.index);
                return;
            }
            Err(error) => warn!("could not announce this instance to the fleet; retrying: {error}"),
        }
        tokio::time::sleep(BEGIN_LIFE_RETRY_DELAY).await;
    }
}
