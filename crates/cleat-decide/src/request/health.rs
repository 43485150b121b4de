//! The health of a target as observed by one instance.

use std::time::Duration;

use super::AttemptOutcome;
use crate::Protections;

/// The score of consecutive failures at which a target is ejected.
const SCORE_MAX: u32 = 12;
/// The score of a failure that is certainly the target's fault.
const SCORE_FAILURE: u32 = 4;
/// The score of an attempt that timed out after little time. Such a timeout is
/// usually caused by a long wait before the attempt and not by the target, so only
/// a series of them ejects the target.
const SCORE_SHORT_TIMEOUT: u32 = 1;
/// A timeout after less than this multiple of the usual latency is a short one.
const SHORT_TIMEOUT_MULTIPLE: f64 = 2.0;
/// The failure rate, as a moving average, above which a target is ejected.
const FAILURE_RATE_MAX: f64 = 0.5;
/// The minimum number of attempts before the failure rate counts.
const ATTEMPTS_MIN: u32 = 8;
/// The weight of one attempt in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// The duration of the first ejection. It doubles with each further one, up to
/// [`EJECTION_DOUBLINGS_MAX`] times.
const EJECTION_FIRST: Duration = Duration::from_secs(1);
const EJECTION_DOUBLINGS_MAX: u32 = 5;
/// One past ejection is forgotten for each period of this length without a new
/// one.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// The number of successes that end the probation after an ejection.
const PROBATION_SUCCESSES: u32 = 5;
/// How long a target warms up when it is new or was ejected.
const WARM_UP: Duration = Duration::from_secs(10);
const WARM_UP_MIN_PERCENT: u128 = 10;
/// The time in which the recorded latency halves while there are no attempts, so
/// that a target that was slow is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);

/// What an instance knows about a target from its own attempts.
#[derive(Debug, Clone)]
pub struct Health {
    warm_up_since: Duration,
    latency_us: f64,
    measured_at: Duration,
    failure_rate: f64,
    attempts: u32,
    /// The score of the failures since the last success.
    failure_score: u32,
    /// The number of recent ejections.
    ejections: u32,
    ejected_until: Option<Duration>,
    /// The number of successes until the probation ends. During the probation a
    /// single failure ejects the target.
    probation: u32,
    last_ejection_change: Duration,
    protections: Protections,
}

impl Health {
    /// A target without any attempts.
    pub fn new(now: Duration) -> Health {
        Health::with_protections(now, Protections::ALL)
    }

    /// A target with some protections disabled, for tests which show that a check
    /// fails when a protection is missing.
    #[doc(hidden)]
    pub fn with_protections(now: Duration, protections: Protections) -> Health {
        Health {
            warm_up_since: now,
            latency_us: 0.0,
            measured_at: now,
            failure_rate: 0.0,
            attempts: 0,
            failure_score: 0,
            ejections: 0,
            ejected_until: None,
            probation: 0,
            last_ejection_change: now,
            protections,
        }
    }

    /// Records an attempt that took `latency`.
    pub fn record(&mut self, outcome: AttemptOutcome, latency: Duration, now: Duration) {
        let success = outcome.is_success();
        let short = self.is_short_timeout(outcome, latency);
        // A failure says nothing about latency, unless it was a timeout: a target
        // that fails quickly must not look like a fast one.
        if success || (outcome == AttemptOutcome::TimedOut && !short) {
            self.measure(latency, now);
        }
        if self.is_ejected(now) {
            return;
        }
        self.forget_ejection(now);
        self.score(outcome, short);
        if self.is_failing() {
            self.eject(now);
        }
    }

    /// Whether the target should get no requests.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.protections.ejection && self.ejected_until.is_some_and(|until| now < until)
    }

    /// The end of the current ejection, if there is one.
    pub fn ejected_until(&self, now: Duration) -> Option<Duration> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// The percentage of its normal load that the target should get, 10 to 100.
    pub fn warm_up_percent(&self, now: Duration) -> u8 {
        let since = now.saturating_sub(self.warm_up_since).min(WARM_UP);
        let percent = since.as_micros() * 100 / WARM_UP.as_micros();
        u8::try_from(percent.max(WARM_UP_MIN_PERCENT)).unwrap_or(100)
    }

    /// The recorded latency in microseconds; 0 if unknown.
    pub fn latency_us(&self, now: Duration) -> u32 {
        let idle = now.saturating_sub(self.measured_at);
        let halvings = idle.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        saturating_u32(self.latency_us * (-halvings).exp2())
    }

    fn measure(&mut self, latency: Duration, now: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        let weight = if self.latency_us > 0.0 {
            AVERAGE_WEIGHT
        } else {
            1.0
        };
        let decayed = f64::from(self.latency_us(now));
        // An attempt slower than the decayed latency confirms the recorded one.
        let before = if sample > decayed {
            self.latency_us
        } else {
            decayed
        };
        self.latency_us = before + (sample - before) * weight;
        self.measured_at = now;
    }

    fn is_short_timeout(&self, outcome: AttemptOutcome, latency: Duration) -> bool {
        let short = self.latency_us * SHORT_TIMEOUT_MULTIPLE;
        outcome == AttemptOutcome::TimedOut && latency.as_secs_f64() * 1e6 < short
    }

    fn score(&mut self, outcome: AttemptOutcome, short: bool) {
        if short {
            self.failure_score += SCORE_SHORT_TIMEOUT;
            return;
        }
        self.attempts = self.attempts.saturating_add(1);
        let success = outcome.is_success();
        let failed = if success { 0.0 } else { 1.0 };
        self.failure_rate += (failed - self.failure_rate) * AVERAGE_WEIGHT;
        if success {
            self.failure_score = 0;
            self.probation = self.probation.saturating_sub(1);
        } else if !may_be_caused_by_request(outcome) {
            self.failure_score += SCORE_FAILURE;
        }
    }

    fn is_failing(&self) -> bool {
        let on_probation = self.probation > 0 && self.failure_score >= SCORE_FAILURE;
        let over_rate = self.attempts >= ATTEMPTS_MIN && self.failure_rate > FAILURE_RATE_MAX;
        on_probation || over_rate || self.failure_score >= SCORE_MAX
    }

    fn eject(&mut self, now: Duration) {
        let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
        let until = now + EJECTION_FIRST * (1 << doublings);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(until);
        self.last_ejection_change = until;
        self.warm_up_since = until;
        self.probation = PROBATION_SUCCESSES;
        self.failure_score = 0;
        self.failure_rate = 0.0;
        self.attempts = 0;
    }

    /// Forgets one past ejection after [`FORGET_AFTER`] without a new one.
    fn forget_ejection(&mut self, now: Duration) {
        if self.ejections > 0 && now.saturating_sub(self.last_ejection_change) >= FORGET_AFTER {
            self.ejections -= 1;
            self.last_ejection_change = now;
        }
    }
}

/// A status of 500 may be the request's fault. It counts towards the failure rate
/// only, so that one caller's bad requests do not eject target after target.
fn may_be_caused_by_request(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Answered { status: 500 })
}

fn saturating_u32(value: f64) -> u32 {
    // Casting a float to an integer saturates.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let value = value.round() as u32;
    value
}
