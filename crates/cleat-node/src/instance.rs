//! Starting and stopping an instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use cleat_entry::{Entry, EntryConfig, Limits};
use cleat_link::PeerListener;
use cleat_log::Journal;
use cleat_maintain::HttpPlatform;
use cleat_operate::{Listener, Operators, RunningServer, Targets};
use cleat_quorum::{MemberConfig, Replica, ReplicaConfig};
use cleat_settings::Settings;
use cleat_telemetry::Counters;
use cleat_world::{BeginLife, CommandBody};
use log::{info, warn};
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;

use crate::leases::{self, LeaseWatch};
use crate::links::{LinkTransport, Links};
use crate::machine::FleetMachine;
use crate::member::Members;
use crate::node::Node;
use crate::renewals::{self, Renewals};
use crate::slots;
use crate::world::{SharedWorld, new_life};

/// The pause before a new life is announced again.
const BEGIN_LIFE_PAUSE: Duration = Duration::from_millis(100);

/// Why an instance could not start. Nothing was changed.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The data folder cannot be used: see the source for what to mend.
    #[snafu(display("the data folder {} cannot be used", folder.display()))]
    DataFolder {
        /// The folder.
        folder: PathBuf,
        /// Why.
        source: cleat_log::OpenError,
    },
    /// The listener for other instances could not be bound.
    #[snafu(display("listen.peers cannot be used"))]
    ListenPeers {
        /// Why.
        source: cleat_link::ServeError,
    },
    /// The listener for operators or targets could not be bound.
    #[snafu(display("listen.operators or listen.targets cannot be used"))]
    Listen {
        /// Why.
        source: cleat_operate::ListenError,
    },
    /// The listener for callers could not be bound.
    #[snafu(display("listen.callers cannot be used"))]
    ListenCallers {
        /// Why.
        source: cleat_entry::BindError,
    },
    /// Two instances' names have the same key in the consensus. Rename one.
    #[snafu(display("the names {first:?} and {second:?} cannot be used together; rename one"))]
    NameClash {
        /// One name.
        first: Box<str>,
        /// The other.
        second: Box<str>,
    },
    /// The replicated log could not be started from what the data folder
    /// holds.
    #[snafu(display("the replicated log cannot be started"))]
    Replica {
        /// Why.
        source: cleat_quorum::SpawnError,
    },
}

/// Where a running instance listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For targets.
    pub targets: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For the other instances.
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
    /// Starts an instance. It listens when this returns, and takes requests
    /// once it has a lease.
    ///
    /// # Errors
    /// [`StartError`]; nothing was changed then.
    pub async fn start(settings: &Settings, counters: Counters) -> Result<Instance, StartError> {
        let members = Members::of(settings).map_err(|clash| StartError::NameClash {
            first: clash.first,
            second: clash.second,
        })?;
        let peers = PeerListener::bind(settings.listen.peers).await;
        let peers = peers.context(ListenPeersSnafu)?;
        let operators = Listener::bind(settings.listen.operators).await;
        let operators = operators.context(ListenSnafu)?;
        let targets = Listener::bind(settings.listen.targets).await;
        let targets = targets.context(ListenSnafu)?;

        let entries = members.sorted_names();
        let (node, waiting) = build_node(settings, members, counters)?;
        let entry = bind_entry(settings, &node, entries).await?;
        let addresses = Addresses {
            callers: entry.local_addr(),
            targets: targets.local_addr(),
            operators: operators.local_addr(),
            peers: peers.local_addr(),
        };
        let mut tasks = vec![
            peers.serve(node.clone(), node.links.traffic().clone()),
            tokio::spawn(leases::watch(node.clone())),
            tokio::spawn(renewals::send(node.clone(), waiting)),
            tokio::spawn(begin_life(node.clone())),
            tokio::spawn(cleat_maintain::run(node.clone(), Arc::new(HttpPlatform))),
        ];
        tasks.extend(slots::spawn(&node, &entry));
        let servers = vec![
            Operators::spawn(operators, node.clone()),
            Targets::spawn(targets, node.clone()),
        ];
        Ok(Instance {
            addresses,
            node,
            entry,
            servers,
            tasks,
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops gracefully: readiness goes false at once, requests in progress
    /// finish, and the lease is given up so that nobody waits for it.
    pub async fn stop(self) {
        info!("stopping");
        self.entry.drain().await;
        for server in self.servers {
            server.stop().await;
        }
        self.node.replica.stop().await;
        for task in self.tasks {
            task.abort();
        }
        info!("stopped");
    }
}

type Waiting = tokio::sync::mpsc::Receiver<renewals::Waiting>;

fn build_node(
    settings: &Settings,
    members: Members,
    counters: Counters,
) -> Result<(Arc<Node>, Waiting), StartError> {
    let links = Arc::new(Links::spawn(&members));
    let world = Arc::new(SharedWorld::new(&settings.name));
    let replica = spawn_replica(settings, &members, &links, &world)?;
    let (renewals, waiting) = Renewals::new();
    let node = Node {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        life: new_life(),
        members,
        links,
        replica,
        world,
        leases: LeaseWatch::default(),
        renewals,
        counters,
        entry: OnceLock::new(),
        started: Instant::now(),
        life_began: OnceLock::new(),
        slots_moved: tokio::sync::Notify::new(),
    };
    Ok((Arc::new(node), waiting))
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
        members.own(),
        members.iter().map(member_config).collect(),
        rand::random(),
    );
    let transport = LinkTransport(links.clone());
    let machine = FleetMachine {
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
        limits: Limits::default(),
    };
    let entry = Entry::bind_with_counters(cfg, node.clone(), &node.counters).await;
    let entry = Arc::new(entry.context(ListenCallersSnafu)?);
    let published = Arc::downgrade(&entry);
    node.world.subscribe(Box::new(move |world| {
        if let Some(entry) = published.upgrade() {
            entry.update_routes(world);
        }
    }));
    // The first and only entry of this node.
    let _ = node.entry.set(Arc::downgrade(&entry));
    Ok(entry)
}

/// Makes this run known, which ends what earlier runs of this instance left.
async fn begin_life(node: Arc<Node>) {
    let begin = BeginLife {
        entry: node.name.clone(),
        life: node.life,
    };
    while !node.is_current_life() {
        let body = CommandBody::BeginLife(begin.clone());
        match node.propose_anywhere(body).await {
            Ok(proposed) => {
                // Only this task sets it.
                let _ = node.life_began.set(proposed.index);
                return;
            }
            Err(error) => warn!("not in the fleet yet: {error}"),
        }
        tokio::time::sleep(BEGIN_LIFE_PAUSE).await;
    }
}
