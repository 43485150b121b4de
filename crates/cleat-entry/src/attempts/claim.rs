//! Claims an idempotency key before the first attempt.

use std::sync::Arc;
use std::time::Duration;

use cleat_world::{ClaimKey, KeyAnswer, StoredAnswer};
use tokio::time::{Instant, sleep, timeout_at};

use super::claim_guard::ClaimGuard;
use super::held_keys::{AcquireError, HeldKeys};
use crate::control::{ClaimError, Control};
use crate::problem::{Problem, ProblemKind};

/// The initial delay between attempts to claim a key that is used by another
/// request.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(10);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The result of a claim.
pub(super) enum Claim<C: Control> {
    /// The request may be sent.
    Granted(ClaimGuard<C>),
    /// The request already ran, with this response.
    Ran(StoredAnswer),
    /// This request was not sent, but it is unknown whether an earlier one with
    /// the same key ran.
    Undecided(ProblemKind),
}

/// What is needed to claim a key.
pub(super) struct ClaimRequest<C: Control> {
    pub(super) control: Arc<C>,
    pub(super) keys: Arc<HeldKeys>,
    pub(super) claim: ClaimKey,
    /// How long keys are retained.
    pub(super) retention: Duration,
    pub(super) deadline: Instant,
}

/// The result of a single attempt to claim a key.
enum ClaimAttempt<C: Control> {
    Done(Claim<C>),
    InProgress,
}

impl<C: Control> ClaimRequest<C> {
    /// Tries to claim the key until the deadline.
    ///
    /// # Errors
    /// The final response to the caller.
    pub(super) async fn run(self) -> Result<Claim<C>, Problem> {
        let mut poll_interval = INITIAL_POLL_INTERVAL;
        loop {
            if let ClaimAttempt::Done(claim) = self.try_claim().await? {
                return Ok(claim);
            }
            if Instant::now() + poll_interval >= self.deadline {
                // The next attempt would be after the deadline, so waiting
                // longer can't help.
                return Err(Problem::new(ProblemKind::KeyInProgress));
            }
            sleep(poll_interval).await;
            poll_interval = (poll_interval * 2).min(MAX_POLL_INTERVAL);
        }
    }

    async fn try_claim(&self) -> Result<ClaimAttempt<C>, Problem> {
        let held_key = match self.keys.acquire(&self.claim.key) {
            Ok(held_key) => held_key,
            Err(AcquireError::InUse) => return Ok(ClaimAttempt::InProgress),
            Err(AcquireError::Full) => return Ok(undecided(ProblemKind::KeysFull)),
        };
        // Dropping the guard before the result is known settles the claim as
        // not run.
        let control = Arc::clone(&self.control);
        let mut guard = ClaimGuard::new(control, &self.claim, self.retention, held_key);
        let answer = timeout_at(self.deadline, self.control.claim(self.claim.clone())).await;
        match answer.unwrap_or(Err(ClaimError::OutcomeUnknown)) {
            Ok(KeyAnswer::Granted) => Ok(ClaimAttempt::Done(Claim::Granted(guard))),
            Ok(other) => {
                guard.dismiss();
                existing(other)
            }
            Err(ClaimError::NotClaimed) => {
                guard.dismiss();
                Ok(undecided(ProblemKind::KeyNotClaimed))
            }
            Err(ClaimError::OutcomeUnknown) => {
                if guard.withdraw(self.deadline).await {
                    return Err(Problem::new(ProblemKind::KeyNotClaimed));
                }
                Ok(undecided(ProblemKind::KeyNotClaimed))
            }
        }
    }
}

fn undecided<C: Control>(kind: ProblemKind) -> ClaimAttempt<C> {
    ClaimAttempt::Done(Claim::Undecided(kind))
}

/// Maps the state of a key that is not free to the result for this request.
fn existing<C: Control>(answer: KeyAnswer) -> Result<ClaimAttempt<C>, Problem> {
    let kind = match answer {
        KeyAnswer::Ran(stored) => return Ok(ClaimAttempt::Done(Claim::Ran(stored))),
        KeyAnswer::InProgress { .. } => return Ok(ClaimAttempt::InProgress),
        KeyAnswer::OtherRequest => ProblemKind::KeyReused,
        KeyAnswer::Full => ProblemKind::KeysFull,
        KeyAnswer::RanAnswerNotKept => ProblemKind::KeyAnswerNotKept,
        KeyAnswer::Unknown => ProblemKind::KeyOutcomeUnknown,
        // Not expected in reply to a claim. Nothing was sent.
        KeyAnswer::Granted | KeyAnswer::Settled | KeyAnswer::NotHolder => {
            ProblemKind::KeyNotClaimed
        }
    };
    Err(Problem::new(kind))
}
