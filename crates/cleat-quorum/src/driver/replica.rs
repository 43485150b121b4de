//! The running handle of a replica.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use cleat_log::{Journal, Recovered};
use snafu::ResultExt;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout};

use super::clock::BootTime;
use super::config::ReplicaConfig;
use super::disk;
use super::error::{InForceError, ProposeError, SpawnError, ThreadSnafu, WaitError};
use super::request::{InForceWait, Proposal, Request};
use super::state_machine::{StateMachine, Transport};
use super::status::Status;
use super::task::{Inputs, Outputs, Task};
use crate::core::{BOOTSTRAP_INDEX, Core, HardState, MemberId, Message, Recovery};
use crate::store::{JournalStore, MemoryStore, Store, recover};

/// How many requests may wait for the task.
const REQUEST_QUEUE: usize = 1024;
/// How many messages may wait for the task; more are dropped.
const MESSAGE_QUEUE: usize = 4096;

/// A command that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Its position in the log.
    pub index: u64,
    /// The state state_machine's answer.
    pub response: Box<[u8]>,
}

/// A running member of the group. Dropping it ends the member without giving
/// up its lease; [`stop`](Replica::stop) gives it up.
#[derive(Debug)]
pub struct Replica {
    requests: mpsc::Sender<Request>,
    messages: mpsc::Sender<Message>,
    stop: mpsc::Sender<()>,
    status: Arc<ArcSwap<Status>>,
    applied: watch::Receiver<u64>,
}

impl Replica {
    /// Starts a member on the journal of its data folder.
    ///
    /// Has to be called within a tokio runtime.
    ///
    /// # Errors
    /// See [`SpawnError`].
    pub fn spawn(
        cfg: ReplicaConfig,
        disk: (Journal, Recovered),
        transport: impl Transport,
        state_machine: impl StateMachine,
    ) -> Result<Replica, SpawnError> {
        let (journal, recovered) = disk;
        let recovery = recover(recovered)?;
        Replica::spawn_with_store(
            cfg,
            recovery,
            JournalStore::new(journal),
            transport,
            state_machine,
        )
    }

    /// Starts a member without a disk: empty, under a new identity.
    ///
    /// # Errors
    /// See [`SpawnError`].
    pub fn spawn_in_memory(
        cfg: ReplicaConfig,
        transport: impl Transport,
        state_machine: impl StateMachine,
    ) -> Result<Replica, SpawnError> {
        let recovery = Recovery {
            identity: rand::random(),
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        };
        Replica::spawn_with_store(cfg, recovery, MemoryStore, transport, state_machine)
    }

    /// Starts a member on any store that holds `recovery`.
    ///
    /// # Errors
    /// See [`SpawnError`].
    pub fn spawn_with_store(
        cfg: ReplicaConfig,
        recovery: Recovery,
        store: impl Store,
        transport: impl Transport,
        mut state_machine: impl StateMachine,
    ) -> Result<Replica, SpawnError> {
        let snapshot = recovery.snapshot.as_ref();
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > BOOTSTRAP_INDEX) {
            state_machine.restore(&snapshot.data)?;
        }
        let origin = BootTime::now();
        let core = Core::new(cfg.core, recovery, Duration::ZERO);
        let status = Status::new(core.status(), origin);
        let status = Arc::new(ArcSwap::from_pointee(status));
        let (applied_tx, applied) = watch::channel(core.status().applied);
        let (requests, requests_rx) = mpsc::channel(REQUEST_QUEUE);
        let (messages, messages_rx) = mpsc::channel(MESSAGE_QUEUE);
        let (stop, stop_rx) = mpsc::channel(1);
        let (synced_tx, synced) = mpsc::unbounded_channel();
        let batches = disk::spawn(store, synced_tx).context(ThreadSnafu)?;
        let inputs = Inputs {
            requests: requests_rx,
            messages: messages_rx,
            stop: stop_rx,
            synced,
        };
        let outputs = Outputs {
            transport,
            state_machine,
            batches,
            status: status.clone(),
            applied: applied_tx,
        };
        tokio::spawn(Task::new(core, origin, outputs).run(inputs));
        Ok(Replica {
            requests,
            messages,
            stop,
            status,
            applied,
        })
    }

    /// Appends a command and waits until it is applied here.
    ///
    /// # Errors
    /// See [`ProposeError`]; only `OutcomeUnknown` leaves it open whether the
    /// command is or will be applied.
    pub async fn propose(&self, command: Box<[u8]>) -> Result<Applied, ProposeError> {
        let (reply, answer) = oneshot::channel();
        let proposal = Proposal {
            command: command.into(),
            reply,
        };
        self.ask(Request::Propose(proposal)).await?;
        answer.await.unwrap_or(Err(ProposeError::OutcomeUnknown))
    }

    /// An index that covers all that was committed before the call, and that
    /// is applied here.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn read_index(&self) -> Result<u64, ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.ask(Request::Read(reply)).await?;
        answer.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Waits until the entry is applied on every member that may serve.
    ///
    /// # Errors
    /// See [`InForceError`].
    pub async fn wait_in_force(&self, index: u64, limit: Duration) -> Result<(), InForceError> {
        let (reply, answer) = oneshot::channel();
        let wait = InForceWait {
            index,
            deadline: Instant::now() + limit,
            reply,
        };
        let sent = self.requests.send(Request::InForce(wait)).await;
        sent.map_err(|_| InForceError::Stopped)?;
        answer.await.unwrap_or(Err(InForceError::Stopped))
    }

    /// Waits until the entry is applied on this member.
    ///
    /// # Errors
    /// See [`WaitError`].
    pub async fn wait_applied(&self, index: u64, limit: Duration) -> Result<(), WaitError> {
        let mut applied = self.applied.clone();
        let reached = applied.wait_for(|applied| *applied >= index);
        match timeout(limit, reached).await {
            Err(_) => Err(WaitError::Timeout),
            Ok(Err(_)) => Err(WaitError::Stopped),
            Ok(Ok(_)) => Ok(()),
        }
    }

    /// Removes a member for good; it needs another id to come back.
    ///
    /// # Errors
    /// See [`ProposeError`]. Success means that the change is appended.
    pub async fn remove_member(&self, id: MemberId) -> Result<(), ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.ask(Request::RemoveMember { id, reply }).await?;
        answer.await.unwrap_or(Err(ProposeError::Stopped))
    }

    async fn ask(&self, request: Request) -> Result<(), ProposeError> {
        let sent = self.requests.send(request).await;
        sent.map_err(|_| ProposeError::Stopped)
    }

    /// Takes a message from another member. Never waits; a message that finds
    /// the queue full is dropped, as a network may do.
    pub fn deliver(&self, message: Message) {
        let _ = self.messages.try_send(message);
    }

    /// The state after the last step; one atomic read.
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    /// Hands the lead over, gives up the lease and ends the member. A leader
    /// takes a second at most to hand over.
    pub async fn stop(&self) {
        // A full queue means that a stop is under way already.
        let _ = self.stop.try_send(());
        self.wait_stopped().await;
    }

    /// Waits until the member has ended, by a stop or since its disk failed.
    pub async fn wait_stopped(&self) {
        self.requests.closed().await;
    }
}
