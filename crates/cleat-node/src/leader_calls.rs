//! Calls to the leader, wherever it is.

use std::future::Future;
use std::time::{Duration, Instant};

use cleat_link::{CallError, Link, PeerError, Proposed};
use cleat_operate::ControlError;
use cleat_world::{Answer, Command, CommandBody};
use tokio::time::sleep;

use crate::node::{Node, wall_clock_ms};

/// How long a call waits for a leader: longer than an election takes.
const FIND_LEADER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The time limit of one call to the leader.
const CALL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The time limit for a change to take effect: longer than the lease of an instance
/// that can't be reached.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(8_000);
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// The outcome of one attempt at the leader.
pub(crate) enum Attempt<T> {
    /// The leader carried out the call, or it failed permanently.
    Finished(Result<T, ControlError>),
    /// The call failed, and may be repeated.
    Retry,
}

impl Node {
    /// Proposes a command to the leader.
    pub(crate) async fn propose_to_leader(
        &self,
        body: CommandBody,
    ) -> Result<Proposed, ControlError> {
        let repeatable = is_repeatable(&body);
        self.call_leader(|leader| {
            let body = body.clone();
            async move {
                let result = match leader {
                    Leader::Local => self
                        .propose_local(body)
                        .await
                        .map_err(LeaderCallError::Peer),
                    Leader::Remote(link) => {
                        let result = link.propose(body, CALL_TIMEOUT).await;
                        result.map_err(LeaderCallError::from)
                    }
                };
                classify(result, repeatable)
            }
        })
        .await
    }

    /// Proposes a command to the local replica.
    pub(crate) async fn propose_local(&self, body: CommandBody) -> Result<Proposed, PeerError> {
        let at_ms = wall_clock_ms();
        let command = Command { at_ms, body }.encode();
        let applied = self.replica.propose(command).await;
        let applied = applied.map_err(|error| self.peer_error(&error))?;
        Ok(Proposed {
            index: applied.index,
            answer: Answer::decode(&applied.response),
        })
    }

    /// Asks the leader to wait until the log up to `index` has taken effect on every
    /// instance that accepts requests.
    pub(crate) async fn wait_in_force_on_leader(&self, index: u64) -> Result<(), ControlError> {
        self.call_leader(|leader| async move {
            let result = match leader {
                Leader::Local => self
                    .wait_in_force_local(index)
                    .await
                    .map_err(LeaderCallError::Peer),
                Leader::Remote(link) => {
                    let result = link.wait_in_force(index, IN_FORCE_TIMEOUT).await;
                    result.map_err(LeaderCallError::from)
                }
            };
            // Waiting changes nothing, so it may be repeated after any failure.
            classify(result, true)
        })
        .await
    }

    /// Like [`Node::wait_in_force_on_leader`], but fails unless this instance leads.
    pub(crate) async fn wait_in_force_local(&self, index: u64) -> Result<(), PeerError> {
        let waited = self.replica.wait_in_force(index, IN_FORCE_TIMEOUT).await;
        waited.map_err(|error| self.peer_error(&error.into()))
    }

    /// Waits until the local replica has applied everything that was committed before
    /// the call.
    pub(crate) async fn catch_up_with_leader(&self) -> Result<(), ControlError> {
        let index = self
            .call_leader(|leader| async move {
                let result = match leader {
                    Leader::Local => self.read_index_local().await.map_err(LeaderCallError::Peer),
                    Leader::Remote(link) => link
                        .read_index(CALL_TIMEOUT)
                        .await
                        .map_err(LeaderCallError::from),
                };
                classify(result, true)
            })
            .await?;
        let waited = self.replica.wait_applied(index, CALL_TIMEOUT).await;
        waited.map_err(|_| ControlError::NoQuorum)
    }

    /// An index that covers everything that is committed; fails unless this instance
    /// leads.
    pub(crate) async fn read_index_local(&self) -> Result<u64, PeerError> {
        let index = self.replica.read_index().await;
        index.map_err(|error| self.peer_error(&error))
    }

    /// Calls the leader, and repeats the call until it succeeds, fails permanently, or
    /// the time to find a leader is over.
    pub(crate) async fn call_leader<'a, T, F, Fut>(&'a self, call: F) -> Result<T, ControlError>
    where
        F: Fn(Leader<'a>) -> Fut,
        Fut: Future<Output = Attempt<T>>,
    {
        let deadline = Instant::now() + FIND_LEADER_TIMEOUT;
        loop {
            if let Some(leader) = self.leader()
                && let Attempt::Finished(result) = call(leader).await
            {
                return result;
            }
            if Instant::now() >= deadline {
                return Err(ControlError::NoQuorum);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn leader(&self) -> Option<Leader<'_>> {
        let leader = self.replica.status().leader()?;
        if leader == self.members.own_id() {
            return Some(Leader::Local);
        }
        self.links.get(leader).map(Leader::Remote)
    }
}

/// How to reach the leader.
pub(crate) enum Leader<'a> {
    /// This instance leads.
    Local,
    /// Another instance leads, at the other end of a link.
    Remote(&'a Link),
}

/// Why a call to the leader failed.
pub(crate) enum LeaderCallError {
    /// The call was not sent.
    NotSent,
    /// The call was sent, but not answered.
    NoAnswer,
    /// The called instance returned an error.
    Peer(PeerError),
}

impl From<CallError> for LeaderCallError {
    fn from(error: CallError) -> LeaderCallError {
        match error {
            CallError::NotSent { .. } => LeaderCallError::NotSent,
            CallError::NoAnswer { .. } => LeaderCallError::NoAnswer,
            CallError::Refused { source, .. } => LeaderCallError::Peer(source),
        }
    }
}

/// Decides whether a failed call is repeated. If its outcome is unknown, it is repeated
/// only if it is `repeatable`: applied twice, it has the same effect as once.
pub(crate) fn classify<T>(result: Result<T, LeaderCallError>, repeatable: bool) -> Attempt<T> {
    match result {
        Ok(value) => Attempt::Finished(Ok(value)),
        Err(LeaderCallError::Peer(PeerError::TooLarge)) => {
            Attempt::Finished(Err(ControlError::TooLarge))
        }
        Err(LeaderCallError::NoAnswer | LeaderCallError::Peer(PeerError::OutcomeUnknown))
            if !repeatable =>
        {
            Attempt::Finished(Err(ControlError::OutcomeUnknown))
        }
        Err(_) => Attempt::Retry,
    }
}

/// Whether the command has the same effect if it is applied twice. A repeated command
/// with a command id gets the first answer. A repeated announcement keeps the incarnation
/// of the target. A settlement only ends the claim with its incarnation and number. An
/// advance of a move that took effect is stale when repeated, since it changed the epoch.
fn is_repeatable(body: &CommandBody) -> bool {
    match body {
        CommandBody::ApplyConfig(_)
        | CommandBody::MoveInstance(_)
        | CommandBody::StartWave(_)
        | CommandBody::PauseWave(_)
        | CommandBody::ResumeWave(_) => body.command_id().is_some(),
        CommandBody::Announce(_) | CommandBody::SettleKey(_) | CommandBody::BeginIncarnation(_) => {
            true
        }
        CommandBody::Withdraw(_)
        | CommandBody::ClaimKey(_)
        | CommandBody::AdvanceMove(_)
        | CommandBody::StepInstance(_) => false,
    }
}
