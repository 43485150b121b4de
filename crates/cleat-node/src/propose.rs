//! Finding the leader and asking it.

use std::future::Future;
use std::time::{Duration, Instant};

use cleat_link::{CallError, Link, PeerError, Proposed};
use cleat_operate::ControlError;
use cleat_world::{Answer, Command, CommandBody};
use tokio::time::sleep;

use crate::node::{Node, wall_clock_ms};

/// How long to look for a leader: longer than an election takes.
const FIND_LEADER: Duration = Duration::from_millis(4_000);
/// How long one call to the leader may take.
const CALL_LIMIT: Duration = Duration::from_millis(5_000);
/// How long a change may take to come into force: longer than the lease of an
/// instance that cannot be reached.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(8_000);
/// The pause before the leader is looked for again.
const PAUSE: Duration = Duration::from_millis(40);

/// One try to have something done by the leader.
pub(crate) enum Try<T> {
    /// The leader did it, or finally could not.
    Done(Result<T, ControlError>),
    /// Nothing was changed, and another try may find the leader.
    Again,
}

impl Node {
    /// Proposes `body` to the leader, wherever it is.
    pub(crate) async fn propose_anywhere(
        &self,
        body: CommandBody,
    ) -> Result<Proposed, ControlError> {
        let repeatable = is_repeatable(&body);
        self.ask_leader(|leader| {
            let body = body.clone();
            async move {
                let result = match leader {
                    Leader::Here => self.propose_here(body).await.map_err(Failure::Peer),
                    Leader::At(link) => {
                        let result = link.propose(body, CALL_LIMIT).await;
                        result.map_err(Failure::from)
                    }
                };
                judge(result, repeatable)
            }
        })
        .await
    }

    /// Proposes `body` to the local replica.
    pub(crate) async fn propose_here(&self, body: CommandBody) -> Result<Proposed, PeerError> {
        let at_ms = wall_clock_ms();
        let command = Command { at_ms, body }.encode();
        let applied = self.replica.propose(command).await;
        let applied = applied.map_err(|error| self.peer_error(&error))?;
        Ok(Proposed {
            index: applied.index,
            answer: Answer::decode(&applied.response),
        })
    }

    /// Waits until `index` is in force wherever requests are taken.
    pub(crate) async fn wait_in_force_anywhere(&self, index: u64) -> Result<(), ControlError> {
        self.ask_leader(|leader| async move {
            let result = match leader {
                Leader::Here => self.wait_in_force_here(index).await.map_err(Failure::Peer),
                Leader::At(link) => {
                    let result = link.wait_in_force(index, IN_FORCE_LIMIT).await;
                    result.map_err(Failure::from)
                }
            };
            // Waiting changes nothing, so any failure may be tried again.
            judge(result, true)
        })
        .await
    }

    /// As [`Node::wait_in_force_anywhere`], if this instance leads.
    pub(crate) async fn wait_in_force_here(&self, index: u64) -> Result<(), PeerError> {
        let waited = self.replica.wait_in_force(index, IN_FORCE_LIMIT).await;
        waited.map_err(|error| self.peer_error(&error.into()))
    }

    /// Waits until the local replica has all that was committed before.
    pub(crate) async fn catch_up_with_leader(&self) -> Result<(), ControlError> {
        let index = self
            .ask_leader(|leader| async move {
                let result = match leader {
                    Leader::Here => self.read_index_here().await.map_err(Failure::Peer),
                    Leader::At(link) => link.read_index(CALL_LIMIT).await.map_err(Failure::from),
                };
                judge(result, true)
            })
            .await?;
        let waited = self.replica.wait_applied(index, CALL_LIMIT).await;
        waited.map_err(|_| ControlError::NoQuorum)
    }

    /// An index that covers all that was committed, if this instance leads.
    pub(crate) async fn read_index_here(&self) -> Result<u64, PeerError> {
        let index = self.replica.read_index().await;
        index.map_err(|error| self.peer_error(&error))
    }

    /// Asks the leader until it did, finally could not, or none is found.
    pub(crate) async fn ask_leader<'a, T, F, Fut>(&'a self, ask: F) -> Result<T, ControlError>
    where
        F: Fn(Leader<'a>) -> Fut,
        Fut: Future<Output = Try<T>>,
    {
        let give_up = Instant::now() + FIND_LEADER;
        loop {
            if let Some(leader) = self.leader()
                && let Try::Done(result) = ask(leader).await
            {
                return result;
            }
            if Instant::now() >= give_up {
                return Err(ControlError::NoQuorum);
            }
            sleep(PAUSE).await;
        }
    }

    fn leader(&self) -> Option<Leader<'_>> {
        let leader = self.replica.status().leader()?;
        if leader == self.members.own() {
            return Some(Leader::Here);
        }
        self.links.get(leader).map(Leader::At)
    }
}

/// Where the leader is.
pub(crate) enum Leader<'a> {
    /// This instance.
    Here,
    /// At the other end of a link.
    At(&'a Link),
}

/// Why the leader did not do it.
pub(crate) enum Failure {
    NotSent,
    NoAnswer,
    Peer(PeerError),
}

impl From<CallError> for Failure {
    fn from(error: CallError) -> Failure {
        match error {
            CallError::NotSent { .. } => Failure::NotSent,
            CallError::NoAnswer { .. } => Failure::NoAnswer,
            CallError::Refused { source, .. } => Failure::Peer(source),
        }
    }
}

/// Whether another try can be made. After an unknown outcome only what has
/// the same effect twice may be tried again.
pub(crate) fn judge<T>(result: Result<T, Failure>, repeatable: bool) -> Try<T> {
    match result {
        Ok(value) => Try::Done(Ok(value)),
        Err(Failure::Peer(PeerError::TooLarge)) => Try::Done(Err(ControlError::TooLarge)),
        Err(Failure::NoAnswer | Failure::Peer(PeerError::OutcomeUnknown)) if !repeatable => {
            Try::Done(Err(ControlError::OutcomeUnknown))
        }
        Err(_) => Try::Again,
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
