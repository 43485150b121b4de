//! The periodic examination of runs that have not ended.

use indexmap::IndexMap;

use super::evidence::{Prediction, Spread};
use super::{
    EVALUATION_INTERVAL, MAX_SLOW_SPEED, Residual, WORKERS_PER_SLOW_WORKER, WorkerSpeedState,
};
use crate::StepId;
use crate::schedule::Scheduler;
use crate::schedule::attempt::{Attempt, Phase};
use crate::schedule::worker::{WorkerKey, WorkerState};

impl Scheduler {
    /// Examines the runs that have not ended, and updates which workers are
    /// slow.
    pub(in crate::schedule) fn update_speeds(&mut self) {
        let interval = self.now.saturating_sub(self.speeds.evaluated_at);
        if !self.cfg.features.worker_speed || interval < EVALUATION_INTERVAL {
            return;
        }
        self.speeds.evaluated_at = self.now;
        self.drop_ended();
        let running = self.running_residuals();
        let mut scores: IndexMap<WorkerKey, Vec<(StepId, f64, bool)>> = IndexMap::new();
        let mut residuals: IndexMap<WorkerKey, Vec<f64>> = IndexMap::new();
        for (step, (spread, runs)) in &running {
            self.score_step(*step, *spread, runs, &mut scores, &mut residuals);
        }
        let mut found = Vec::new();
        for (key, worker) in &mut self.speeds.workers {
            let of_worker = scores.get(key).map_or(&[][..], |scores| scores);
            worker.update_total(of_worker, self.now);
            self.workers[*key].suspected_slow = worker.is_suspect();
            let speed = residuals.get_mut(key).and_then(|all| speed_from(all));
            if let Some(slow) = &mut worker.slow {
                slow.limit_speed(speed.unwrap_or(1.0));
            } else if worker.is_slow_by_score()
                && let Some(speed) = speed.filter(|speed| *speed <= MAX_SLOW_SPEED)
            {
                found.push((*key, worker.total, speed));
            }
        }
        found.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (key, _, speed) in found {
            if self.may_be_slow(key) {
                self.set_slow(key, speed);
            }
        }
        let workers = self.speeds.workers.iter();
        let slow = workers.filter(|(_, worker)| worker.slow.is_some());
        let pools = slow.map(|(key, _)| self.workers[*key].record.pool.clone());
        self.speeds.pools_with_slow_workers = pools.collect();
    }

    /// Drops the runs that ended or were lost, the steps that ended, and the
    /// workers that are gone or whose speed is unknown by now.
    fn drop_ended(&mut self) {
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
        let is_gone = |key: WorkerKey| {
            let worker = &self.workers[key];
            worker.state == WorkerState::Gone || self.workers.key(&worker.record.name) != Some(key)
        };
        let mut over = Vec::new();
        for (key, worker) in &self.speeds.workers {
            if is_gone(*key) {
                over.push((*key, WorkerSpeedState::Gone));
            } else if worker.slow.is_some_and(|slow| slow.is_outdated(self.now)) {
                over.push((*key, WorkerSpeedState::Normal));
            }
        }
        for (key, state) in over {
            self.set_normal_speed(key, state);
            if state == WorkerSpeedState::Gone {
                self.speeds.workers.swap_remove(&key);
            }
        }
    }

    /// The times for which runs certainly have not ended, by step,
    /// with the spread of the step's queue.
    fn running_residuals(&self) -> IndexMap<StepId, (Spread, Vec<Residual>)> {
        let mut running: IndexMap<StepId, (Spread, Vec<Residual>)> = IndexMap::new();
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
                let spread = || (self.speeds.spread(&observed.queue.name), Vec::new());
                let (_, of_step) = running.entry(task.step).or_insert_with(spread);
                of_step.push((observed.worker, residual));
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
        spread: Spread,
        runs: &[Residual],
        scores: &mut IndexMap<WorkerKey, Vec<(StepId, f64, bool)>>,
        residuals: &mut IndexMap<WorkerKey, Vec<f64>>,
    ) {
        let mut of_step: IndexMap<WorkerKey, (f64, f64, bool)> = IndexMap::new();
        for (key, residual) in runs {
            let long = runs
                .iter()
                .filter(|(other, elapsed)| other != key && *elapsed > 0.0 && !self.is_slow(*other));
            let ended = self.speeds.ended_elsewhere(step, *key);
            let peers = ended.chain(long.map(|(_, elapsed)| *elapsed));
            let prediction = Prediction::new(spread, peers);
            let score = prediction.score_running(*residual);
            let (sum, max, from_peers) = of_step.entry(*key).or_default();
            *sum += score;
            *max = score.max(*max);
            *from_peers = prediction.from_peers;
            if *residual > prediction.mean {
                let of_worker = residuals.entry(*key).or_default();
                of_worker.push(residual - prediction.mean);
            }
        }
        for (key, (sum, max, from_peers)) in of_step {
            let score = if from_peers { sum } else { max };
            scores
                .entry(key)
                .or_default()
                .push((step, score, from_peers));
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

/// The speed at which the median of these runs would take as long as predicted.
fn speed_from(residuals: &mut [f64]) -> Option<f64> {
    residuals.sort_by(f64::total_cmp);
    let median = residuals.get(residuals.len() / 2)?;
    Some((-median).exp())
}
