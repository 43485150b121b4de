//! Claiming an idempotency key before the first send.

use std::sync::Arc;
use std::time::Duration;

use cleat_world::{ClaimKey, KeyAnswer, StoredAnswer};
use tokio::time::{Instant, sleep, timeout_at};

use super::claim_guard::ClaimGuard;
use super::held_keys::{AcquireError, HeldKeys};
use crate::control::{ClaimError, Control};
use crate::problem::{Problem, ProblemKind};

/// Between looks at a key that another request holds.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(10);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What became of a claim.
pub(super) enum Claim<C: Control> {
    /// The request may be sent.
    Granted(ClaimGuard<C>),
    /// It ran before; this was the answer.
    Ran(StoredAnswer),
    /// Nothing of this request was sent, but whether an earlier send of it ran
    /// is not known.
    Undecided(ProblemKind),
}

/// What claiming needs.
pub(super) struct ClaimRequest<C: Control> {
    pub(super) control: Arc<C>,
    pub(super) keys: Arc<HeldKeys>,
    pub(super) claim: ClaimKey,
    /// How long keys are remembered.
    pub(super) retention: Duration,
    pub(super) deadline: Instant,
}

/// One look at a key.
enum ClaimAttempt<C: Control> {
    Done(Claim<C>),
    InProgress,
}

impl<C: Control> ClaimRequest<C> {
    /// Claims until the deadline.
    ///
    /// # Errors
    /// The final answer to the caller.
    pub(super) async fn run(self) -> Result<Claim<C>, Problem> {
        let mut poll_interval = INITIAL_POLL_INTERVAL;
        loop {
            if let ClaimAttempt::Done(claim) = self.try_claim().await? {
                return Ok(claim);
            }
            if Instant::now() + poll_interval >= self.deadline {
                // Nothing is gained by the time that is left.
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
        // Settled as not run if it is dropped before the answer is known.
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

/// What an earlier claim of the key means for this request.
fn existing<C: Control>(answer: KeyAnswer) -> Result<ClaimAttempt<C>, Problem> {
    let kind = match answer {
        KeyAnswer::Ran(stored) => return Ok(ClaimAttempt::Done(Claim::Ran(stored))),
        KeyAnswer::InProgress { .. } => return Ok(ClaimAttempt::InProgress),
        KeyAnswer::OtherRequest => ProblemKind::KeyReused,
        KeyAnswer::Full => ProblemKind::KeysFull,
        KeyAnswer::RanAnswerNotKept => ProblemKind::KeyAnswerNotKept,
        KeyAnswer::Unknown => ProblemKind::KeyOutcomeUnknown,
        // These answer no claim; nothing was sent.
        KeyAnswer::Granted | KeyAnswer::Settled | KeyAnswer::NotHolder => {
            ProblemKind::KeyNotClaimed
        }
    };
    Err(Problem::new(kind))
}
