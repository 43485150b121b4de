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
const SETTLE: Duration = Duration::from_millis(600);
/// Above this share of its target, in percent, a tail is too near.
const TOO_NEAR: u64 = 85;
/// Below this share there is room for more.
const ROOM_BELOW: u64 = 60;
/// The steps, in percent of full pace: down fast, since users notice; up
/// slowly, since what fits is not known.
const UP: u8 = 15;
/// A pace of less than this, in percent, is none.
const LEAST: u8 = 10;
/// Full pace, in percent.
const FULL: u8 = 100;

/// How the filling tasks of a worker are paced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    percent: u8,
    changed: Duration,
}

impl Scheduler {
    /// Looks at what a worker lists and paces what fills there.
    pub(super) fn pace(&mut self, state: &ControlState, key: WorkerKey, listed: &[RunningTask]) {
        let mut fills: Vec<&RunningTask> = Vec::new();
        let mut nearest: Option<u64> = None;
        for run in listed {
            let job = state.jobs.get(&run.task.job());
            let Some(spec) = job.and_then(|job| job.step(run.task.step)) else {
                continue;
            };
            if spec.fills {
                fills.push(run);
            }
            if let Some(target_ms) = spec.target_ms {
                let share = run.load * 100 / target_ms.max(1);
                nearest = nearest.max(Some(share));
            }
        }
        self.workers[key].shares = !fills.is_empty() && nearest.is_some();
        if fills.is_empty() {
            self.paces.swap_remove(&key);
            return;
        }
        let percent = self.next_pace(key, nearest.unwrap_or_default());
        self.send_paces(key, percent, &fills);
    }

    fn next_pace(&mut self, key: WorkerKey, nearest: u64) -> u8 {
        let now = self.now;
        let pace = self.paces.entry(key).or_insert(Pace {
            percent: FULL,
            changed: Duration::ZERO,
        });
        if now < pace.changed + SETTLE {
            return pace.percent;
        }
        let next = if nearest >= TOO_NEAR {
            let half = pace.percent / 2;
            if half < LEAST { 0 } else { half }
        } else if nearest < ROOM_BELOW {
            pace.percent.saturating_add(UP).min(FULL)
        } else {
            pace.percent
        };
        if next != pace.percent {
            *pace = Pace {
                percent: next,
                changed: now,
            };
        }
        next
    }

    fn send_paces(&mut self, key: WorkerKey, percent: u8, fills: &[&RunningTask]) {
        let differ = |run: &&&RunningTask| run.percent != u64::from(percent);
        let orders: Vec<TaskOrder> = fills
            .iter()
            .filter(differ)
            .filter(|run| self.pace_is_due(run.task))
            .map(|run| TaskOrder {
                task: run.task,
                run: run.run,
                order: Order::Throttle(percent),
            })
            .collect();
        for order in orders {
            self.paced.insert(order.task, self.now);
            self.send_order(key, order);
        }
    }

    fn pace_is_due(&self, task: TaskId) -> bool {
        let last = self.paced.get(&task);
        last.is_none_or(|last| self.now >= *last + SETTLE)
    }
}

/// When each task was told its pace last.
pub(crate) type Paced = IndexMap<TaskId, Duration>;
