//! The interface of an instance that the HTTP handlers call.

use std::future::Future;

use cleat_link::{MemberReport, Proposed, Renewal, RenewalOutcome};
use cleat_world::{CommandBody, World};
use indexmap::IndexMap;
use serde::Serialize;
use snafu::Snafu;

/// Why the control plane could not carry out a request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ControlError {
    /// No quorum was reached, so nothing was changed. Retry once a majority of
    /// the voters can be reached.
    #[snafu(display("no quorum can be reached; nothing was changed"))]
    NoQuorum,
    /// The command may or may not take effect. Retry it with the same command id.
    #[snafu(display("the outcome is unknown"))]
    OutcomeUnknown,
    /// The command exceeds the size limit of a log entry. Make it smaller.
    #[snafu(display("the command is too large"))]
    TooLarge,
}

/// The role of this instance in the quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Proposes log entries and replicates them.
    Leader,
    /// Votes and replicates the leader's log.
    Follower,
    /// Requests votes in an election.
    Candidate,
    /// Replicates the leader's log without a vote.
    Learner,
}

/// The status of this instance from its own view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InstanceStatus {
    /// The name of the instance.
    pub name: Box<str>,
    /// The data centre of the instance.
    pub data_centre: Box<str>,
    /// The role of the instance in the quorum.
    pub role: Role,
    /// The current term.
    pub term: u64,
    /// The current leader, if this instance knows one.
    pub leader: Option<Box<str>>,
    /// The last log index that is applied on this instance.
    pub applied: u64,
    /// Whether the instance accepts requests.
    pub in_service: bool,
}

/// Access to the replicated state and to the commands that change it.
pub trait ControlPlane: Send + Sync + 'static {
    /// Reads the local replica, which may lag behind that of the leader.
    fn world<R>(&self, read: impl FnOnce(&World) -> R) -> R;

    /// Proposes a command to the leader, locally or over the network, and waits
    /// until the leader has applied it.
    fn propose(
        &self,
        body: CommandBody,
    ) -> impl Future<Output = Result<Proposed, ControlError>> + Send;

    /// Waits until the log entry at `index` is applied on every instance that
    /// holds a lease.
    fn wait_in_force(&self, index: u64) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Waits until the local replica has applied everything that was committed
    /// before this call.
    fn catch_up(&self) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Renews the lease of a target at the leader, which tracks all leases.
    fn renew(
        &self,
        renewal: Renewal,
    ) -> impl Future<Output = Result<RenewalOutcome, ControlError>> + Send;

    /// Returns the status of this instance from its own view.
    fn status(&self) -> InstanceStatus;

    /// Returns every instance from the leader's view.
    fn members(&self) -> impl Future<Output = Result<Vec<MemberReport>, ControlError>> + Send;

    /// Returns the data centre of an entry instance.
    fn data_centre_of(&self, entry: &str) -> Option<Box<str>>;

    /// Returns the metrics by name.
    fn metrics(&self) -> IndexMap<Box<str>, u64>;
}
