//! A control instance.

mod answer;
mod config;
mod disk;

pub use config::ControlConfig;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cleat_jobs::Scheduler;
use cleat_link::{
    AskError, ControlCall, ControlError, ControlHandler, ControlReply, LinkTraffic, PeerListener,
};
use cleat_operate::JobControl;
use cleat_quorum::{BootTime, JoinConfig, MemberConfig, MemberId, Message, Replica, ReplicaConfig};
use cleat_telemetry::EventLog;
use snafu::ResultExt;
use tokio::task::JoinHandle;

use crate::error::ListenSnafu;
use crate::leader::Gateway;
use crate::links::Links;
use crate::machine::SharedState;
use crate::{
    AdviceClient, MachineClient, Metrics, PlatformClients, StartError, WorkerClient, owner,
};

/// What the parts of a control instance share.
pub(crate) struct Shared {
    pub(crate) id: MemberId,
    pub(crate) voters: usize,
    /// Another one after the disk had failed.
    replica: ArcSwap<Replica>,
    stopping: AtomicBool,
    pub(crate) state: Arc<SharedState>,
    /// The owner's decisions, while this instance leads.
    pub(crate) scheduler: Mutex<Option<Scheduler>>,
    pub(crate) events: EventLog,
    pub(crate) metrics: Metrics,
}

impl Shared {
    pub(crate) fn replica(&self) -> Arc<Replica> {
        self.replica.load_full()
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether this instance leads and no other can.
    pub(crate) fn leads(&self) -> bool {
        self.replica().status().holds_leader_lease(BootTime::now())
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
        let traffic = Arc::new(LinkTraffic::default());
        let links = Arc::new(Links::new(cfg.address, traffic.clone()));
        let state = Arc::new(SharedState::default());
        let replica = disk::open_replica(&cfg, &links, &state)?;
        let shared = Arc::new(Shared {
            id: cfg.id,
            voters: cfg.voters,
            replica: ArcSwap::from_pointee(replica),
            stopping: AtomicBool::new(false),
            state,
            scheduler: Mutex::new(None),
            events: events.clone(),
            metrics: metrics.clone(),
        });
        let owner = owner::spawn(shared.clone(), cfg.scheduler, clients);
        let handler = Arc::new(PeerSide(shared.clone()));
        let serving = listener.serve_control(handler, traffic);
        let others = Gateway::over(links.clone(), cfg.seeds.clone(), metrics, events);
        let reopening = tokio::spawn(disk::reopen_failed(shared.clone(), cfg, links));
        Ok(ControlNode {
            shared,
            others,
            tasks: vec![owner, serving, reopening],
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
        self.shared.replica().status().leader()
    }

    /// Whether this instance leads and no other can.
    pub fn leads(&self) -> bool {
        self.shared.leads()
    }

    /// Replaces the instances that are asked when no leader is known.
    pub fn set_seeds(&self, seeds: Vec<MemberId>) {
        self.others.set_seeds(seeds);
    }

    /// Hands the lead over, if it is here, and leaves the group's work. Calls
    /// are still passed on.
    pub async fn hand_over(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.replica().stop().await;
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
    let join = JoinConfig {
        may_bootstrap: cfg.may_found,
        target_voters: cfg.voters,
        extra_voter_timeout: cfg.replace_after,
    };
    ReplicaConfig::new(cfg.id, seeds, rand::random())
        .with_timing(cfg.timing)
        .with_join_config(join)
}

/// What other instances may ask.
struct PeerSide(Arc<Shared>);

impl ControlHandler for PeerSide {
    fn deliver(&self, messages: Vec<Message>) {
        let replica = self.0.replica();
        for message in messages {
            replica.deliver(message);
        }
    }

    async fn ask(&self, call: ControlCall) -> Result<ControlReply, ControlError> {
        self.0.answer(call).await
    }
}
