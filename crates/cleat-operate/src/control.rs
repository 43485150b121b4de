//! What the interfaces need from the rest of the instance.

use std::future::Future;

use cleat_link::{MemberReport, Proposed, Renewal, RenewalOutcome};
use cleat_world::{CommandBody, World};
use indexmap::IndexMap;
use serde::Serialize;
use snafu::Snafu;

/// Why control could not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ControlError {
    /// No quorum was reached, so nothing was changed. Try again when a
    /// majority of the voters is back.
    #[snafu(display("no quorum can be reached; nothing was changed"))]
    NoQuorum,
    /// It may have been changed. Repeat it with the same command id.
    #[snafu(display("the outcome is unknown"))]
    OutcomeUnknown,
    /// The command is larger than the log takes. Make it smaller.
    #[snafu(display("the command is too large"))]
    TooLarge,
}

/// The part this instance plays in the quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It leads.
    Leader,
    /// It votes and follows.
    Follower,
    /// It stands for election.
    Candidate,
    /// It follows without a vote.
    Learner,
}

/// This instance as it sees itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: Box<str>,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Its part in the quorum.
    pub role: Role,
    /// The current term.
    pub term: u64,
    /// The leader it knows of.
    pub leader: Option<Box<str>>,
    /// The last log index in force here.
    pub applied: u64,
    /// Whether it takes requests.
    pub in_service: bool,
}

/// The replicated state and the way to change it.
pub trait ControlPlane: Send + Sync + 'static {
    /// Reads the local replica, which may lag behind the leader's.
    fn world<R>(&self, read: impl FnOnce(&World) -> R) -> R;

    /// Proposes a command and waits until it is applied here or there.
    fn propose(
        &self,
        body: CommandBody,
    ) -> impl Future<Output = Result<Proposed, ControlError>> + Send;

    /// Waits until `index` is in force on every instance that holds a lease.
    fn wait_in_force(&self, index: u64) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Waits until the local replica has all that was committed before.
    fn catch_up(&self) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Renews the lease of a target at the leader.
    fn renew(
        &self,
        renewal: Renewal,
    ) -> impl Future<Output = Result<RenewalOutcome, ControlError>> + Send;

    /// This instance as it sees itself.
    fn status(&self) -> InstanceStatus;

    /// Every instance as the leader sees it.
    fn members(&self) -> impl Future<Output = Result<Vec<MemberReport>, ControlError>> + Send;

    /// The data centre of one of the system's own instances.
    fn data_centre_of(&self, entry: &str) -> Option<Box<str>>;

    /// The counters by name.
    fn metrics(&self) -> IndexMap<Box<str>, u64>;
}
