//! Claiming an idempotency key before the first send.

use std::sync::Arc;
use std::time::Duration;

use cleat_world::{ClaimKey, KeyAnswer, StoredAnswer};
use tokio::time::{Instant, sleep, timeout_at};

use super::in_hand::{KeysInHand, Refused};
use super::settle::Claimed;
use crate::control::{ClaimError, Control};
use crate::problem::{Problem, ProblemKind};

/// Between looks at a key that another request holds.
const POLL_FIRST: Duration = Duration::from_millis(10);
const POLL_MAX: Duration = Duration::from_millis(250);

/// What became of a claim.
pub(super) enum Claim<C: Control> {
    /// The request may be sent.
    Granted(Claimed<C>),
    /// It ran before; this was the answer.
    Ran(StoredAnswer),
    /// Nothing of this request was sent, but whether an earlier send of it ran
    /// is not known.
    Undecided(ProblemKind),
}

/// What claiming needs.
pub(super) struct Claimer<C: Control> {
    pub(super) control: Arc<C>,
    pub(super) keys: Arc<KeysInHand>,
    pub(super) claim: ClaimKey,
    /// How long keys are remembered.
    pub(super) keep: Duration,
    pub(super) deadline: Instant,
}

/// One look at a key.
enum Look<C: Control> {
    Done(Claim<C>),
    InProgress,
}

impl<C: Control> Claimer<C> {
    /// Claims until the deadline.
    ///
    /// # Errors
    /// The final answer to the caller.
    pub(super) async fn run(self) -> Result<Claim<C>, Problem> {
        let mut poll = POLL_FIRST;
        loop {
            if let Look::Done(claim) = self.look().await? {
                return Ok(claim);
            }
            if Instant::now() + poll >= self.deadline {
                // Nothing is gained by the time that is left.
                return Err(Problem::new(ProblemKind::KeyInProgress));
            }
            sleep(poll).await;
            poll = (poll * 2).min(POLL_MAX);
        }
    }

    async fn look(&self) -> Result<Look<C>, Problem> {
        let in_hand = match self.keys.take(&self.claim.key) {
            Ok(in_hand) => in_hand,
            Err(Refused::Held) => return Ok(Look::InProgress),
            Err(Refused::Full) => return Ok(undecided(ProblemKind::KeysFull)),
        };
        // Settled as not run if it is dropped before the answer is known.
        let control = Arc::clone(&self.control);
        let mut claimed = Claimed::new(control, &self.claim, self.keep, in_hand);
        let answer = timeout_at(self.deadline, self.control.claim(self.claim.clone())).await;
        match answer.unwrap_or(Err(ClaimError::OutcomeUnknown)) {
            Ok(KeyAnswer::Granted) => Ok(Look::Done(Claim::Granted(claimed))),
            Ok(other) => {
                claimed.forget();
                existing(other)
            }
            Err(ClaimError::NotClaimed) => {
                claimed.forget();
                Ok(undecided(ProblemKind::KeyNotClaimed))
            }
            Err(ClaimError::OutcomeUnknown) => {
                if claimed.take_back(self.deadline).await {
                    return Err(Problem::new(ProblemKind::KeyNotClaimed));
                }
                Ok(undecided(ProblemKind::KeyNotClaimed))
            }
        }
    }
}

fn undecided<C: Control>(kind: ProblemKind) -> Look<C> {
    Look::Done(Claim::Undecided(kind))
}

/// What an earlier claim of the key means for this request.
fn existing<C: Control>(answer: KeyAnswer) -> Result<Look<C>, Problem> {
    let kind = match answer {
        KeyAnswer::Ran(stored) => return Ok(Look::Done(Claim::Ran(stored))),
        KeyAnswer::InProgress { .. } => return Ok(Look::InProgress),
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
