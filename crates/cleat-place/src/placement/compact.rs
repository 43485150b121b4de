//! A place for a waiting job that fits nowhere: by one move that pays for
//! itself, or by holding the next room on one worker.

use std::time::Duration;

use super::{Placement, Step};
use crate::effect::Cause;
use crate::job::{Job, WaitReason};
use crate::keys::{JobId, WorkerId};
use crate::size::Size;

/// One task moves from one worker to another.
struct Move {
    task: JobId,
    size: Size,
    from: WorkerId,
    to: WorkerId,
    gain: u64,
    cost: u64,
}

impl Placement {
    /// Makes one place for the job that found no room.
    pub(super) fn make_place(&mut self, id: JobId, step: &mut Step) {
        if !self.jobs.get(id).is_some_and(Job::is_ready) || !self.claims.is_empty() {
            return;
        }
        let size = self.needed(id);
        if let Some(chosen) = self.best_move(id, size, step) {
            self.carry_out(id, size, &chosen, step);
        } else if self.has_waited_long(id, step.now) {
            self.hold(id, size, step);
        }
    }

    fn best_move(&self, id: JobId, size: Size, step: &Step) -> Option<Move> {
        let avoided = self.avoided(id, step.now);
        let since = self.heard_since(step.now);
        let workers = self.workers.iter().filter(|(worker, state)| {
            state.takes_work(since) && size.fits(state.capacity) && !avoided.contains(*worker)
        });
        let tasks = workers.flat_map(|(_, worker)| worker.tasks.iter().copied());
        let moves = tasks.filter_map(|task| self.move_of(task, id, size, step));
        let best = moves.max_by_key(|found| found.gain.saturating_sub(found.cost))?;
        let pays = best.gain > best.cost || !self.terms.protections.paying_moves;
        let to = self.target_of(&best, step)?;
        pays.then_some(Move { to, ..best })
    }

    /// What it would bring to move `task` away for the waiting job; its new
    /// worker is looked for later.
    fn move_of(&self, task: JobId, waiting: JobId, size: Size, step: &Step) -> Option<Move> {
        let job = self.jobs.get(task)?;
        let held = job.task()?;
        let worker = self.workers.get(held.worker)?;
        let after = worker.staying().minus(held.size);
        if !job.is_movable() || !size.plus(after).fits(worker.capacity) {
            return None;
        }
        // Without the move the job waits until the task has ended at the latest.
        let ran = job.saved + step.now.saturating_sub(held.since);
        let wait = job.expected_run.saturating_sub(ran);
        let wait = wait.min(self.terms.longest_gain);
        let expected = self.jobs.get(waiting)?.expected_run;
        let share = u64::from(size.dominant_share(self.total));
        Some(Move {
            task,
            size: held.size,
            from: held.worker,
            to: held.worker,
            gain: share * wait.min(expected).as_secs(),
            cost: self.cost_of(held, step.now),
        })
    }

    fn target_of(&self, found: &Move, step: &Step) -> Option<WorkerId> {
        let to = self.choose(found.task, found.size, step.now)?;
        (to != found.from).then_some(to)
    }

    fn carry_out(&mut self, id: JobId, size: Size, found: &Move, step: &mut Step) {
        let (gain, cost) = (found.gain, found.cost);
        self.set_reason(id, WaitReason::Place);
        self.claim(id, found.from, size);
        self.claim(found.task, found.to, found.size);
        self.checkpoint(found.task, Cause::Compaction { gain, cost }, step);
    }

    fn has_waited_long(&self, id: JobId, now: Duration) -> bool {
        let hold_after = self.terms.hold_after;
        let long = |job: &Job| now >= job.waits_since + hold_after;
        self.terms.protections.holding && self.jobs.get(id).is_some_and(long)
    }

    /// Keeps the room that comes free on the worker with the least to go.
    fn hold(&mut self, id: JobId, size: Size, step: &Step) {
        let avoided = self.avoided(id, step.now);
        let since = self.heard_since(step.now);
        let workers = self.workers.iter().filter(|(worker, state)| {
            let wanted = size.fits(state.capacity) && !avoided.contains(*worker);
            wanted && state.takes_work(since)
        });
        let short = |size: Size, free: Size| size.minus(free).dominant_share(size);
        let least = workers.min_by_key(|(_, state)| short(size, state.free()));
        let Some(worker) = least.map(|(worker, _)| worker) else {
            return;
        };
        self.set_reason(id, WaitReason::Place);
        self.claim(id, worker, size);
    }
}
