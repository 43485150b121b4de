//! What the request path needs from consensus.

use std::future::Future;

use cleat_world::{ClaimKey, KeyAnswer, SettleKey};
use snafu::Snafu;

/// The replicated state as the request path sees it.
pub trait Control: Send + Sync + 'static {
    /// Whether this instance's lease is valid, so that its view of the fleet
    /// is in force. Cheap: asked for every request.
    fn in_service(&self) -> bool;

    /// The log index at which this life became known, `None` while it is not:
    /// an earlier life may have begun work at targets announced before, never
    /// at those announced later. By default there was no earlier life.
    fn incarnation_start_index(&self) -> Option<u64> {
        Some(0)
    }

    /// Claims an idempotency key.
    fn claim(&self, claim: ClaimKey) -> impl Future<Output = Result<KeyAnswer, ClaimError>> + Send;

    /// Says what came of a claimed key.
    fn settle(
        &self,
        settle: SettleKey,
    ) -> impl Future<Output = Result<KeyAnswer, ClaimError>> + Send;

    /// What is known of a key, with all that was claimed and settled before
    /// the call, without claiming it. `None` if it is free: no request under
    /// it has run. An error says that it could not be found out.
    fn look_up(
        &self,
        key: &str,
        digest: u64,
    ) -> impl Future<Output = Result<Option<KeyAnswer>, ClaimError>> + Send;
}

/// A claim or settlement without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ClaimError {
    /// It provably changed nothing, for instance because there is no quorum.
    /// Send again later.
    #[snafu(display("nothing was claimed"))]
    NotClaimed,
    /// It may or may not stand in the log. Send the same again.
    #[snafu(display("it is not known whether the claim stands"))]
    OutcomeUnknown,
}
