//! The constants of the decisions, with defaults.

use std::time::Duration;

use crate::fit::Policy;
use crate::protections::Protections;

/// What a placement is told at construction.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// How a worker is chosen among those that fit.
    pub policy: Policy,
    /// How long a worker runs its tasks without an answered report.
    pub lease: Duration,
    /// Added to `lease` before a task counts as lost: the drift of clocks.
    pub lease_margin: Duration,
    /// A worker silent for this long gets no new work.
    pub suspect_after: Duration,
    /// When an unanswered call is made again.
    pub resend_after: Duration,
    /// A checkpoint not done by then becomes a stop.
    pub checkpoint_within: Duration,
    /// Work that a checkpoint, a stop and a new start cost besides.
    pub move_overhead: Duration,
    /// The first tasks of a class get this many times their declared memory
    /// until they report what they use: no memory is shared out on trust.
    pub distrust: u32,
    /// A normal job that waited this long for that is given what it declares.
    pub trust_after: Duration,
    /// A job that waited this long for room gets the next room on one worker.
    pub hold_after: Duration,
    /// The longest wait that a compaction may claim to save.
    pub longest_gain: Duration,
    /// How long before `empty_by` what is left on a worker is stopped.
    pub stop_before_empty: Duration,
    /// How many calls that nobody waits for are made in one tick.
    pub calls_per_tick: usize,
    /// How many jobs at the head of a team's queue are tried in one tick.
    pub tried_per_team: usize,
    /// A job that failed on this many workers is parked.
    pub bad_job_workers: usize,
    /// A worker that failed this many jobs is quarantined.
    pub bad_worker_jobs: usize,
    /// The largest share of the workers in quarantine, in percent; one worker
    /// may always be.
    pub quarantine_percent: usize,
    /// How long the other jobs of a class keep away from a worker on which one
    /// failed.
    pub avoid_for: Duration,
    /// The first quarantine; each further one is twice as long.
    pub quarantine_for: Duration,
    /// The first parking; each further one is twice as long.
    pub park_for: Duration,
    /// The first backoff after a failure; each further one is twice as long.
    pub backoff: Duration,
    #[doc(hidden)]
    pub protections: Protections,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            policy: Policy::BestFit,
            lease: Duration::from_secs(15),
            lease_margin: Duration::from_secs(1),
            suspect_after: Duration::from_secs(5),
            resend_after: Duration::from_secs(2),
            checkpoint_within: Duration::from_secs(3),
            move_overhead: Duration::from_secs(20),
            distrust: 4,
            trust_after: Duration::from_secs(60),
            hold_after: Duration::from_secs(300),
            longest_gain: Duration::from_secs(600),
            stop_before_empty: Duration::from_secs(10),
            calls_per_tick: 64,
            tried_per_team: 8,
            bad_job_workers: 3,
            bad_worker_jobs: 3,
            quarantine_percent: 10,
            avoid_for: Duration::from_secs(60),
            quarantine_for: Duration::from_secs(300),
            park_for: Duration::from_secs(600),
            backoff: Duration::from_secs(2),
            protections: Protections::ALL,
        }
    }
}
