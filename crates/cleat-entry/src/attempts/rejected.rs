//! Rejects a request with an idempotency key whose claim is undecided.

use std::time::Duration;

use cleat_world::KeyAnswer;
use tokio::time::{Instant, timeout_at};

use super::TargetResponse;
use crate::control::{ClaimError, Control};
use crate::entry::SharedState;
use crate::problem::{Problem, ProblemKind};

/// The maximum time for which a rejected caller waits for the state of its key.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// A request with an idempotency key that is about to be rejected.
pub(crate) struct RejectedRequest<'a> {
    /// The key as stored in the replicated table.
    pub(crate) key: &'a str,
    /// `None` if the request was not read completely.
    pub(crate) digest: Option<u64>,
    pub(crate) deadline: Instant,
}

impl RejectedRequest<'_> {
    /// The final response. It is `problem` only if no earlier request with the
    /// key can have run, including on other instances.
    ///
    /// # Errors
    /// The final response, unless it is the response stored with the key.
    pub(crate) async fn respond<C: Control>(
        &self,
        shared: &SharedState<C>,
        problem: Problem,
    ) -> Result<TargetResponse, Problem> {
        let kind = match self.look_up(shared).await {
            Ok(None) => return Err(problem),
            Ok(Some(KeyAnswer::InProgress { .. })) => ProblemKind::KeyInProgress,
            // Without the body of this request, it can't be compared with the
            // one that ran.
            Ok(Some(_)) if self.digest.is_none() => ProblemKind::KeyOutcomeUnknown,
            Ok(Some(KeyAnswer::Ran(stored))) => {
                shared.counters.replayed.incr();
                return Ok(TargetResponse::Replayed(stored));
            }
            Ok(Some(KeyAnswer::OtherRequest)) => ProblemKind::KeyReused,
            Ok(Some(KeyAnswer::RanAnswerNotKept)) => ProblemKind::KeyAnswerNotKept,
            Ok(Some(_)) => ProblemKind::KeyOutcomeUnknown,
            Err(_) => ProblemKind::KeyNotLookedUp,
        };
        Err(problem.with_kind(kind))
    }

    async fn look_up<C: Control>(
        &self,
        shared: &SharedState<C>,
    ) -> Result<Option<KeyAnswer>, ClaimError> {
        let end = self.deadline.min(Instant::now() + LOOKUP_TIMEOUT);
        let look_up = async {
            let permit = shared.lookup_permits.acquire().await;
            let _permit = permit.map_err(|_| ClaimError::OutcomeUnknown)?;
            let digest = self.digest.unwrap_or_default();
            shared.control.look_up(self.key, digest).await
        };
        let found = timeout_at(end, look_up).await;
        found.unwrap_or(Err(ClaimError::OutcomeUnknown))
    }
}
