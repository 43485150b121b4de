//! Finding the leader and asking it.

use std::future::Future;
use std::time::{Duration, Instant};

use cleat_link::{CallError, Link, PeerError, Proposed};
use cleat_operate::ControlError;
use cleat_world::{Answer, Command, CommandBody};
use tokio::time::sleep;

use crate::node::{Node, wall_clock_ms};

/// How long to look for a leader: longer than an election takes.
const FIND_LEADER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long one call to the leader may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// How long a change may take to come into force: longer than the lease of an
/// instance that cannot be reached.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(8_000);
/// The pause before the leader is looked for again.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// One try to have something done by the leader.
pub(crate) enum Attempt<T> {
    /// The leader did it, or finally could not.
    Finished(Result<T, ControlError>),
    /// Nothing was changed, and another try may find the leader.
    Retry,
}

impl Node {
    /// Proposes `body` to the leader, wherever it is.
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

    /// Proposes `body` to the local replica.
    pub(crate) async fn propose_local(&self, body: CommandBody) -> Result<Proposed, PeerError> {
        let at_ms = wall_clock_ms();
        let command = Command { at_ms, body }.encode();
        let applied = self.replica.propose(command).await;
        let applied = applied.map_err(|error| self.peer_error(&error))?;
        Ok(Proposed {
            index: applied.index,
            answer: Answer::decode(&applied.answer),
        })
    }

    /// Waits until `index` is in force wherever requests are taken.
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
            // Waiting changes nothing, so any failure may be tried again.
            classify(result, true)
        })
        .await
    }

    /// As [`Node::wait_in_force_on_leader`], if this instance leads.
    pub(crate) async fn wait_in_force_local(&self, index: u64) -> Result<(), PeerError> {
        let waited = self.replica.wait_in_force(index, IN_FORCE_TIMEOUT).await;
        waited.map_err(|error| self.peer_error(&error.into()))
    }

    /// Waits until the local replica has all that was committed before.
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

    /// An index that covers all that was committed, if this instance leads.
    pub(crate) async fn read_index_local(&self) -> Result<u64, PeerError> {
        let index = self.replica.read_index().await;
        index.map_err(|error| self.peer_error(&error))
    }

    /// Asks the leader until it did, finally could not, or none is found.
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
        if leader == self.members.own() {
            return Some(Leader::Local);
        }
        self.links.get(leader).map(Leader::Remote)
    }
}

/// Where the leader is.
pub(crate) enum Leader<'a> {
    /// This instance.
    Local,
    /// At the other end of a link.
    Remote(&'a Link),
}

/// Why the leader did not do it.
pub(crate) enum LeaderCallError {
    NotSent,
    NoAnswer,
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

/// Whether another try can be made. After an unknown outcome only what has
/// the same effect twice may be tried again.
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

/// Whether the command has the same effect when it is applied twice.
fn is_repeatable(body: &CommandBody) -> bool {
    match body {
        CommandBody::ApplyConfig(_)
        | CommandBody::MoveInstance(_)
        | CommandBody::StartWave(_)
        | CommandBody::PauseWave(_)
        | CommandBody::ResumeWave(_) => body.command_id().is_some(),
        CommandBody::Announce(_) | CommandBody::SettleKey(_) | CommandBody::BeginLife(_) => true,
        CommandBody::Withdraw(_)
        | CommandBody::ClaimKey(_)
        | CommandBody::AdvanceMove(_)
        | CommandBody::StepInstance(_) => false,
    }
}
