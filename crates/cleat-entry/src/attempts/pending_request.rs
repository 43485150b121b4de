//! One request, from admission to its response.

use std::sync::Arc;

use http::Version;
use tokio::time::Instant;
use tracing::Instrument;

use super::TargetResponse;
use super::attempt_loop::AttemptLoop;
use super::detached::{Commitment, Detached};
use super::exchange::AttemptOptions;
use crate::control::Control;
use crate::entry::{SharedState, WorkToken};
use crate::problem::{Problem, ProblemKind};
use crate::request::{OutgoingRequest, ValidatedRequest};
use crate::route::Route;
use crate::service::Slot;
use crate::trace::Trace;

/// A request that was read completely.
pub(crate) struct PendingRequest<C: Control> {
    pub(super) shared: Arc<SharedState<C>>,
    pub(super) service: Box<str>,
    pub(super) route: Route,
    pub(super) caller: Box<str>,
    pub(super) key: Option<Box<str>>,
    pub(super) outgoing: OutgoingRequest,
    pub(super) deadline: Instant,
    pub(super) idempotent: bool,
    pub(super) commitment: Commitment,
    version: Version,
    /// Whether the instance was in service when the request arrived. Requests
    /// without a key were rejected otherwise; one with a key may have run on
    /// another instance, so its key is looked up first.
    pub(super) in_service: bool,
    pub(super) trace: Trace,
    /// A draining entry waits for the request, even if its caller disconnects.
    _work: WorkToken,
}

impl<C: Control> PendingRequest<C> {
    pub(crate) fn new(
        shared: Arc<SharedState<C>>,
        validated: ValidatedRequest,
        body: bytes::Bytes,
        in_service: bool,
        trace: Trace,
    ) -> PendingRequest<C> {
        let outgoing =
            OutgoingRequest::new(validated.method, validated.uri, validated.headers, body);
        PendingRequest {
            _work: shared.work_token(),
            shared,
            service: validated.service,
            route: validated.route,
            caller: validated.caller,
            key: validated.key,
            outgoing,
            deadline: validated.deadline,
            idempotent: validated.idempotent,
            commitment: Commitment::default(),
            version: validated.version,
            in_service,
            trace,
        }
    }

    /// Like [`PendingRequest::run`], but work that must run to completion does
    /// so even if the caller disconnects. Not `async`, so that the future only
    /// exists in its box.
    pub(crate) fn detached(self) -> Detached<Result<TargetResponse, Problem>> {
        let commitment = self.commitment.clone();
        Detached::new(Box::pin(self.run()), commitment)
    }

    /// Whether the request may run twice without harm.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Runs the request.
    ///
    /// # Errors
    /// The final response to the caller, if it is not a response of a target.
    pub(crate) async fn run(self) -> Result<TargetResponse, Problem> {
        match &self.key {
            // Boxed, because the future is large and rarely needed.
            Some(key) if !self.idempotent => Box::pin(self.run_keyed(key)).await,
            _ => {
                let slot = self.admit().await?;
                self.send(slot).await
            }
        }
    }

    /// Waits for a slot.
    pub(super) async fn admit(&self) -> Result<Slot, Problem> {
        let waited = || self.shared.record_wait();
        let admission = self.route.state.admit(&self.caller, self.deadline, waited);
        let slot = admission.instrument(self.trace.admission_span()).await?;
        // The lease may have expired in the meantime.
        if !self.shared.control.in_service() {
            return Err(Problem::new(ProblemKind::NotInService));
        }
        Ok(slot)
    }

    /// Makes attempts, the first one with `slot`.
    pub(super) async fn send(&self, slot: Slot) -> Result<TargetResponse, Problem> {
        if !self.idempotent {
            self.commitment.commit();
        }
        let config = &self.route.config;
        let attempt_loop = AttemptLoop {
            options: AttemptOptions {
                outgoing: &self.outgoing,
                connect: self.shared.connect_options(),
                response_limit: config.answer_buffer_bytes,
                memory: &self.shared.response_memory,
                deadline: self.deadline,
                trace: &self.trace,
            },
            idempotent: self.idempotent,
            max_attempts: u32::try_from(config.retry.tries).unwrap_or(u32::MAX),
            version: self.version,
            counters: &self.shared.counters,
            waiter_added: &self.shared.waiter_added,
        };
        attempt_loop.run(slot).await
    }
}
