//! The retry budget: how many retries a service may make, earned by successful
//! attempts.

use std::time::Duration;

use cleat_world::Retry;

use super::AttemptOutcome;
use crate::Protections;
use crate::retry_jitter::RetryJitter;

/// The cost of one retry, in tokens of the budget. Divisible by 100, so that one
/// percent of it is a whole number of tokens.
const RETRY_COST: u64 = 10_000;
/// The tokens that each successful attempt earns for each percent of the setting
/// `budget_percent`.
const SUCCESS_PER_PERCENT: u64 = RETRY_COST / 100;
/// The tokens that every request earns, successful or not: one retry for each
/// hundred requests, so that a service without any success still tries its other
/// targets now and then.
const REQUEST_FLOOR: u64 = RETRY_COST / 100;
/// The number of retries that a new budget allows before it has earned any tokens.
const INITIAL_RETRIES: u64 = 3;
/// The maximum number of retries that can be saved up, and thus made in a burst.
const SAVED_RETRIES_MAX: u64 = 50;

/// A token bucket that limits retries to a percentage of successful attempts,
/// plus a small minimum.
///
/// Counted from the start, retries stay at or below
/// `3 + requests × (budget_percent + 1) / 100`.
#[derive(Debug)]
pub struct RetryBudget {
    /// Invariant: at most `SAVED_RETRIES_MAX × RETRY_COST`.
    tokens: u64,
    per_success: u64,
    retry_jitter: RetryJitter,
    protections: Protections,
}

impl RetryBudget {
    /// The budget of a service that starts now.
    pub fn new(retry: &Retry, seed: u64) -> RetryBudget {
        RetryBudget::with_protections(retry, seed, Protections::ALL)
    }

    /// A budget with some protections disabled, for tests which show that a check
    /// fails when a protection is missing.
    #[doc(hidden)]
    pub fn with_protections(retry: &Retry, seed: u64, protections: Protections) -> RetryBudget {
        RetryBudget {
            tokens: INITIAL_RETRIES * RETRY_COST,
            per_success: retry.budget_percent * SUCCESS_PER_PERCENT,
            retry_jitter: RetryJitter::new(seed, protections.retry_jitter),
            protections,
        }
    }

    /// Applies new settings and keeps the saved tokens.
    pub fn reconfigure(&mut self, retry: &Retry) {
        self.per_success = retry.budget_percent * SUCCESS_PER_PERCENT;
    }

    /// Adds the tokens that an attempt earns: the minimum if it is the first of
    /// its request, and the tokens of a success if it succeeded.
    pub(super) fn deposit(&mut self, attempt: &AttemptOutcome, attempts: u32) {
        let mut earned = 0;
        if attempts <= 1 {
            earned += REQUEST_FLOOR;
        }
        if attempt.is_success() {
            earned += self.per_success;
        }
        self.tokens = (self.tokens + earned).min(SAVED_RETRIES_MAX * RETRY_COST);
    }

    /// Withdraws the cost of one retry. Returns whether the budget allows it.
    pub(super) fn withdraw(&mut self) -> bool {
        if !self.protections.retry_budget {
            return true;
        }
        match self.tokens.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.tokens = rest;
                true
            }
            None => false,
        }
    }

    /// The retry-after time to report to a caller whose request did not run.
    pub(super) fn retry_after(&mut self) -> Duration {
        self.retry_jitter.jitter()
    }

    pub(super) fn protections(&self) -> &Protections {
        &self.protections
    }
}
