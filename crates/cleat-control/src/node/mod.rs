//! A control instance: a replica of the group, and the owner task while it leads.

mod answer;
mod config;
mod disk_recovery;
mod group_contact;
mod job_memory;
#[cfg(test)]
mod job_memory_tests;
mod redirect;

pub use config::ControlConfig;
pub use redirect::ForwardError;

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

use crate::departures::Departures;
use crate::error::ListenSnafu;
use crate::gateway::Gateway;
use crate::links::Links;
use crate::state_machine::SharedState;
use crate::{
    AdviceClient, MachineClient, Metrics, PlatformClients, StartError, WorkerClient, owner,
};

use job_memory::JobMemory;
use redirect::Redirector;

/// The state shared by the tasks of a control instance.
pub(crate) struct Shared {
    pub(crate) id: MemberId,
    /// The number of voters that the group must have before the first takeover of the
    /// workers.
    pub(crate) voters: usize,
    /// Replaced by a new replica after a disk failure.
    replica: ArcSwap<Replica>,
    stopping: AtomicBool,
    pub(crate) state: Arc<SharedState>,
    /// The scheduler of the owner task; `None` while this instance does not lead.
    pub(crate) scheduler: Mutex<Option<Scheduler>>,
    /// Whether the scheduler decides which submitted jobs are accepted.
    pub(crate) admission: bool,
    /// The memory of the jobs that this instance accepts as the leader.
    pub(crate) job_memory: Mutex<JobMemory>,
    pub(crate) departures: Departures,
    pub(crate) events: EventLog,
    pub(crate) metrics: Metrics,
    /// `None` if calls are not redirected.
    redirector: Option<Redirector>,
}

impl Shared {
    pub(crate) fn replica(&self) -> Arc<Replica> {
        self.replica.load_full()
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether this instance leads and its lease excludes any other leader.
    pub(crate) fn leads(&self) -> bool {
        self.replica().status().holds_leader_lease(BootTime::now())
    }

    pub(crate) fn with_scheduler<T>(&self, read: impl FnOnce(&Scheduler) -> T) -> Option<T> {
        let scheduler = self
            .scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        scheduler.as_ref().map(read)
    }
}

/// A running control instance.
pub struct ControlNode {
    shared: Arc<Shared>,
    gateway: Gateway,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlNode {
    /// Opens the data folder, listens for other instances, and joins the group. Must
    /// be called within a tokio runtime.
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
        let links = Arc::new(Links::new(cfg.addressing, traffic.clone()));
        let state = Arc::new(SharedState::default());
        let replica = disk_recovery::open_replica(&cfg, &links, &state)?;
        let shared = Arc::new(Shared {
            id: cfg.id,
            voters: cfg.voters,
            replica: ArcSwap::from_pointee(replica),
            stopping: AtomicBool::new(false),
            state,
            scheduler: Mutex::new(None),
            admission: cfg.scheduler.features.admission,
            job_memory: Mutex::new(JobMemory::new(cfg.jobs_bytes)),
            departures: Departures::default(),
            events: events.clone(),
            metrics: metrics.clone(),
            redirector: cfg.redirect_calls.then(|| Redirector::new(&cfg)),
        });
        let owner = owner::spawn(shared.clone(), cfg.scheduler, clients);
        let handler = Arc::new(PeerHandler(shared.clone()));
        let serving = listener.serve_control(handler, traffic);
        let gateway = Gateway::with_links(links.clone(), cfg.seeds.clone(), metrics, events);
        let reopening = tokio::spawn(disk_recovery::reopen_after_disk_failure(
            shared.clone(),
            cfg,
            links,
        ));
        Ok(ControlNode {
            shared,
            gateway,
            tasks: vec![owner, serving, reopening],
        })
    }

    /// Handles a call if this instance leads; otherwise forwards it to the leader.
    ///
    /// # Errors
    /// See [`AskError`].
    pub async fn ask(
        &self,
        call: ControlCall,
        timeout: Duration,
    ) -> Result<ControlReply, AskError> {
        if self.shared.leads() {
            match self.shared.answer(call.clone()).await {
                Ok(reply) => return Ok(reply),
                Err(ControlError::OutcomeUnknown) => return Err(AskError::Unknown),
                Err(source @ ControlError::TooLarge) => return Err(AskError::Refused { source }),
                // This instance just lost the leadership or the majority, or is stopping,
                // and did nothing for the call, so the gateway may send it again.
                Err(_) => {}
            }
        }
        self.gateway.set_leader_hint(self.leader());
        self.gateway.ask(call, timeout).await
    }

    /// The leader that the local replica knows, if any.
    pub fn leader(&self) -> Option<MemberId> {
        self.shared.replica().status().leader()
    }

    /// Whether this instance leads and its lease excludes any other leader.
    pub fn leads(&self) -> bool {
        self.shared.leads()
    }

    /// Replaces the control instances to call while the leader is unknown.
    pub fn set_seeds(&self, seeds: Vec<MemberId>) {
        self.gateway.set_seeds(seeds);
    }

    /// Stops the replica; if this instance leads, the leadership is transferred
    /// first. Calls are still forwarded to the leader.
    pub async fn stop_replica(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.replica().stop().await;
    }
}

impl JobControl for ControlNode {
    async fn ask(&self, call: ControlCall, timeout: Duration) -> Result<ControlReply, AskError> {
        ControlNode::ask(self, call, timeout).await
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
        may_bootstrap: cfg.may_bootstrap,
        target_voters: cfg.voters,
        remove_silent_after: cfg.remove_silent_after,
    };
    // The random seed must differ between incarnations: the number of the incarnation
    // and the election delays are derived from it.
    ReplicaConfig::new(cfg.id, seeds, rand::random())
        .with_timing(cfg.timing)
        .with_join_config(join)
}

/// Handles the messages and calls of other instances.
struct PeerHandler(Arc<Shared>);

impl ControlHandler for PeerHandler {
    fn deliver(&self, messages: Vec<Message>) {
        if let Some(redirector) = &self.0.redirector {
            redirector.record_messages(&messages);
        }
        let replica = self.0.replica();
        for message in messages {
            replica.deliver(message);
        }
    }

    async fn ask(&self, call: ControlCall) -> Result<ControlReply, ControlError> {
        self.0.answer(call).await
    }
}
