//! Pacing work that fills beside work that serves.
//!
//! Tasks that fill take the processor time that others leave, and slow those
//! down that serve users beside them, by amounts that differ by image and
//! change within seconds. So they are paced by what is seen: down while the
//! tail of a serving task comes near its target, up again while it is far
//! below.

use std::time::Duration;

use indexmap::IndexMap;

use super::Scheduler;
use super::event::{Order, RunningTask, TaskOrder};
use super::worker::WorkerKey;
use crate::TaskId;
use crate::state::ControlState;

/// How long after a change the next may follow: a worker applies it within
/// 0.1 s, and its figures are means of the last half second.
const SETTLING_TIME: Duration = Duration::from_millis(600);
/// Above this share of its target, in percent, a tail is too near.
const SLOW_DOWN_FROM_PERCENT: u64 = 85;
/// Below this share there is room for more.
const SPEED_UP_BELOW_PERCENT: u64 = 60;
/// The steps, in percent of full throttle: down fast, since users notice; up
/// slowly, since what fits is not known.
const SPEED_UP_STEP_PERCENT: u8 = 15;
/// A pace of less than this, in percent, is none.
const MIN_SPEED_PERCENT: u8 = 10;
/// Full pace, in percent.
const FULL_SPEED_PERCENT: u8 = 100;

/// How the filling tasks of a worker are paced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throttle {
    percent: u8,
    changed_at: Duration,
}

impl Scheduler {
    /// Looks at what a worker lists and paces what fills there.
    pub(super) fn adjust_throttle(
        &mut self,
        state: &ControlState,
        key: WorkerKey,
        listed: &[RunningTask],
    ) {
        let mut best_effort: Vec<&RunningTask> = Vec::new();
        let mut highest_percent: Option<u64> = None;
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
                highest_percent = highest_percent.max(Some(percent_of_target));
            }
        }
        self.workers[key].colocated = !best_effort.is_empty() && highest_percent.is_some();
        if best_effort.is_empty() {
            self.throttles.swap_remove(&key);
            return;
        }
        let percent = self.next_throttle(key, highest_percent.unwrap_or_default());
        self.send_throttles(key, percent, &best_effort);
    }

    fn next_throttle(&mut self, key: WorkerKey, highest_percent: u64) -> u8 {
        let now = self.now;
        let throttle = self.throttles.entry(key).or_insert(Throttle {
            percent: FULL_SPEED_PERCENT,
            changed_at: Duration::ZERO,
        });
        if now < throttle.changed_at + SETTLING_TIME {
            return throttle.percent;
        }
        let next = if highest_percent >= SLOW_DOWN_FROM_PERCENT {
            let half = throttle.percent / 2;
            if half < MIN_SPEED_PERCENT { 0 } else { half }
        } else if highest_percent < SPEED_UP_BELOW_PERCENT {
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

/// When each task was told its pace last.
pub(crate) type ThrottleTimes = IndexMap<TaskId, Duration>;
