//! Tasks start, run and end.

use std::time::Duration;

use super::{Placement, Step};
use crate::effect::{Cause, Effect, End};
use crate::job::{Job, Phase, State, Task, WaitReason};
use crate::keys::{JobId, TaskId, TeamId, WorkerId};
use crate::size::Size;
use crate::timers::Timer;

impl Placement {
    /// Starts the job on the worker, which must have room for `size`.
    pub(super) fn start(&mut self, id: JobId, worker: WorkerId, size: Size, step: &mut Step) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.attempt += 1;
        job.state = State::Placed(Task {
            worker,
            size,
            phase: Phase::Starting,
            since: step.now,
            measured_at: step.now,
            throttled: false,
        });
        let (team, class) = (job.team, job.class);
        if let Some(class) = self.class_mut(class) {
            class.tasks += 1;
        }
        if let Some(team) = self.team_of_mut(team) {
            team.used = team.used.plus(size);
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.reserved = worker.reserved.plus(size);
            worker.tasks.push(id);
        }
        self.stats.starts += 1;
        self.call(id, step);
    }

    /// Makes the call that the task's phase asks for, and looks again when its
    /// answer is due.
    fn call(&mut self, id: JobId, step: &mut Step) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(task) = job.task() else {
            return;
        };
        let answer_by = self.answer_by(task.phase, step.now);
        let effect = self.call_for(job.task_id(id), task);
        let timer = Timer::Answer(job.task_id(id));
        if let Some(effect) = effect {
            step.effects.push(effect);
            self.timers.set(answer_by, timer);
        }
    }

    fn call_for(&self, id: TaskId, task: &Task) -> Option<Effect> {
        let worker = self.workers.get(task.worker)?;
        match task.phase {
            Phase::Starting => Some(Effect::Start {
                task: id,
                worker: task.worker,
                incarnation: worker.incarnation,
                size: task.size,
                lease: self.terms.lease,
            }),
            Phase::Checkpointing(_, cause) => Some(Effect::Checkpoint { task: id, cause }),
            Phase::Stopping(cause) => Some(Effect::Stop { task: id, cause }),
            Phase::Running | Phase::StopDue(_) => None,
        }
    }

    fn answer_by(&self, phase: Phase, now: Duration) -> Duration {
        let again = now + self.terms.resend_after;
        match phase {
            Phase::Checkpointing(since, _) => again.min(since + self.terms.checkpoint_within),
            _ => again,
        }
    }

    /// An answer is due: asks again, or stops what can't be checkpointed.
    pub(super) fn answer_due(&mut self, task: TaskId, step: &mut Step) {
        let Some((id, phase)) = self.current(task) else {
            return;
        };
        match phase {
            Phase::Checkpointing(since, cause)
                if step.now >= since + self.terms.checkpoint_within =>
            {
                self.stop(id, cause, step);
            }
            _ => self.call(id, step),
        }
    }

    /// The task's job and phase, if this is the job's present attempt.
    fn current(&self, task: TaskId) -> Option<(JobId, Phase)> {
        let job = self.jobs.get(task.job)?;
        if self.terms.protections.attempt_fence && job.attempt != task.attempt {
            return None;
        }
        Some((task.job, job.task()?.phase))
    }

    pub(super) fn set_phase(&mut self, id: JobId, phase: Phase) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let team = job.team;
        let Some(task) = job.task_mut() else {
            return;
        };
        let leaves = phase.is_leaving() && !task.phase.is_leaving();
        task.phase = phase;
        let (size, worker) = (task.size, task.worker);
        if leaves {
            self.add_releasing(worker, team, size);
        }
    }

    fn add_releasing(&mut self, worker: WorkerId, team: TeamId, size: Size) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.releasing = worker.releasing.plus(size);
        }
        if let Some(team) = self.team_of_mut(team) {
            team.releasing = team.releasing.plus(size);
        }
    }

    pub(super) fn checkpoint(&mut self, id: JobId, cause: Cause, step: &mut Step) {
        self.count_move(cause);
        self.set_phase(id, Phase::Checkpointing(step.now, cause));
        self.call(id, step);
    }

    /// Stops the task now.
    pub(super) fn stop(&mut self, id: JobId, cause: Cause, step: &mut Step) {
        let phase = self.jobs.get(id).and_then(Job::task).map(|t| t.phase);
        if !phase.is_some_and(Phase::is_leaving) {
            self.count_move(cause);
        }
        self.set_phase(id, Phase::Stopping(cause));
        self.call(id, step);
    }

    fn count_move(&mut self, cause: Cause) {
        let moves = &mut self.stats.moves;
        match cause {
            Cause::Urgent => moves.urgent += 1,
            Cause::Relief => moves.relief += 1,
            Cause::Drain => moves.drain += 1,
            Cause::Compaction { .. } => moves.compaction += 1,
            Cause::Cancelled | Cause::Obsolete => {}
        }
    }

    /// Makes the stops that are due, at most `calls`; gives how many it made.
    pub(super) fn make_stops(&mut self, calls: usize, step: &mut Step) -> usize {
        let mut made = 0;
        while made < calls {
            let Some(task) = self.stops.pop_front() else {
                break;
            };
            made += usize::from(self.stop_if_due(task, step));
        }
        made
    }

    pub(super) fn stop_if_due(&mut self, task: TaskId, step: &mut Step) -> bool {
        let Some((id, Phase::StopDue(cause))) = self.current(task) else {
            return false;
        };
        self.stop(id, cause, step);
        true
    }

    /// Takes the job's task off its worker and team.
    pub(super) fn vacate(&mut self, id: JobId) -> Option<Task> {
        let job = self.jobs.get_mut(id)?;
        let (team, class) = (job.team, job.class);
        let task = job.task()?.clone();
        job.state = State::Waiting(WaitReason::Turn);
        let left = if task.phase.is_leaving() {
            task.size
        } else {
            Size::default()
        };
        if let Some(class) = self.class_mut(class) {
            class.tasks -= 1;
        }
        if let Some(team) = self.team_of_mut(team) {
            team.used = team.used.minus(task.size);
            team.releasing = team.releasing.minus(left);
        }
        if let Some(worker) = self.workers.get_mut(task.worker) {
            worker.reserved = worker.reserved.minus(task.size);
            worker.releasing = worker.releasing.minus(left);
            worker.tasks.retain(|other| *other != id);
        }
        self.freed = true;
        Some(task)
    }

    pub(super) fn task_started(&mut self, task: TaskId, step: &mut Step) {
        let Some((id, Phase::Starting)) = self.current(task) else {
            return;
        };
        self.set_phase(id, Phase::Running);
        let task = self.jobs.get_mut(id).and_then(Job::task_mut);
        if let Some(task) = task {
            task.since = step.now;
        }
    }

    pub(super) fn task_finished(&mut self, task: TaskId, step: &mut Step) {
        let Some((id, _)) = self.current(task) else {
            return;
        };
        let Some(task) = self.vacate(id) else {
            return;
        };
        self.praise(id, task.worker);
        self.learn(id);
        self.close(id, End::Finished, step);
    }

    /// Teaches the job's class what the job used.
    pub(super) fn learn(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let (class, declared, peak) = (job.class, job.declared, job.peak);
        if let Some(class) = self.class_mut(class) {
            class.learn(declared, peak);
        }
    }

    pub(super) fn task_checkpointed(&mut self, task: TaskId, step: &mut Step) {
        let Some((id, _)) = self.current(task) else {
            return;
        };
        let Some(task) = self.vacate(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(id) {
            job.saved += step.now.saturating_sub(task.since);
        }
        self.wait_or_close(id, step);
    }

    pub(super) fn task_stopped(&mut self, task: TaskId, step: &mut Step) {
        let Some((id, _)) = self.current(task) else {
            return;
        };
        self.vacate(id);
        self.wait_or_close(id, step);
    }

    pub(super) fn wait_or_close(&mut self, id: JobId, step: &mut Step) {
        if self.jobs.get(id).is_some_and(|job| job.cancelled) {
            self.close(id, End::Cancelled, step);
        } else {
            self.requeue(id, step);
        }
    }

    /// A task that may no longer run anywhere, since its worker's lease is over.
    pub(super) fn lose(&mut self, id: JobId, step: &mut Step) {
        self.stats.lost += 1;
        self.vacate(id);
        self.wait_or_close(id, step);
    }

    /// The work that taking the task away loses: its unsaved run time and the
    /// overhead of a move, weighted by its share of the fleet.
    pub(super) fn cost_of(&self, task: &Task, now: Duration) -> u64 {
        let unsaved = now.saturating_sub(task.since);
        let lost = unsaved + self.terms.move_overhead;
        u64::from(task.size.dominant_share(self.total)) * lost.as_secs()
    }
}
