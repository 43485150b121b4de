//! The speed of one worker, as estimated from its runs.

use std::collections::VecDeque;
use std::time::Duration;

use super::evidence::MAX_RUN_SCORE;
use super::{MAX_SLOW_SPEED, SLOW_SCORE};
use crate::{Run, StepId, TaskId};

/// How long after a worker became slow it gets a first run as a probe. The run
/// is probably late if the worker is still slow, so a probe is not sent at
/// once; without probes the worker's capacity would be lost for good.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(4);
/// The time between two probes of a worker that remains slow.
const NEXT_PROBE_DELAY: Duration = Duration::from_secs(8);
/// How long a worker counts as slow without any run that shows it.
const MAX_SLOW_WITHOUT_RUNS: Duration = Duration::from_secs(60);
/// The time in which the score from ended runs loses half of its weight.
const SCORE_HALF_LIFE: Duration = Duration::from_secs(5);
/// The score at which other workers are preferred. One long step reaches it, so
/// that no further work goes to a slow worker until a second one decides. A
/// wrong suspicion costs little: the work goes to another worker with room.
const SUSPECT_SCORE: f64 = 2.0;
/// The lowest estimated speed. Runs that have not ended give an upper bound only.
const MIN_SPEED: f64 = 0.05;
/// The number of steps for which it is remembered what their runs on a worker
/// said.
const MAX_REMEMBERED_STEPS: usize = 8;

/// The runs of one step on a worker that have not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepScore {
    pub(super) step: StepId,
    /// The log-likelihood ratio of a slow worker to a normal one.
    pub(super) score: f64,
    /// Whether the runs were predicted from other runs of the step.
    pub(super) from_peers: bool,
}

/// The state of a worker that counts as slow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slow {
    pub(super) since: Duration,
    /// The estimated speed relative to a normal worker.
    pub(super) speed: f64,
    /// The last run that was started since, if it has not ended.
    pub(super) probe: Option<(TaskId, Run)>,
    pub(super) next_probe_at: Duration,
    /// When a run last started or ended on the worker.
    pub(super) last_run_at: Duration,
}

impl Slow {
    /// Whether a run may be started to find out whether the worker is still
    /// slow.
    pub(super) fn needs_probe(&self, now: Duration) -> bool {
        self.probe.is_none() && now >= self.next_probe_at
    }

    /// Records a run that is being started. Each run on a slow worker serves as
    /// a probe.
    pub(super) fn record_start(&mut self, run: (TaskId, Run), now: Duration) {
        self.probe = Some(run);
        self.next_probe_at = now + NEXT_PROBE_DELAY;
        self.last_run_at = now;
    }

    /// Lowers the estimate to what a run that has not ended allows.
    pub(super) fn limit_speed(&mut self, speed: f64) {
        self.speed = self.speed.min(speed).max(MIN_SPEED);
    }

    /// Whether nothing has run on the worker for so long that its speed is
    /// unknown.
    pub(super) fn is_outdated(&self, now: Duration) -> bool {
        now >= self.last_run_at + MAX_SLOW_WITHOUT_RUNS
    }
}

/// The estimate of one worker's speed.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerSpeed {
    /// The cumulative score of its ended runs (a CUSUM test): it never falls
    /// below 0, so that normal runs before a change do not hide the change.
    score: f64,
    scored_at: Duration,
    /// The scores of the latest steps that had runs here, included in `score`.
    steps: VecDeque<(StepId, f64)>,
    /// The sum of `score` and of the scores of its current runs.
    pub(super) total: f64,
    pub(super) slow: Option<Slow>,
}

impl WorkerSpeed {
    /// Adds the score of a run that ended. Runs of one step that are predicted
    /// from the same estimate count together as one observation, since one bad
    /// estimate makes all of them long.
    pub(super) fn add_ended(&mut self, step: StepId, score: f64, from_peers: bool, now: Duration) {
        let index = self.steps.iter().position(|(known, _)| *known == step);
        let known = index.and_then(|index| self.steps.remove(index));
        let known = known.map_or(0.0, |(_, score)| score);
        let updated = (known + score).clamp(-MAX_RUN_SCORE, max_step_score(from_peers).max(known));
        self.score = (self.score_at(now) + updated - known).clamp(0.0, 2.0 * SLOW_SCORE);
        self.scored_at = now;
        if self.steps.len() >= MAX_REMEMBERED_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back((step, updated));
    }

    /// The score of the ended runs, with the weight that it has at `now`.
    fn score_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.scored_at).as_secs_f64();
        self.score * 0.5_f64.powf(age / SCORE_HALF_LIFE.as_secs_f64())
    }

    /// Updates the total with the scores of the current runs, by step.
    pub(super) fn update_total(&mut self, running: &[StepScore], now: Duration) {
        let additional = running.iter().map(|of_step| {
            let ended = self.steps.iter().find(|(step, _)| *step == of_step.step);
            let ended = ended.map_or(0.0, |(_, score)| *score);
            // What speaks for the worker is part of the same observation. It may
            // be missing in `score`, which is never negative.
            let total = (ended + of_step.score).min(max_step_score(of_step.from_peers));
            (total - ended.max(0.0)).max(0.0)
        });
        self.total = self.score_at(now) + additional.sum::<f64>();
    }

    pub(super) fn is_slow_by_score(&self) -> bool {
        self.total >= SLOW_SCORE
    }

    /// Whether other workers are preferred as long as they have room.
    pub(super) fn is_suspect(&self) -> bool {
        self.total >= SUSPECT_SCORE
    }

    pub(super) fn set_slow(&mut self, speed: f64, now: Duration) {
        self.slow = Some(Slow {
            since: now,
            speed: speed.clamp(MIN_SPEED, MAX_SLOW_SPEED),
            probe: None,
            next_probe_at: now + FIRST_PROBE_DELAY,
            last_run_at: now,
        });
    }

    /// Forgets all evidence.
    pub(super) fn reset(&mut self) {
        *self = WorkerSpeed::default();
    }
}

/// The most that the runs of one step count. If the step's runs on other
/// workers show how long its tasks take, its runs are independent of the
/// estimate, and several together suffice.
fn max_step_score(from_peers: bool) -> f64 {
    if from_peers {
        SLOW_SCORE
    } else {
        MAX_RUN_SCORE
    }
}
