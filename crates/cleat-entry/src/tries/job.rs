//! One request from admission to its answer.

use std::sync::Arc;

use http::Version;
use tokio::time::Instant;
use tracing::Instrument;

use super::Answer;
use super::detached::{Commitment, Detached};
use super::exchange::Terms;
use super::run::Tries;
use crate::control::Control;
use crate::entry::{Shared, WorkToken};
use crate::problem::{Problem, ProblemKind};
use crate::request::{Intake, Outgoing};
use crate::route::Route;
use crate::service::Slot;
use crate::trace::Trace;

/// A request that was read whole.
pub(crate) struct Job<C: Control> {
    pub(super) shared: Arc<Shared<C>>,
    pub(super) service: Box<str>,
    pub(super) route: Route,
    pub(super) caller: Box<str>,
    pub(super) key: Option<Box<str>>,
    pub(super) outgoing: Outgoing,
    pub(super) deadline: Instant,
    pub(super) idempotent: bool,
    pub(super) commitment: Commitment,
    version: Version,
    /// Whether the instance was in service when the request came. Only a
    /// request with a key gets here without: it may have run elsewhere.
    pub(super) in_service: bool,
    pub(super) trace: Trace,
    /// A draining entry waits for it, also when the caller is gone.
    _work: WorkToken,
}

impl<C: Control> Job<C> {
    pub(crate) fn new(
        shared: Arc<Shared<C>>,
        intake: Intake,
        body: bytes::Bytes,
        in_service: bool,
        trace: Trace,
    ) -> Job<C> {
        let outgoing = Outgoing::new(intake.method, intake.uri, intake.headers, body);
        Job {
            _work: shared.work_token(),
            shared,
            service: intake.service,
            route: intake.route,
            caller: intake.caller,
            key: intake.key,
            outgoing,
            deadline: intake.deadline,
            idempotent: intake.idempotent,
            commitment: Commitment::default(),
            version: intake.version,
            in_service,
            trace,
        }
    }

    /// As [`Job::run`], but what has to run to its end does so without its
    /// caller. Not `async`, so that the future is only ever in its box.
    pub(crate) fn detached(self) -> Detached<Result<Answer, Problem>> {
        let commitment = self.commitment.clone();
        Detached::new(Box::pin(self.run()), commitment)
    }

    /// Whether a second run does no harm.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Runs the request once.
    ///
    /// # Errors
    /// The final answer to the caller, if it is not a target's.
    pub(crate) async fn run(self) -> Result<Answer, Problem> {
        match &self.key {
            // Boxed, because it is large and seldom needed.
            Some(key) if !self.idempotent => Box::pin(self.run_keyed(key)).await,
            _ => {
                let slot = self.admit().await?;
                self.send(slot).await
            }
        }
    }

    /// Waits for a slot.
    pub(super) async fn admit(&self) -> Result<Slot, Problem> {
        let waited = || self.shared.note_wait();
        let admission = self.route.state.admit(&self.caller, self.deadline, waited);
        let slot = admission.instrument(self.trace.admitted()).await?;
        // The lease may have lapsed meanwhile.
        if !self.shared.control.in_service() {
            return Err(Problem::new(ProblemKind::NotInService));
        }
        Ok(slot)
    }

    /// Tries, beginning with `slot`.
    pub(super) async fn send(&self, slot: Slot) -> Result<Answer, Problem> {
        if !self.idempotent {
            self.commitment.commit();
        }
        let terms = &self.route.terms;
        let tries = Tries {
            terms: Terms {
                outgoing: &self.outgoing,
                connect: self.shared.connect_terms(),
                answer_limit: terms.answer_buffer_bytes,
                memory: &self.shared.answer_memory,
                deadline: self.deadline,
                trace: &self.trace,
            },
            idempotent: self.idempotent,
            tries_max: u32::try_from(terms.retry.tries).unwrap_or(u32::MAX),
            version: self.version,
            counters: &self.shared.counters,
            ticker: &self.shared.waiting,
        };
        tries.run(slot).await
    }
}
