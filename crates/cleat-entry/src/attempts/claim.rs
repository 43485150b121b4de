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
/// The maximum delay between these attempts; it doubles up to this.
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
    /// The keys that requests of this entry hold, of which only one may hold a
    /// key at a time.
    pub(super) held_keys: Arc<HeldKeys>,
    pub(super) claim: ClaimKey,
    /// How long keys are retained.
    pub(super) retention: Duration,
    pub(super) deadline: Instant,
}

/// The result of a single attempt to claim a key.
enum ClaimAttempt<C: Control> {
    /// The claim has a result.
    Done(Claim<C>),
    /// Another request, of this entry or another one, is using the key.
    KeyInUse,
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
        let held_key = match self.held_keys.acquire(&self.claim.key) {
            Ok(held_key) => held_key,
            Err(AcquireError::InUse) => return Ok(ClaimAttempt::KeyInUse),
            // The replicated table was not asked, so an earlier request with the
            // key may have run.
            Err(AcquireError::Full) => return Ok(undecided(ProblemKind::KeysFull)),
        };
        // If the guard is dropped before the result is known, for example
        // because this future is, it proposes to record in the replicated table
        // that the request did not run. Otherwise a claim that was committed
        // after all would leave the key pending until its hold ends.
        let control = Arc::clone(&self.control);
        let mut guard = ClaimGuard::new(control, &self.claim, self.retention, held_key);
        let answer = timeout_at(self.deadline, self.control.claim(self.claim.clone())).await;
        match answer.unwrap_or(Err(ClaimError::OutcomeUnknown)) {
            Ok(KeyAnswer::Granted) => Ok(ClaimAttempt::Done(Claim::Granted(guard))),
            Ok(other) => {
                // This request has no claim, so there is nothing to settle.
                guard.disarm();
                existing(other)
            }
            Err(ClaimError::NotClaimed) => {
                guard.disarm();
                Ok(undecided(ProblemKind::KeyNotClaimed))
            }
            Err(ClaimError::OutcomeUnknown) => {
                // True if the claim had been committed. Then the key was free, so no
                // earlier request with it can have run.
                let had_claim = guard.withdraw(self.deadline).await;
                if had_claim {
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
        KeyAnswer::InProgress { .. } => return Ok(ClaimAttempt::KeyInUse),
        KeyAnswer::OtherRequest => ProblemKind::KeyReused,
        // The replicated table has no entry for the key, so no request with it
        // is known to have run.
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
