//! The interface between the request path and the replicated state.

use std::future::Future;

use cleat_world::{ClaimKey, KeyAnswer, SettleKey};
use snafu::Snafu;

/// Access to the replicated state and its commands.
pub trait Control: Send + Sync + 'static {
    /// Whether the lease of this instance is valid, and thus its view of the
    /// fleet is current. Must be cheap, because it is called for every request.
    fn in_service(&self) -> bool;

    /// The log index at which this incarnation was registered, or `None` if it
    /// has not been registered yet.
    ///
    /// An earlier incarnation may have started requests at targets that were
    /// announced before this index, but not at targets announced after it. The
    /// default says that there was no earlier incarnation.
    fn incarnation_start_index(&self) -> Option<u64> {
        Some(0)
    }

    /// Claims an idempotency key.
    fn claim(&self, claim: ClaimKey) -> impl Future<Output = Result<KeyAnswer, ClaimError>> + Send;

    /// Records the outcome of a claimed key.
    fn settle(
        &self,
        settle: SettleKey,
    ) -> impl Future<Output = Result<KeyAnswer, ClaimError>> + Send;

    /// Reads the state of a key without claiming it. The result includes all
    /// claims and settlements committed before the call. `None` means that the
    /// key is free: no request with it has run. An error means that the state
    /// could not be determined.
    fn look_up(
        &self,
        key: &str,
        digest: u64,
    ) -> impl Future<Output = Result<Option<KeyAnswer>, ClaimError>> + Send;
}

/// Why a claim or settlement got no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ClaimError {
    /// It certainly had no effect, for example because there is no quorum. It
    /// can be retried later.
    #[snafu(display("the command on the idempotency key was not committed"))]
    NotClaimed,
    /// It may or may not have been committed. The same command must be retried.
    #[snafu(display("it is unknown whether the command on the idempotency key was committed"))]
    OutcomeUnknown,
}
