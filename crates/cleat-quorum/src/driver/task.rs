//! The task that owns the core.

use std::sync::{Arc, mpsc as std_mpsc};
use std::time::Duration;

use arc_swap::ArcSwap;
use log::{error, info, warn};
use snafu::Snafu;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::clock::BootTime;
use super::disk::Batch;
use super::error::ProposeError;
use super::request::{Proposal, Reply, Request};
use super::state_machine::{RestoreError, StateMachine, Transport};
use super::status::Status;
use super::waiters::Waiters;
use crate::core::{Core, Effect, Event, Message, Rejection, Role, SyncId, Write};
use crate::store::StoreError;

/// Maximum number of requests handled in one step.
const MAX_REQUESTS_PER_STEP: usize = 256;
/// Maximum time that a stop waits for the next leader.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of messages handled before the task polls its other inputs.
const MAX_MESSAGES_PER_TURN: usize = 64;

/// Inputs of the task.
pub(crate) struct Inputs {
    pub(crate) requests: Receiver<Request>,
    pub(crate) messages: Receiver<Message>,
    pub(crate) stop: Receiver<()>,
    pub(crate) synced: UnboundedReceiver<Result<SyncId, StoreError>>,
}

/// Outputs of the task.
pub(crate) struct Outputs<T, M> {
    pub(crate) transport: T,
    pub(crate) state_machine: M,
    pub(crate) batches: std_mpsc::Sender<Batch>,
    pub(crate) status: Arc<ArcSwap<Status>>,
    pub(crate) applied: watch::Sender<u64>,
}

/// Reason why the task must end.
#[derive(Debug, Snafu)]
enum Failure {
    #[snafu(context(false), display("{source}"))]
    Disk { source: StoreError },
    #[snafu(display("the disk thread exited unexpectedly"))]
    DiskThreadEnded,
    #[snafu(context(false), display("{source}"))]
    Restore { source: RestoreError },
}

pub(crate) struct Task<T, M> {
    core: Core,
    clock_origin: BootTime,
    outputs: Outputs<T, M>,
    writes: Vec<Write>,
    waiters: Waiters,
    /// Proposals of the current step.
    proposals: Vec<Proposal>,
    removal: Option<Reply<(), ProposeError>>,
    role: Role,
    /// Time by which a stop must end; `None` unless a stop is in progress.
    stop_deadline: Option<Instant>,
}

impl<T: Transport, M: StateMachine> Task<T, M> {
    pub(crate) fn new(core: Core, clock_origin: BootTime, outputs: Outputs<T, M>) -> Task<T, M> {
        Task {
            role: core.role(),
            core,
            clock_origin,
            outputs,
            writes: Vec::new(),
            waiters: Waiters::default(),
            proposals: Vec::new(),
            removal: None,
            stop_deadline: None,
        }
    }

    pub(crate) async fn run(mut self, mut inputs: Inputs) {
        if let Err(failure) = self.run_until_stopped(&mut inputs).await {
            error!("replica stopped after a failure: {failure}");
        }
        let last = self.outputs.status.load().stopped();
        self.outputs.status.store(Arc::new(last));
        self.waiters.reject_all();
        inputs.requests.close();
        while let Ok(request) = inputs.requests.try_recv() {
            reject_stopped(request);
        }
    }

    async fn run_until_stopped(&mut self, inputs: &mut Inputs) -> Result<(), Failure> {
        let mut requests = Vec::with_capacity(MAX_REQUESTS_PER_STEP);
        let mut messages = Vec::with_capacity(MAX_MESSAGES_PER_TURN);
        loop {
            let deadline = self.deadline();
            tokio::select! {
                _ = inputs.stop.recv(), if self.stop_deadline.is_none() => self.begin_stop()?,
                synced = inputs.synced.recv() => {
                    let sync_id = synced.ok_or(Failure::DiskThreadEnded)??;
                    self.step(Event::Synced(sync_id))?;
                }
                count = inputs.messages.recv_many(&mut messages, MAX_MESSAGES_PER_TURN) => {
                    if count == 0 {
                        return Ok(());
                    }
                    for message in messages.drain(..) {
                        self.step(Event::Receive(message))?;
                    }
                }
                count = inputs.requests.recv_many(&mut requests, MAX_REQUESTS_PER_STEP), if self.core.can_accept_proposals() => {
                    if count == 0 {
                        return Ok(());
                    }
                    self.handle_requests(requests.drain(..))?;
                }
                () = sleep_until(deadline) => self.step(Event::Tick)?,
            }
            let now = Instant::now();
            let core_now = BootTime::now() - self.clock_origin;
            self.waiters.check_in_force(&self.core, core_now, now);
            if self
                .stop_deadline
                .is_some_and(|limit| self.can_stop(limit, now))
            {
                return self.step(Event::ReleaseLease);
            }
        }
    }

    fn deadline(&self) -> Instant {
        let core_now = BootTime::now() - self.clock_origin;
        let core = Instant::now() + self.core.deadline().saturating_sub(core_now);
        let others = [self.waiters.deadline(), self.stop_deadline];
        others.into_iter().flatten().fold(core, Instant::min)
    }

    /// Starts a stop. A leader first transfers leadership.
    fn begin_stop(&mut self) -> Result<(), Failure> {
        self.step(Event::TransferLeadership)?;
        let now = Instant::now();
        let limit = if self.core.is_transferring_leadership() {
            TRANSFER_TIMEOUT
        } else {
            Duration::ZERO
        };
        self.stop_deadline = Some(now + limit);
        Ok(())
    }

    /// Whether a stop may end. The next leader must be known, since the release
    /// of the lease is sent to it.
    fn can_stop(&self, limit: Instant, now: Instant) -> bool {
        let replaced =
            !self.core.is_transferring_leadership() && self.core.status().leader.is_some();
        replaced || now >= limit
    }

    /// Handles requests; all proposals among them are appended as one batch.
    fn handle_requests(&mut self, requests: impl Iterator<Item = Request>) -> Result<(), Failure> {
        let limit = self.core.max_command_bytes();
        let mut proposals = Vec::new();
        for request in requests {
            match request {
                Request::Propose(proposal) if proposal.command.len() > limit => {
                    let size = proposal.command.len();
                    let _ = proposal
                        .reply
                        .send(Err(ProposeError::TooLarge { size, limit }));
                }
                Request::Propose(proposal) => proposals.push(proposal),
                Request::Read(reply) => {
                    let id = self.waiters.add_read(reply);
                    self.step(Event::Read(id))?;
                }
                Request::InForce(wait) => self.waiters.add_in_force(wait),
                Request::RemoveMember { id, reply } => {
                    let last = self.core.log_bounds().1;
                    self.removal = Some(reply);
                    self.step(Event::RemoveMember(id))?;
                    if self.core.log_bounds().1 > last
                        && let Some(reply) = self.removal.take()
                    {
                        let _ = reply.send(Ok(()));
                    }
                }
            }
        }
        if proposals.is_empty() {
            return Ok(());
        }
        let commands = proposals.iter().map(|proposal| proposal.command.clone());
        let event = Event::Propose(commands.collect());
        self.proposals = proposals;
        self.step(event)
    }

    fn step(&mut self, event: Event) -> Result<(), Failure> {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let now = BootTime::now() - self.clock_origin;
            for effect in self.core.step(event, now) {
                // Execute all effects of one step before the next step: sync
                // ids must reach the disk thread in order.
                next = self.execute(effect)?.or(next);
            }
        }
        self.publish_status();
        Ok(())
    }

    /// Executes an effect and returns the event that results from it, if any.
    fn execute(&mut self, effect: Effect) -> Result<Option<Event>, Failure> {
        match effect {
            Effect::Write(write) => self.writes.push(write),
            Effect::Sync(sync_id) => {
                let writes = std::mem::take(&mut self.writes);
                let sent = self.outputs.batches.send(Batch { writes, sync_id });
                sent.map_err(|_| Failure::DiskThreadEnded)?;
            }
            Effect::Send(message) => self.outputs.transport.send(message.to, message),
            Effect::Apply {
                index,
                term,
                command,
            } => {
                let response = self.outputs.state_machine.apply(index, &command);
                self.waiters.complete_proposal(index, term, response);
            }
            Effect::Restore(snapshot) => self.outputs.state_machine.restore(&snapshot.data)?,
            Effect::TakeSnapshot(index) => {
                let data: Arc<[u8]> = self.outputs.state_machine.snapshot().into();
                self.warn_if_snapshot_too_large(index, &data);
                return Ok(Some(Event::SnapshotTaken { index, data }));
            }
            Effect::Accepted { first, term } => {
                let proposals = std::mem::take(&mut self.proposals);
                self.waiters.add_proposals(first, term, proposals);
            }
            Effect::Rejected(rejection) => self.reject_pending(rejection),
            Effect::ReadReady { id, index } => self.waiters.finish_read(id, Ok(index)),
            Effect::ReadRejected { id, rejection } => {
                self.waiters.finish_read(id, Err(rejection.into()));
            }
            Effect::LostLeadership => self.waiters.fail_proposals(),
        }
        Ok(None)
    }

    fn warn_if_snapshot_too_large(&self, index: u64, data: &[u8]) {
        if data.len() > self.core.max_snapshot_bytes() {
            warn!(
                "state machine snapshot at entry {index} exceeds the size limit; the log was not compacted"
            );
        }
    }

    fn reject_pending(&mut self, rejection: Rejection) {
        for proposal in self.proposals.drain(..) {
            let _ = proposal.reply.send(Err(rejection.into()));
        }
        if let Some(reply) = self.removal.take() {
            let _ = reply.send(Err(rejection.into()));
        }
    }

    fn publish_status(&mut self) {
        let status = Status::new(self.core.status(), self.clock_origin);
        if status.role() != self.role {
            self.role = status.role();
            info!(
                "role changed to {:?} in term {}",
                status.role(),
                status.term()
            );
        }
        let applied = status.applied_index();
        if **self.outputs.status.load() != status {
            self.outputs.status.store(Arc::new(status));
        }
        self.outputs
            .applied
            .send_if_modified(|last| std::mem::replace(last, applied) != applied);
    }
}

fn reject_stopped(request: Request) {
    match request {
        Request::Propose(proposal) => drop(proposal.reply.send(Err(ProposeError::Stopped))),
        Request::Read(reply) => drop(reply.send(Err(ProposeError::Stopped))),
        Request::InForce(wait) => {
            drop(wait.reply.send(Err(super::error::InForceError::Stopped)));
        }
        Request::RemoveMember { reply, .. } => drop(reply.send(Err(ProposeError::Stopped))),
    }
}
