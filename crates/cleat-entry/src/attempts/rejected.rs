//! Refusing a request with a key before its claim was decided.

use std::time::Duration;

use cleat_world::KeyAnswer;
use tokio::time::{Instant, timeout_at};

use super::TargetResponse;
use crate::control::{ClaimError, Control};
use crate::entry::SharedState;
use crate::problem::{Problem, ProblemKind};

/// A refused caller does not wait longer to learn what became of its key.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// What is known of a request with a key that is about to be refused.
pub(crate) struct RejectedRequest<'a> {
    /// The key as the table has it.
    pub(crate) key: &'a str,
    /// `None` if the request was not read whole.
    pub(crate) digest: Option<u64>,
    pub(crate) deadline: Instant,
}

impl RejectedRequest<'_> {
    /// The final answer: `problem` only if no earlier send of the request can
    /// have run, which another instance may have taken.
    ///
    /// # Errors
    /// Every final answer but the one that was kept with the key.
    pub(crate) async fn respond<C: Control>(
        &self,
        shared: &SharedState<C>,
        problem: Problem,
    ) -> Result<TargetResponse, Problem> {
        let kind = match self.look_up(shared).await {
            Ok(None) => return Err(problem),
            Ok(Some(KeyAnswer::InProgress { .. })) => ProblemKind::KeyInProgress,
            // Which request ran can't be told without this one's body.
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
