//! The periodic examination of runs that have not ended.

use super::evidence::{Prediction, Spread};
use super::worker::StepScore;
use super::{
    EVALUATION_INTERVAL, MAX_SLOW_SPEED, RunResidual, WORKERS_PER_SLOW_WORKER, WorkerSpeedState,
};
use crate::StepId;
use crate::collections::IndexMap;
use crate::schedule::Scheduler;
use crate::schedule::attempt::{Attempt, Phase};
use crate::schedule::worker::{WorkerKey, WorkerState};

/// The runs of one step that have not ended.
struct RunningStep {
    /// The spread of the step's queue.
    spread: Spread,
    runs: Vec<RunResidual>,
}

/// What the runs that have not ended say about their worker.
#[derive(Debug, Default)]
struct RunningEvidence {
    scores: Vec<StepScore>,
    /// How much longer than predicted the runs have taken, as natural
    /// logarithms, for those that have.
    excesses: Vec<f64>,
}

/// The scores of the runs of one step on one worker.
#[derive(Default)]
struct RunScores {
    sum: f64,
    max: f64,
    from_peers: bool,
}

/// A worker whose runs show that it is slow.
struct SlowCandidate {
    key: WorkerKey,
    score: f64,
    speed: f64,
}

impl Scheduler {
    /// Examines the runs that have not ended, and updates which workers are
    /// slow.
    pub(in crate::schedule) fn update_speeds(&mut self) {
        let interval = self.now.saturating_sub(self.speeds.evaluated_at);
        if !self.cfg.features.worker_speed || interval < EVALUATION_INTERVAL {
            return;
        }
        self.speeds.evaluated_at = self.now;
        self.drop_ended_runs();
        self.reset_unknown_workers();
        let mut evidence = IndexMap::default();
        for (step, running) in &self.running_steps() {
            self.score_step(*step, running, &mut evidence);
        }
        let mut candidates = self.update_workers(evidence);
        candidates.sort_by(|a, b| b.score.total_cmp(&a.score));
        for SlowCandidate { key, speed, .. } in candidates {
            if self.may_be_slow(key) {
                self.set_slow(key, speed);
            }
        }
        let workers = self.speeds.workers.iter();
        let slow = workers.filter(|(_, worker)| worker.slow.is_some());
        let pools = slow.map(|(key, _)| self.workers[*key].record.pool.clone());
        self.speeds.pools_with_slow_workers = pools.collect();
    }

    /// Updates the score of each worker and the speed of those that are slow.
    /// Returns the other workers whose runs show that they are slow.
    fn update_workers(
        &mut self,
        mut evidence: IndexMap<WorkerKey, RunningEvidence>,
    ) -> Vec<SlowCandidate> {
        let mut candidates = Vec::new();
        for (key, worker) in &mut self.speeds.workers {
            let of_worker = evidence.entry(*key).or_default();
            worker.update_total(&of_worker.scores, self.now);
            self.workers[*key].suspected_slow = worker.is_suspect();
            let speed = speed_from(&mut of_worker.excesses);
            if let Some(slow) = &mut worker.slow {
                slow.limit_speed(speed.unwrap_or(1.0));
            } else if worker.is_slow_by_score()
                && let Some(speed) = speed.filter(|speed| *speed <= MAX_SLOW_SPEED)
            {
                candidates.push(SlowCandidate {
                    key: *key,
                    score: worker.total,
                    speed,
                });
            }
        }
        candidates
    }

    /// Drops the runs that ended or were lost, and the steps that ended.
    fn drop_ended_runs(&mut self) {
        let mut runs = std::mem::take(&mut self.speeds.runs);
        runs.retain(|(task, run), _| {
            let known = self.known_run(*task, *run);
            known.is_some_and(Attempt::uses_capacity)
        });
        self.speeds.runs = runs;
        let steps = &self.steps;
        self.speeds.ended.retain(|step, _| steps.contains_key(step));
        let runs = &self.speeds.runs;
        for worker in self.speeds.workers.values_mut() {
            if let Some(slow) = &mut worker.slow {
                slow.probe = slow.probe.filter(|run| runs.contains_key(run));
            }
        }
    }

    /// Drops the workers that are gone, and resets the slow workers on which
    /// nothing has run for so long that their speed is unknown.
    fn reset_unknown_workers(&mut self) {
        let is_gone = |key: WorkerKey| {
            let worker = &self.workers[key];
            worker.state == WorkerState::Gone || self.workers.key(&worker.record.name) != Some(key)
        };
        let mut resets = Vec::new();
        for (key, worker) in &self.speeds.workers {
            if is_gone(*key) {
                resets.push((*key, WorkerSpeedState::Gone));
            } else if worker.slow.is_some_and(|slow| slow.is_outdated(self.now)) {
                resets.push((*key, WorkerSpeedState::Normal));
            }
        }
        for (key, state) in resets {
            self.set_normal_speed(key, state);
            if state == WorkerSpeedState::Gone {
                self.speeds.workers.swap_remove(&key);
            }
        }
    }

    /// The runs that have not ended, by step, each with the time up to the
    /// latest answer of its worker.
    fn running_steps(&self) -> IndexMap<StepId, RunningStep> {
        let mut running: IndexMap<StepId, RunningStep> = IndexMap::default();
        for ((task, run), observed) in &self.speeds.runs {
            let attempt = self.known_run(*task, *run);
            if !attempt.is_some_and(|at| matches!(at.phase, Phase::Running { .. })) {
                continue;
            }
            // Whatever happened after the latest answer is unknown.
            let Some(answered_at) = self.workers[observed.worker].answered_at else {
                continue;
            };
            if observed.rack_local && self.is_spread_over_racks(task.step) {
                continue;
            }
            let residual = observed.residual(answered_at.saturating_sub(observed.started_at));
            if residual > 0.0 || self.speeds.ended.contains_key(&task.step) {
                let of_step = running.entry(task.step).or_insert_with(|| RunningStep {
                    spread: self.speeds.spread(&observed.queue.name),
                    runs: Vec::new(),
                });
                of_step.runs.push(RunResidual {
                    worker: observed.worker,
                    residual,
                });
            }
        }
        running
    }

    /// Scores the runs of a step that have not ended. Runs on other workers
    /// that take longer than predicted count as peers: if all tasks of the step
    /// do, their estimate is bad.
    fn score_step(
        &self,
        step: StepId,
        running: &RunningStep,
        evidence: &mut IndexMap<WorkerKey, RunningEvidence>,
    ) {
        let mut of_step: IndexMap<WorkerKey, RunScores> = IndexMap::default();
        for RunResidual { worker, residual } in &running.runs {
            let long = running.runs.iter().filter(|other| {
                other.worker != *worker && other.residual > 0.0 && !self.is_slow(other.worker)
            });
            let ended = self.speeds.ended_elsewhere(step, *worker);
            let peers = ended.chain(long.map(|other| other.residual));
            let prediction = Prediction::new(running.spread, peers);
            let score = prediction.score_running(*residual);
            let scores = of_step.entry(*worker).or_default();
            scores.sum += score;
            scores.max = score.max(scores.max);
            scores.from_peers = prediction.from_peers;
            if *residual > prediction.mean {
                let of_worker = evidence.entry(*worker).or_default();
                of_worker.excesses.push(residual - prediction.mean);
            }
        }
        for (key, scores) in of_step {
            let from_peers = scores.from_peers;
            // Runs that are predicted from the same estimate are one observation.
            let score = if from_peers { scores.sum } else { scores.max };
            evidence.entry(key).or_default().scores.push(StepScore {
                step,
                score,
                from_peers,
            });
        }
    }

    /// Whether one more worker of the pool of this one may count as slow.
    fn may_be_slow(&self, key: WorkerKey) -> bool {
        let pool = &self.workers[key].record.pool;
        let answering = self.workers.in_pool(pool).filter(|(_, w)| w.answers());
        let (mut workers, mut slow) = (0, 0);
        for (key, _) in answering {
            workers += 1;
            slow += usize::from(self.is_slow(key));
        }
        workers > 1 && slow < (workers / WORKERS_PER_SLOW_WORKER).max(1)
    }

    fn set_slow(&mut self, key: WorkerKey, speed: f64) {
        let worker = self.speeds.workers.entry(key).or_default();
        worker.set_slow(speed, self.now);
        self.workers[key].slow = true;
        self.log_speed(key, WorkerSpeedState::Slow);
    }
}

/// The speed at which the median of these runs would take as long as predicted,
/// given the natural logarithms of how much longer they have taken.
fn speed_from(excesses: &mut [f64]) -> Option<f64> {
    excesses.sort_by(f64::total_cmp);
    let median = excesses.get(excesses.len() / 2)?;
    Some((-median).exp())
}
