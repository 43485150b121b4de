//! Handle of a running replica.

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

/// Maximum number of requests queued for the task.
const REQUEST_QUEUE: usize = 1024;
/// Maximum number of messages queued for the task; further ones are dropped.
const MESSAGE_QUEUE: usize = 4096;

/// A command that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Position of the command in the log.
    pub index: u64,
    /// Response of the state machine.
    pub response: Box<[u8]>,
}

/// A running member of the group. Dropping it stops the member but doesn't
/// release its lease; [`stop`](Replica::stop) does.
#[derive(Debug)]
pub struct Replica {
    requests: mpsc::Sender<Request>,
    messages: mpsc::Sender<Message>,
    stop: mpsc::Sender<()>,
    status: Arc<ArcSwap<Status>>,
    applied: watch::Receiver<u64>,
}

impl Replica {
    /// Starts a member that stores its state in a journal.
    ///
    /// Must be called within a tokio runtime.
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

    /// Starts a member on a store whose content is `recovery`.
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
        let clock_origin = BootTime::now();
        let core = Core::new(cfg.core, recovery, Duration::ZERO);
        let status = Status::new(core.status(), clock_origin);
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
        tokio::spawn(Task::new(core, clock_origin, outputs).run(inputs));
        Ok(Replica {
            requests,
            messages,
            stop,
            status,
            applied,
        })
    }

    /// Appends a command and waits until it is applied on this member.
    ///
    /// # Errors
    /// See [`ProposeError`]. After `OutcomeUnknown` the command may or may not
    /// be applied; after any other error it is not.
    pub async fn propose(&self, command: Box<[u8]>) -> Result<Applied, ProposeError> {
        let (reply, response) = oneshot::channel();
        let proposal = Proposal {
            command: command.into(),
            reply,
        };
        self.send_request(Request::Propose(proposal)).await?;
        response.await.unwrap_or(Err(ProposeError::OutcomeUnknown))
    }

    /// Returns an index that covers everything committed before the call and
    /// that is applied on this member.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn read_index(&self) -> Result<u64, ProposeError> {
        let (reply, response) = oneshot::channel();
        self.send_request(Request::Read(reply)).await?;
        response.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Waits until the entry is in force: applied on every member that may
    /// serve.
    ///
    /// # Errors
    /// See [`InForceError`].
    pub async fn wait_in_force(&self, index: u64, limit: Duration) -> Result<(), InForceError> {
        let (reply, response) = oneshot::channel();
        let wait = InForceWait {
            index,
            deadline: Instant::now() + limit,
            reply,
        };
        let sent = self.requests.send(Request::InForce(wait)).await;
        sent.map_err(|_| InForceError::Stopped)?;
        response.await.unwrap_or(Err(InForceError::Stopped))
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

    /// Removes a member. Without a [`JoinConfig`](crate::JoinConfig) this is permanent:
    /// the member can rejoin only under another id. With one, it is added again if it
    /// asks to join.
    ///
    /// # Errors
    /// See [`ProposeError`]. Success means that the change was appended.
    pub async fn remove_member(&self, id: MemberId) -> Result<(), ProposeError> {
        let (reply, response) = oneshot::channel();
        self.send_request(Request::RemoveMember { id, reply })
            .await?;
        response.await.unwrap_or(Err(ProposeError::Stopped))
    }

    async fn send_request(&self, request: Request) -> Result<(), ProposeError> {
        let sent = self.requests.send(request).await;
        sent.map_err(|_| ProposeError::Stopped)
    }

    /// Delivers a message from another member. Never blocks; if the queue is
    /// full, the message is dropped, as it might be on the network.
    pub fn deliver(&self, message: Message) {
        let _ = self.messages.try_send(message);
    }

    /// Returns the state after the last step, with one atomic read.
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    /// Transfers leadership, releases the lease and stops the member. A
    /// leadership transfer takes at most one second.
    pub async fn stop(&self) {
        // A full queue means that a stop is already in progress.
        let _ = self.stop.try_send(());
        self.wait_stopped().await;
    }

    /// Waits until the member has stopped, on request or because its disk
    /// failed.
    pub async fn wait_stopped(&self) {
        self.requests.closed().await;
    }
}
