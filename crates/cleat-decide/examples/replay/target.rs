//! Fake targets: the outcome of an attempt and how long it takes.

use std::time::Duration;

use cleat_decide::AttemptOutcome;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::trace::Mode;

/// The network round trip.
const ROUND_TRIP: Duration = Duration::from_millis(2);
const FAILING_STATUS: u16 = 503;

/// The actual state of a target, which entries do not see.
#[derive(Debug)]
pub(crate) struct FakeTarget {
    pub(crate) name: Box<str>,
    pub(crate) slots: u32,
    pub(crate) service_ms: f64,
    pub(crate) mode: Mode,
    /// Whether entries may send new requests.
    pub(crate) known: bool,
    /// The attempts of all entries in progress.
    pub(crate) running: u32,
}

/// How an attempt will end, unless the target is killed or the deadline comes
/// first.
pub(crate) struct PlannedOutcome {
    pub(crate) outcome: AttemptOutcome,
    /// The time until the end of the attempt; `None` if it never ends.
    pub(crate) after: Option<Duration>,
}

impl FakeTarget {
    pub(crate) fn planned_outcome(&self, work: f64) -> PlannedOutcome {
        let service = Duration::from_secs_f64(self.service_ms * work / 1e3);
        let (outcome, after) = match self.mode {
            Mode::Up => (answered(200), Some(ROUND_TRIP + service)),
            Mode::Killed => (AttemptOutcome::NotSent, Some(ROUND_TRIP)),
            Mode::Failing => (answered(FAILING_STATUS), Some(ROUND_TRIP)),
            Mode::Cutting => (
                AttemptOutcome::ConnectionLost,
                Some(ROUND_TRIP + service / 2),
            ),
            Mode::Hanging => (AttemptOutcome::TimedOut, None),
        };
        PlannedOutcome { outcome, after }
    }
}

fn answered(status: u16) -> AttemptOutcome {
    AttemptOutcome::Answered { status }
}

/// The random service time of a request, as a factor of the usual one: half of it
/// is fixed, the other half exponentially distributed.
pub(crate) fn work_factor(rng: &mut StdRng) -> f64 {
    0.5 + 0.5 * exponential(rng)
}

/// A sample of the exponential distribution with mean 1.
pub(crate) fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
