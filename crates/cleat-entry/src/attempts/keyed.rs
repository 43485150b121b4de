//! Requests with an idempotency key, which run at most once.

use std::sync::Arc;
use std::time::Duration;

use cleat_world::{ClaimKey, KeyTable, Settlement};
use tokio::time::Instant;
use tracing::Instrument;

use super::claim::{Claim, ClaimRequest};
use super::{PendingRequest, RejectedRequest, TargetResponse};
use crate::control::Control;
use crate::headers::Outcome;
use crate::problem::{Problem, ProblemKind};
use crate::request::digest;

/// How much longer than the remaining time of its request a claim is held.
const HOLD_MARGIN: Duration = Duration::from_secs(2);

impl<C: Control> PendingRequest<C> {
    /// Claims the key, runs the request and settles the claim.
    pub(super) async fn run_keyed(&self, key: &str) -> Result<TargetResponse, Problem> {
        if !self.in_service {
            return self.reject(key, ProblemKind::NotInService).await;
        }
        self.commitment.commit();
        self.shared.counters.claims.incr();
        let claim = self
            .claim_request(key)
            .run()
            .instrument(self.trace.claim_span());
        let mut guard = match claim.await? {
            Claim::Granted(guard) => guard,
            Claim::Undecided(kind) => return self.reject(key, kind).await,
            Claim::Ran(stored) => {
                self.shared.counters.replayed.incr();
                return Ok(TargetResponse::Replayed(stored));
            }
        };
        // On a refusal, the guard is dropped, which settles the claim as not
        // run.
        let slot = self.admit().await?;
        guard.mark_sent();
        let result = self.send(slot).await;
        guard.settle(self.settlement(&result)).await;
        result
    }

    /// The final response to a request whose claim is undecided.
    async fn reject(&self, key: &str, kind: ProblemKind) -> Result<TargetResponse, Problem> {
        let rejected = RejectedRequest {
            key: &self.scoped(key),
            digest: Some(self.digest()),
            deadline: self.deadline,
        };
        rejected.respond(&self.shared, Problem::new(kind)).await
    }

    fn claim_request(&self, key: &str) -> ClaimRequest<C> {
        ClaimRequest {
            control: Arc::clone(&self.shared.control),
            held_keys: Arc::clone(&self.shared.held_keys),
            claim: self.claim(key),
            retention: Duration::from_secs(self.shared.key_terms().retention_s),
            deadline: self.deadline,
        }
    }

    fn claim(&self, key: &str) -> ClaimKey {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let hold = left + HOLD_MARGIN;
        ClaimKey {
            key: self.scoped(key),
            digest: self.digest(),
            entry: self.shared.cfg.name.clone(),
            incarnation: self.shared.cfg.incarnation,
            number: self.shared.next_claim_number(),
            settle_timeout_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn scoped(&self, key: &str) -> Box<str> {
        KeyTable::scoped(&self.service, &self.caller, key)
    }

    fn digest(&self) -> u64 {
        let outgoing = &self.outgoing;
        let path = outgoing.uri.path().as_bytes();
        let query = outgoing.uri.query().unwrap_or_default().as_bytes();
        let method = outgoing.method.as_str().as_bytes();
        digest(&[method, path, query, &outgoing.body])
    }

    fn settlement(&self, result: &Result<TargetResponse, Problem>) -> Settlement {
        let limit = self.shared.key_terms().max_answer_bytes;
        match result {
            Ok(answer) => match answer.stored(limit) {
                Some(stored) => Settlement::Ran(stored),
                None => Settlement::RanAnswerNotKept,
            },
            Err(problem) if problem.kind.outcome() == Outcome::NotRun => Settlement::NotRun,
            Err(_) => Settlement::Unknown,
        }
    }
}
