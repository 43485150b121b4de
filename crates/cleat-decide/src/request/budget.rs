//! How many retries successes pay for.

use std::time::Duration;

use cleat_world::Retry;

use super::AttemptOutcome;
use crate::Protections;
use crate::spread::Spread;

/// One retry, in the unit of account.
const RETRY_COST: u64 = 10_000;
/// What a success pays for each percent of the budget.
const SUCCESS_PER_PERCENT: u64 = RETRY_COST / 100;
/// What every request pays, successful or not, so that a service without any
/// success still probes: one retry in a hundred requests.
const REQUEST_FLOOR: u64 = RETRY_COST / 100;
/// Retries allowed before any success.
const INITIAL_RETRIES: u64 = 3;
/// Retries that can be saved up.
const SAVED_RETRIES_MAX: u64 = 50;

/// Tokens for retries: a share of successes with a small floor.
///
/// Over any run of requests from the start, retries stay at or below
/// `3 + requests × (budget_percent + 1) / 100`.
#[derive(Debug)]
pub struct RetryBudget {
    /// Invariant: at most `SAVED_RETRIES_MAX × RETRY_COST`.
    tokens: u64,
    per_success: u64,
    spread: Spread,
    protections: Protections,
}

impl RetryBudget {
    /// The budget of a service that starts now.
    pub fn new(retry: &Retry, seed: u64) -> RetryBudget {
        RetryBudget::with_protections(retry, seed, Protections::ALL)
    }

    /// A budget with some protections off, for tests of the tests.
    #[doc(hidden)]
    pub fn with_protections(retry: &Retry, seed: u64, protections: Protections) -> RetryBudget {
        RetryBudget {
            tokens: INITIAL_RETRIES * RETRY_COST,
            per_success: retry.budget_percent * SUCCESS_PER_PERCENT,
            spread: Spread::new(seed, protections.spread),
            protections,
        }
    }

    /// Takes over new terms and keeps what was saved.
    pub fn reconfigure(&mut self, retry: &Retry) {
        self.per_success = retry.budget_percent * SUCCESS_PER_PERCENT;
    }

    pub(super) fn deposit(&mut self, attempt: &AttemptOutcome, attempts: u32) {
        let mut paid = 0;
        if attempts <= 1 {
            paid += REQUEST_FLOOR;
        }
        if attempt.is_success() {
            paid += self.per_success;
        }
        self.tokens = (self.tokens + paid).min(SAVED_RETRIES_MAX * RETRY_COST);
    }

    /// Pays for one retry, if the budget allows.
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

    pub(super) fn retry_after(&mut self) -> Duration {
        self.spread.jitter()
    }

    pub(super) fn protections(&self) -> &Protections {
        &self.protections
    }
}
