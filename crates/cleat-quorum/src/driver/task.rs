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

/// How many requests one step groups at most.
const GROUP: usize = 256;
/// How long a stop waits for the next leader at most.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(1_000);
/// How many messages are taken before the task looks elsewhere.
const MESSAGES: usize = 64;

/// What the task listens to.
pub(crate) struct Inputs {
    pub(crate) requests: Receiver<Request>,
    pub(crate) messages: Receiver<Message>,
    pub(crate) stop: Receiver<()>,
    pub(crate) synced: UnboundedReceiver<Result<SyncId, StoreError>>,
}

/// What the task acts on.
pub(crate) struct Outputs<T, M> {
    pub(crate) transport: T,
    pub(crate) state_machine: M,
    pub(crate) batches: std_mpsc::Sender<Batch>,
    pub(crate) status: Arc<ArcSwap<Status>>,
    pub(crate) applied: watch::Sender<u64>,
}

/// Why the task has to end.
#[derive(Debug, Snafu)]
enum Failure {
    #[snafu(context(false), display("{source}"))]
    Disk { source: StoreError },
    #[snafu(display("the disk thread ended"))]
    DiskGone,
    #[snafu(context(false), display("{source}"))]
    Restore { source: RestoreError },
}

pub(crate) struct Task<T, M> {
    core: Core,
    origin: BootTime,
    outputs: Outputs<T, M>,
    writes: Vec<Write>,
    waiters: Waiters,
    /// The proposals of the step under way.
    proposals: Vec<Proposal>,
    removal: Option<Reply<(), ProposeError>>,
    role: Role,
    /// When a stop ends at the latest; none unless the lead is handed over.
    stop_by: Option<Instant>,
}

impl<T: Transport, M: StateMachine> Task<T, M> {
    pub(crate) fn new(core: Core, origin: BootTime, outputs: Outputs<T, M>) -> Task<T, M> {
        Task {
            role: core.role(),
            core,
            origin,
            outputs,
            writes: Vec::new(),
            waiters: Waiters::default(),
            proposals: Vec::new(),
            removal: None,
            stop_by: None,
        }
    }

    pub(crate) async fn run(mut self, mut inputs: Inputs) {
        if let Err(failure) = self.serve(&mut inputs).await {
            error!("the replica stops: {failure}");
        }
        let last = self.outputs.status.load().stopped();
        self.outputs.status.store(Arc::new(last));
        self.waiters.stop();
        inputs.requests.close();
        while let Ok(request) = inputs.requests.try_recv() {
            refuse(request);
        }
    }

    async fn serve(&mut self, inputs: &mut Inputs) -> Result<(), Failure> {
        let mut requests = Vec::with_capacity(GROUP);
        let mut messages = Vec::with_capacity(MESSAGES);
        loop {
            let deadline = self.deadline();
            tokio::select! {
                _ = inputs.stop.recv(), if self.stop_by.is_none() => self.begin_stop()?,
                synced = inputs.synced.recv() => {
                    let sync_id = synced.ok_or(Failure::DiskGone)??;
                    self.step(Event::Synced(sync_id))?;
                }
                count = inputs.messages.recv_many(&mut messages, MESSAGES) => {
                    if count == 0 {
                        return Ok(());
                    }
                    for message in messages.drain(..) {
                        self.step(Event::Receive(message))?;
                    }
                }
                count = inputs.requests.recv_many(&mut requests, GROUP), if self.core.can_accept_proposals() => {
                    if count == 0 {
                        return Ok(());
                    }
                    self.take(requests.drain(..))?;
                }
                () = sleep_until(deadline) => self.step(Event::Tick)?,
            }
            let now = Instant::now();
            let local = BootTime::now() - self.origin;
            self.waiters.check_in_force(&self.core, local, now);
            if self.stop_by.is_some_and(|limit| self.may_stop(limit, now)) {
                return self.step(Event::ReleaseLease);
            }
        }
    }

    fn deadline(&self) -> Instant {
        let local = BootTime::now() - self.origin;
        let core = Instant::now() + self.core.deadline().saturating_sub(local);
        let others = [self.waiters.deadline(), self.stop_by];
        others.into_iter().flatten().fold(core, Instant::min)
    }

    /// A leader hands its lead over before it stops.
    fn begin_stop(&mut self) -> Result<(), Failure> {
        self.step(Event::TransferLeadership)?;
        let now = Instant::now();
        let limit = if self.core.is_transferring_leadership() {
            HAND_OVER_LIMIT
        } else {
            Duration::ZERO
        };
        self.stop_by = Some(now + limit);
        Ok(())
    }

    /// The next leader has to be known, so that it is told of the release.
    fn may_stop(&self, limit: Instant, now: Instant) -> bool {
        let replaced =
            !self.core.is_transferring_leadership() && self.core.status().leader.is_some();
        replaced || now >= limit
    }

    /// Takes requests; all proposals among them become one group.
    fn take(&mut self, requests: impl Iterator<Item = Request>) -> Result<(), Failure> {
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
            let now = BootTime::now() - self.origin;
            for effect in self.core.step(event, now) {
                // The effects of one step come before those of the next: the
                // tickets of syncs must reach the disk in order.
                next = self.carry_out(effect)?.or(next);
            }
        }
        self.publish();
        Ok(())
    }

    /// Carries out an effect; gives the event that it leads to.
    fn carry_out(&mut self, effect: Effect) -> Result<Option<Event>, Failure> {
        match effect {
            Effect::Write(write) => self.writes.push(write),
            Effect::Sync(sync_id) => {
                let writes = std::mem::take(&mut self.writes);
                let sent = self.outputs.batches.send(Batch { writes, sync_id });
                sent.map_err(|_| Failure::DiskGone)?;
            }
            Effect::Send(message) => self.outputs.transport.send(message.to, message),
            Effect::Apply {
                index,
                term,
                command,
            } => {
                let answer = self.outputs.state_machine.apply(index, &command);
                self.waiters.applied(index, term, answer);
            }
            Effect::Restore(snapshot) => self.outputs.state_machine.restore(&snapshot.data)?,
            Effect::TakeSnapshot(index) => {
                let data: Arc<[u8]> = self.outputs.state_machine.snapshot().into();
                self.warn_of_snapshot(index, &data);
                return Ok(Some(Event::SnapshotTaken { index, data }));
            }
            Effect::Accepted { first, term } => {
                let proposals = std::mem::take(&mut self.proposals);
                self.waiters.accepted(first, term, proposals);
            }
            Effect::Rejected(rejection) => self.refuse_step(rejection),
            Effect::ReadReady { id, index } => self.waiters.finish_read(id, Ok(index)),
            Effect::ReadRejected { id, rejection } => {
                self.waiters.finish_read(id, Err(rejection.into()));
            }
            Effect::LostLeadership => self.waiters.lost_leadership(),
        }
        Ok(None)
    }

    fn warn_of_snapshot(&self, index: u64, data: &[u8]) {
        if data.len() > self.core.max_snapshot_bytes() {
            warn!("the snapshot at entry {index} is over the limit; the log is not compacted");
        }
    }

    fn refuse_step(&mut self, rejection: Rejection) {
        for proposal in self.proposals.drain(..) {
            let _ = proposal.reply.send(Err(rejection.into()));
        }
        if let Some(reply) = self.removal.take() {
            let _ = reply.send(Err(rejection.into()));
        }
    }

    fn publish(&mut self) {
        let status = Status::new(self.core.status(), self.origin);
        if status.role() != self.role {
            self.role = status.role();
            info!("now {:?} in term {}", status.role(), status.term());
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

fn refuse(request: Request) {
    match request {
        Request::Propose(proposal) => drop(proposal.reply.send(Err(ProposeError::Stopped))),
        Request::Read(reply) => drop(reply.send(Err(ProposeError::Stopped))),
        Request::InForce(wait) => {
            drop(wait.reply.send(Err(super::error::InForceError::Stopped)));
        }
        Request::RemoveMember { reply, .. } => drop(reply.send(Err(ProposeError::Stopped))),
    }
}
