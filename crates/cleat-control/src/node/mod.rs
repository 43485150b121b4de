//! A control instance.

mod answer;
mod config;

pub use config::ControlConfig;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cleat_jobs::Scheduler;
use cleat_link::{
    AskError, ControlCall, ControlError, ControlHandler, ControlReply, LinkTraffic, PeerListener,
};
use cleat_log::Journal;
use cleat_operate::JobControl;
use cleat_quorum::{BootTime, Joining, MemberConfig, MemberId, Message, Replica, ReplicaConfig};
use cleat_telemetry::EventLog;
use snafu::ResultExt;
use tokio::task::JoinHandle;

use crate::error::{DataFolderSnafu, ListenSnafu, ReplicaSnafu};
use crate::leader::Gateway;
use crate::links::{LinkTransport, Links};
use crate::machine::{JobsMachine, SharedState};
use crate::{
    AdviceClient, MachineClient, Metrics, PlatformClients, StartError, WorkerClient, owner,
};

/// What the parts of a control instance share.
pub(crate) struct Shared {
    pub(crate) id: MemberId,
    pub(crate) voters: usize,
    pub(crate) replica: Replica,
    pub(crate) state: Arc<SharedState>,
    /// The owner's decisions, while this instance leads.
    pub(crate) scheduler: Mutex<Option<Scheduler>>,
    pub(crate) events: EventLog,
    pub(crate) metrics: Metrics,
}

impl Shared {
    /// Whether this instance leads and no other can.
    pub(crate) fn leads(&self) -> bool {
        self.replica.status().leads(BootTime::now())
    }

    pub(crate) fn with_scheduler<T>(&self, look: impl FnOnce(&Scheduler) -> T) -> Option<T> {
        let scheduler = self
            .scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        scheduler.as_ref().map(look)
    }
}

/// A running control instance.
pub struct ControlNode {
    shared: Arc<Shared>,
    others: Gateway,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlNode {
    /// Opens the data folder, listens for other instances, and takes part in
    /// the group. Needs a tokio runtime.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start(
        cfg: ControlConfig,
        clients: PlatformClients<impl WorkerClient, impl MachineClient, impl AdviceClient>,
        events: EventLog,
        metrics: Metrics,
    ) -> Result<ControlNode, StartError> {
        let listener = PeerListener::bind(cfg.listen).await.context(ListenSnafu)?;
        let disk = Journal::open(&cfg.data_folder, &cfg.name).context(DataFolderSnafu)?;
        let traffic = Arc::new(LinkTraffic::default());
        let links = Arc::new(Links::new(cfg.address, traffic.clone()));
        let state = Arc::new(SharedState::default());
        let transport = LinkTransport(links.clone());
        let machine = JobsMachine(state.clone());
        let replica = Replica::spawn(replica_config(&cfg), disk, transport, machine);
        let shared = Arc::new(Shared {
            id: cfg.id,
            voters: cfg.voters,
            replica: replica.context(ReplicaSnafu)?,
            state,
            scheduler: Mutex::new(None),
            events: events.clone(),
            metrics: metrics.clone(),
        });
        let owner = owner::spawn(shared.clone(), cfg.scheduler, clients);
        let handler = Arc::new(PeerSide(shared.clone()));
        let serving = listener.serve_control(handler, traffic);
        Ok(ControlNode {
            shared,
            others: Gateway::over(links, cfg.seeds, metrics, events),
            tasks: vec![owner, serving],
        })
    }

    /// Answers a call here if this instance leads, else asks the leader.
    ///
    /// # Errors
    /// See [`AskError`].
    pub async fn ask(&self, call: ControlCall, limit: Duration) -> Result<ControlReply, AskError> {
        if self.shared.leads() {
            match self.shared.answer(call.clone()).await {
                Ok(reply) => return Ok(reply),
                Err(ControlError::OutcomeUnknown) => return Err(AskError::Unknown),
                Err(source @ ControlError::TooLarge) => return Err(AskError::Refused { source }),
                Err(_) => {}
            }
        }
        self.others.expect_leader(self.leader());
        self.others.ask(call, limit).await
    }

    /// The leader as far as this instance knows.
    pub fn leader(&self) -> Option<MemberId> {
        self.shared.replica.status().leader()
    }

    /// Whether this instance leads and no other can.
    pub fn leads(&self) -> bool {
        self.shared.leads()
    }

    /// Replaces the instances that are asked when no leader is known.
    pub fn set_seeds(&self, seeds: Vec<MemberId>) {
        self.others.set_seeds(seeds);
    }

    /// Waits until the replica has ended: by a stop, or since its disk failed.
    pub async fn ended(&self) {
        self.shared.replica.ended().await;
    }

    /// Hands the lead over, if it is here, and leaves the group's work. Calls
    /// are still passed on.
    pub async fn hand_over(&self) {
        self.shared.replica.stop().await;
    }
}

impl JobControl for ControlNode {
    async fn ask(&self, call: ControlCall, limit: Duration) -> Result<ControlReply, AskError> {
        ControlNode::ask(self, call, limit).await
    }
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn replica_config(cfg: &ControlConfig) -> ReplicaConfig {
    let seed = |id: &MemberId| MemberConfig {
        id: *id,
        votes: true,
    };
    let seeds = cfg.seeds.iter().map(seed).collect();
    let joining = Joining {
        may_found: cfg.may_found,
        voters: cfg.voters,
        silence: cfg.replace_after,
    };
    ReplicaConfig::new(cfg.id, seeds, rand::random())
        .with_timing(cfg.timing)
        .with_joining(joining)
}

/// What other instances may ask.
struct PeerSide(Arc<Shared>);

impl ControlHandler for PeerSide {
    fn deliver(&self, messages: Vec<Message>) {
        for message in messages {
            self.0.replica.deliver(message);
        }
    }

    async fn ask(&self, call: ControlCall) -> Result<ControlReply, ControlError> {
        self.0.answer(call).await
    }
}
