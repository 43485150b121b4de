//! A job from its submission until it is over.

use std::time::Duration;

use crate::effect::Cause;
use crate::event::{JobSpec, Priority};
use crate::keys::{ClassId, JobId, TaskId, TeamId, WorkerId};
use crate::size::Size;

/// Why a job waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// It has not been tried yet, or other teams go first.
    Turn,
    /// No worker has room now.
    Capacity,
    /// The first tasks of its class have not reported their use yet.
    Probe,
    /// Its team holds its quota.
    Quota,
    /// A place is being made free for it.
    Place,
    /// It failed and is tried again after a backoff.
    Backoff,
    /// It failed on many workers and is tried again much later.
    Parked,
}

/// What an operator sees of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobView {
    /// It waits.
    Waiting(WaitReason),
    /// It has a task, which may not have started yet or may be ending.
    Placed {
        /// The task.
        task: TaskId,
        /// Where.
        worker: WorkerId,
        /// What is set aside for it, corrected by its use.
        size: Size,
    },
}

/// A place kept for a job until it is free.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    pub(crate) worker: WorkerId,
    pub(crate) size: Size,
}

#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) name: Box<str>,
    pub(crate) team: TeamId,
    pub(crate) class: ClassId,
    pub(crate) declared: Size,
    pub(crate) priority: Priority,
    pub(crate) checkpointable: bool,
    pub(crate) expected_run: Duration,
    /// Of the latest task, 0 before the first.
    pub(crate) attempt: u32,
    pub(crate) cancelled: bool,
    /// Failures since it was submitted or last parked.
    pub(crate) failures: u32,
    pub(crate) parkings: u32,
    /// Where it failed since it was submitted or last parked. Invariant:
    /// distinct; none of them is in quarantine.
    pub(crate) failed_on: Vec<WorkerId>,
    /// Run time saved by checkpoints.
    pub(crate) saved: Duration,
    /// The most that any attempt was reported to use.
    pub(crate) peak: Size,
    /// Since when it waits, while it does.
    pub(crate) waits_since: Duration,
    /// Invariant: listed in the placement's claims if set.
    pub(crate) claim: Option<Claim>,
    pub(crate) state: State,
}

#[derive(Debug, Clone)]
pub(crate) enum State {
    Waiting(WaitReason),
    Placed(Task),
}

/// The running attempt of a job.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) worker: WorkerId,
    /// What is set aside. Invariant: never below the latest reported use.
    pub(crate) size: Size,
    pub(crate) phase: Phase,
    /// When it was placed, and from its start message on when it started.
    pub(crate) since: Duration,
    pub(crate) measured_at: Duration,
    pub(crate) throttled: bool,
}

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Starting,
    Running,
    /// Since when it is being checkpointed, and why.
    Checkpointing(Duration, Cause),
    /// It has to stop, and the call is made in its turn.
    StopDue(Cause),
    Stopping(Cause),
}

impl Phase {
    /// Whether the task's place will be free soon.
    pub(crate) fn is_leaving(self) -> bool {
        !matches!(self, Phase::Starting | Phase::Running)
    }
}

impl Job {
    pub(crate) fn new(spec: JobSpec, class: ClassId, now: Duration) -> Job {
        Job {
            name: spec.name,
            team: spec.team,
            class,
            declared: spec.declared,
            priority: spec.priority,
            checkpointable: spec.checkpointable,
            expected_run: spec.expected_run,
            attempt: 0,
            cancelled: false,
            failures: 0,
            parkings: 0,
            failed_on: Vec::new(),
            saved: Duration::ZERO,
            peak: Size::default(),
            waits_since: now,
            claim: None,
            state: State::Waiting(WaitReason::Turn),
        }
    }

    pub(crate) fn task(&self) -> Option<&Task> {
        match &self.state {
            State::Placed(task) => Some(task),
            State::Waiting(_) => None,
        }
    }

    pub(crate) fn task_mut(&mut self) -> Option<&mut Task> {
        match &mut self.state {
            State::Placed(task) => Some(task),
            State::Waiting(_) => None,
        }
    }

    pub(crate) fn task_id(&self, job: JobId) -> TaskId {
        TaskId {
            job,
            attempt: self.attempt,
        }
    }

    /// Whether it waits and may be tried now.
    pub(crate) fn is_ready(&self) -> bool {
        let resting = [WaitReason::Backoff, WaitReason::Parked, WaitReason::Place];
        match &self.state {
            State::Waiting(reason) => !resting.contains(reason),
            State::Placed(_) => false,
        }
    }

    /// Whether its task can make way for other work.
    pub(crate) fn is_movable(&self) -> bool {
        let stays = self.task().is_none_or(|task| task.phase != Phase::Running);
        self.checkpointable && self.priority == Priority::Normal && !stays
    }

    pub(crate) fn bytes(&self) -> usize {
        size_of::<Job>() + self.name.len() + self.failed_on.capacity() * size_of::<WorkerId>()
    }
}
