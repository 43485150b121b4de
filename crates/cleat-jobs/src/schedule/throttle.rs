//! Throttling of best-effort tasks that run beside tasks that serve users.
//!
//! Best-effort tasks use the processor time that other tasks leave, and slow
//! down the tasks that serve users beside them, by amounts that differ by image
//! and change within seconds. So their speed is limited by feedback: it is
//! lowered while the tail response time of a serving task is close to its
//! target, and raised again while that is far below.

use std::time::Duration;

use super::Scheduler;
use super::event::{Order, RunningTask, TaskOrder};
use super::worker::WorkerKey;
use crate::TaskId;
use crate::collections::IndexMap;
use crate::state::ControlState;

/// The minimum interval between two changes of the speed limit: a worker
/// applies it within 0.1 s, and the reported response times are means of the
/// last half second.
const SETTLING_TIME: Duration = Duration::from_millis(600);
/// If the tail response time of a serving task reaches this percentage of its
/// target, best-effort tasks are slowed down.
const SLOW_DOWN_FROM_PERCENT: u64 = 85;
/// If all tail response times are below this percentage of their targets,
/// best-effort tasks are sped up.
const SPEED_UP_BELOW_PERCENT: u64 = 60;
/// By how many percent of full speed best-effort tasks are sped up. Slowing
/// down halves their speed: the speed is lowered fast, since users notice slow
/// responses, and raised slowly, since it is not known how much the serving
/// tasks tolerate.
const SPEED_UP_STEP_PERCENT: u8 = 15;
/// A speed below this percentage of full speed is set to 0.
const MIN_SPEED_PERCENT: u8 = 10;
/// Full speed, in percent.
const FULL_SPEED_PERCENT: u8 = 100;

/// The speed limit of the best-effort tasks on one worker, in percent of full
/// speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throttle {
    percent: u8,
    changed_at: Duration,
}

impl Scheduler {
    /// Adjusts the speed of a worker's best-effort tasks to the response times
    /// of the runs that it lists.
    pub(super) fn adjust_throttle(
        &mut self,
        state: &ControlState,
        key: WorkerKey,
        listed: &[RunningTask],
    ) {
        let mut best_effort: Vec<&RunningTask> = Vec::new();
        let mut max_percent_of_target: Option<u64> = None;
        for run in listed {
            let job = state.jobs.get(&run.task.job());
            let Some(spec) = job.and_then(|job| job.step(run.task.step)) else {
                continue;
            };
            if spec.fills {
                best_effort.push(run);
            }
            if let Some(target_ms) = spec.target_ms {
                let percent_of_target = run.load * 100 / target_ms.max(1);
                max_percent_of_target = max_percent_of_target.max(Some(percent_of_target));
            }
        }
        self.workers[key].colocated = !best_effort.is_empty() && max_percent_of_target.is_some();
        if best_effort.is_empty() {
            self.throttles.swap_remove(&key);
            return;
        }
        let percent = self.next_throttle(key, max_percent_of_target.unwrap_or_default());
        self.send_throttles(key, percent, &best_effort);
    }

    fn next_throttle(&mut self, key: WorkerKey, max_percent_of_target: u64) -> u8 {
        let now = self.now;
        let throttle = self.throttles.entry(key).or_insert(Throttle {
            percent: FULL_SPEED_PERCENT,
            changed_at: Duration::ZERO,
        });
        if now < throttle.changed_at + SETTLING_TIME {
            return throttle.percent;
        }
        let next = if max_percent_of_target >= SLOW_DOWN_FROM_PERCENT {
            let half = throttle.percent / 2;
            if half < MIN_SPEED_PERCENT { 0 } else { half }
        } else if max_percent_of_target < SPEED_UP_BELOW_PERCENT {
            throttle
                .percent
                .saturating_add(SPEED_UP_STEP_PERCENT)
                .min(FULL_SPEED_PERCENT)
        } else {
            throttle.percent
        };
        if next != throttle.percent {
            *throttle = Throttle {
                percent: next,
                changed_at: now,
            };
        }
        next
    }

    fn send_throttles(&mut self, key: WorkerKey, percent: u8, best_effort: &[&RunningTask]) {
        let differ = |run: &&&RunningTask| run.percent != u64::from(percent);
        let orders: Vec<TaskOrder> = best_effort
            .iter()
            .filter(differ)
            .filter(|run| self.throttle_is_due(run.task))
            .map(|run| TaskOrder {
                task: run.task,
                run: run.run,
                order: Order::Throttle(percent),
            })
            .collect();
        for order in orders {
            self.throttle_sent_at.insert(order.task, self.now);
            self.send_order(key, order);
        }
    }

    fn throttle_is_due(&self, task: TaskId) -> bool {
        let last = self.throttle_sent_at.get(&task);
        last.is_none_or(|last| self.now >= *last + SETTLING_TIME)
    }
}

/// When a speed limit was last sent for each task.
pub(crate) type ThrottleTimes = IndexMap<TaskId, Duration>;
