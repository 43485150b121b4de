//! The health of one target as one instance sees it.

use std::time::Duration;

use super::AttemptOutcome;
use crate::Protections;

/// Points of failures in a row that eject.
const POINTS_MAX: u32 = 12;
/// The points of a failure that is surely the target's.
const POINTS_FAILURE: u32 = 4;
/// The points of a try that its deadline ended early: mostly the fault of the
/// wait before it, unless it goes on.
const POINTS_SHORT_TIMEOUT: u32 = 1;
/// A timeout after less than this many times the usual latency is a short one.
const FAIR_TIMES: f64 = 2.0;
/// The share of failed tries that ejects, as a moving average.
const FAILED_SHARE_MAX: f64 = 0.5;
/// Tries before the share of failures counts.
const TRIES_MIN: u32 = 8;
/// The weight of one try in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// The first ejection; each further one doubles it.
const EJECTION_FIRST: Duration = Duration::from_secs(1);
const EJECTION_DOUBLINGS_MAX: u32 = 5;
/// Good time after which an ejection is forgotten, one each.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Successes that end the probation after an ejection.
const PROBATION_SUCCESSES: u32 = 5;
/// How long a new or returned target is warmed up.
const WARM_UP: Duration = Duration::from_secs(10);
const WARMTH_MIN_PERCENT: u128 = 10;
/// Time without a try in which a remembered latency halves, so that a target
/// that was slow is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);

/// What an instance knows of a target from its own tries.
#[derive(Debug, Clone)]
pub struct Health {
    warm_since: Duration,
    latency_us: f64,
    measured_at: Duration,
    failed_share: f64,
    tries: u32,
    /// Since the last success.
    points: u32,
    /// How often it was ejected lately.
    ejections: u32,
    ejected_until: Option<Duration>,
    /// Successes still to come before one failure no longer ejects.
    probation: u32,
    last_ejection_change: Duration,
    protections: Protections,
}

impl Health {
    /// A target that was not tried yet.
    pub fn new(now: Duration) -> Health {
        Health::with_protections(now, Protections::ALL)
    }

    /// A target watched with some protections off, for tests of the tests.
    #[doc(hidden)]
    pub fn with_protections(now: Duration, protections: Protections) -> Health {
        Health {
            warm_since: now,
            latency_us: 0.0,
            measured_at: now,
            failed_share: 0.0,
            tries: 0,
            points: 0,
            ejections: 0,
            ejected_until: None,
            probation: 0,
            last_ejection_change: now,
            protections,
        }
    }

    /// Accounts one try that took `latency`.
    pub fn record(&mut self, outcome: AttemptOutcome, latency: Duration, now: Duration) {
        let success = outcome.is_success();
        let short = self.is_short_timeout(outcome, latency);
        // A failure says nothing of the speed, unless it was a timeout: the
        // target that fails fastest must not look like the fastest.
        if success || (outcome == AttemptOutcome::TimedOut && !short) {
            self.measure(latency, now);
        }
        if self.is_ejected(now) {
            return;
        }
        self.forget(now);
        self.count(outcome, short);
        if self.is_failing() {
            self.eject(now);
        }
    }

    /// Whether the target should get no work.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.protections.ejection && self.ejected_until.is_some_and(|until| now < until)
    }

    /// When the present ejection ends, if there is one.
    pub fn ejected_until(&self, now: Duration) -> Option<Duration> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// How much of its usual work the target should get, 10 to 100.
    pub fn warm_up_percent(&self, now: Duration) -> u8 {
        let since = now.saturating_sub(self.warm_since).min(WARM_UP);
        let percent = since.as_micros() * 100 / WARM_UP.as_micros();
        u8::try_from(percent.max(WARMTH_MIN_PERCENT)).unwrap_or(100)
    }

    /// The remembered latency in microseconds, 0 if unknown.
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
        // A try that is slower than hoped confirms what was remembered.
        let before = if sample > decayed {
            self.latency_us
        } else {
            decayed
        };
        self.latency_us = before + (sample - before) * weight;
        self.measured_at = now;
    }

    fn is_short_timeout(&self, outcome: AttemptOutcome, latency: Duration) -> bool {
        let fair = self.latency_us * FAIR_TIMES;
        outcome == AttemptOutcome::TimedOut && latency.as_secs_f64() * 1e6 < fair
    }

    fn count(&mut self, outcome: AttemptOutcome, short: bool) {
        if short {
            self.points += POINTS_SHORT_TIMEOUT;
            return;
        }
        self.tries = self.tries.saturating_add(1);
        let success = outcome.is_success();
        let failed = if success { 0.0 } else { 1.0 };
        self.failed_share += (failed - self.failed_share) * AVERAGE_WEIGHT;
        if success {
            self.points = 0;
            self.probation = self.probation.saturating_sub(1);
        } else if !is_about_request(outcome) {
            self.points += POINTS_FAILURE;
        }
    }

    fn is_failing(&self) -> bool {
        let on_probation = self.probation > 0 && self.points >= POINTS_FAILURE;
        let often = self.tries >= TRIES_MIN && self.failed_share > FAILED_SHARE_MAX;
        on_probation || often || self.points >= POINTS_MAX
    }

    fn eject(&mut self, now: Duration) {
        let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
        let until = now + EJECTION_FIRST * (1 << doublings);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(until);
        self.last_ejection_change = until;
        self.warm_since = until;
        self.probation = PROBATION_SUCCESSES;
        self.points = 0;
        self.failed_share = 0.0;
        self.tries = 0;
    }

    /// Forgets one past ejection for each good stretch.
    fn forget(&mut self, now: Duration) {
        if self.ejections > 0 && now.saturating_sub(self.last_ejection_change) >= FORGET_AFTER {
            self.ejections -= 1;
            self.last_ejection_change = now;
        }
    }
}

/// A 500 may be the request's fault: it counts towards the share of failures
/// only, so that one caller's bad requests do not eject target after target.
fn is_about_request(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Answered { status: 500 })
}

fn saturating_u32(value: f64) -> u32 {
    // A float to integer cast saturates.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let value = value.round() as u32;
    value
}
