//! Decisions of the scheduler, as they are logged.

use serde::Serialize;

use super::{MachineAnswer, MachineOrder, OrderAnswer, RefusalReason};
use crate::state::{CrashEvidence, EndKind, JobState};

/// One decision with the facts behind it. Fields of the same meaning have the
/// same name in all decisions.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision {
    /// A job was accepted.
    Accepted {
        /// The job.
        job: Box<str>,
        /// Its queue.
        queue: Box<str>,
        /// The customer that submitted it, if any.
        customer: Option<Box<str>>,
        /// The pool that runs it.
        pool: Box<str>,
        /// The queue's priority.
        priority: u32,
        /// The number of its steps.
        steps: usize,
        /// The number of tasks in all steps.
        tasks: u32,
        /// Whether a step runs until the job is cancelled.
        long_running: bool,
        /// Whether a step has best-effort tasks, which use only the processor
        /// time that other tasks leave.
        fills: bool,
        /// Whether a step is a gang.
        gang: bool,
        /// Whether its tasks need the adviser's permission to start.
        advised: bool,
        /// The time in which it should complete, in milliseconds.
        objective_ms: u64,
        /// Whether it was accepted before this ownership, so that an earlier
        /// owner may have started it.
        inherited: bool,
    },
    /// Jobs were refused since the last such event. Logged at most once a second for
    /// each queue, customer and reason.
    Refused {
        /// The queue.
        queue: Box<str>,
        /// The customer that submitted them, if any.
        customer: Option<Box<str>>,
        /// The reason.
        reason: RefusalReason,
        /// The number of refusals.
        count: u64,
        /// The time after which the latest caller was told to return, in
        /// milliseconds.
        retry_after_ms: u64,
    },
    /// A worker was ordered to start a run.
    Start {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// The worker.
        worker: Box<str>,
        /// The worker's free processor time before the start, in thousandths of
        /// a core.
        free_cpu_milli: u64,
        /// How long ago the task's step became active at this owner, in
        /// milliseconds.
        waited_ms: u64,
        /// Whether it resumes from a checkpoint.
        resumes: bool,
    },
    /// A start was rejected, or had no answer.
    StartFailed {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// The worker.
        worker: Box<str>,
        /// The answer.
        answer: Box<str>,
    },
    /// A worker was ordered to stop a run.
    Stop {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// The worker.
        worker: Box<str>,
        /// The reason.
        reason: StopReason,
    },
    /// A worker listed the end of a run.
    Ended {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// The worker.
        worker: Box<str>,
        /// How the run ended.
        kind: EndKind,
        /// How long the run took, in milliseconds, measured from its start or
        /// its adoption by this owner.
        ran_ms: u64,
    },
    /// A run counts as lost, without a listed end.
    Lost {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// The worker.
        worker: Box<str>,
        /// The reason.
        reason: LossReason,
        /// The number of crashes that count against the task.
        crashes: usize,
        /// How strongly the loss suggests that the run crashed its worker, if it counts
        /// against the task.
        evidence: Option<CrashEvidence>,
    },
    /// A list of a worker has neither a run that was expected there nor its end.
    RunMissing {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// The worker.
        worker: Box<str>,
        /// Whether the worker had confirmed the start; otherwise the run was in doubt.
        confirmed: bool,
        /// The ends up to this number were acknowledged when the list was requested.
        acked: u64,
        /// The number of the worker's last end that is recorded.
        last_recorded_end: u64,
    },
    /// A worker lists an end whose number was acknowledged before.
    EndRenumbered {
        /// The task.
        task: Box<str>,
        /// The run that ended.
        run: u64,
        /// The worker.
        worker: Box<str>,
        /// The number of the end.
        number: u64,
        /// The ends up to this number were acknowledged when the list was requested.
        acked: u64,
    },
    /// A run of an earlier owner was adopted.
    Adopted {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// The worker.
        worker: Box<str>,
    },
    /// A second run of a task was started.
    CopyStarted {
        /// The task.
        task: Box<str>,
        /// The second run.
        run: u64,
        /// The worker of the second run.
        worker: Box<str>,
        /// The earlier run, which continues.
        earlier_run: u64,
        /// The worker of the earlier run.
        earlier_worker: Box<str>,
        /// The reason.
        reason: CopyReason,
        /// How long the earlier run had taken, in milliseconds.
        ran_ms: u64,
    },
    /// One of the two runs of a task ended or was lost.
    CopyEnded {
        /// The task.
        task: Box<str>,
        /// Whether the second run completed the task, or replaced an earlier
        /// run that failed or was lost.
        won: bool,
    },
    /// The capacity of a worker changed.
    Resized {
        /// The worker.
        worker: Box<str>,
        /// Its processor time, in thousandths of a core.
        cpu_milli: u64,
        /// Its memory, in MB.
        memory_mb: u64,
        /// The processor time that its runs use, in thousandths of a core.
        used_cpu_milli: u64,
    },
    /// A job ended.
    JobOver {
        /// The job.
        job: Box<str>,
        /// Its state.
        state: crate::JobState,
    },
    /// The platform was ordered to move a machine to another pool, or to
    /// maintain it.
    Machine {
        /// The machine.
        machine: Box<str>,
        /// Its pool.
        pool: Box<str>,
        /// The pool to which it moves; `None` for maintenance.
        to_pool: Option<Box<str>>,
        /// The maintenance wave; `None` for a move.
        wave: Option<u64>,
    },
    /// The demand and capacity of a pool, once a second while it has work.
    Pool {
        /// The pool.
        pool: Box<str>,
        /// The processor time that its tasks need, both those that run or wait
        /// and those that are forecast, in thousandths of a core.
        needed_cpu_milli: u64,
        /// The memory that they need, in MB.
        needed_memory_mb: u64,
        /// The processor time that its runs use, in thousandths of a core.
        used_cpu_milli: u64,
        /// The processor time of its workers, in thousandths of a core.
        /// Includes machines that are about to arrive.
        offered_cpu_milli: u64,
        /// The memory of its workers, in MB. Includes machines that are about
        /// to arrive.
        offered_memory_mb: u64,
        /// The number of its workers. Includes machines that are about to
        /// arrive.
        workers: usize,
        /// The minimum number of workers that it needs, given which tasks may
        /// share a worker.
        least_workers: usize,
        /// The number of its workers that accept work now.
        taking: usize,
        /// The free processor time of these, in thousandths of a core.
        free_cpu_milli: u64,
        /// The number of tasks that wait for free capacity.
        waiting: u64,
        /// The number of its workers on which a task runs that must run alone.
        isolated: usize,
        /// The number of waiting tasks that may have crashed a worker.
        waiting_suspects: usize,
        /// The number of those that must run alone on their worker.
        waiting_isolated: usize,
        /// The processor time of machines that are about to arrive, in
        /// thousandths of a core.
        joining_cpu_milli: u64,
        /// The expected time from the order of a move to the pool to the first
        /// accepted work, in milliseconds.
        expected_join_ms: u64,
    },
    /// The moves that the machine plan ordered and held back, once a second
    /// while there are any.
    Plan {
        /// The machines that the pools lacked at this tick.
        wanted: u64,
        /// The moves between pools that were ordered since the last such
        /// event.
        paid: u64,
        /// The idle machines that were returned to the spare pool since then.
        returned: u64,
        /// The machines that are being emptied for another pool.
        draining: u64,
        /// The moves that were wanted at this tick and held back, by reason.
        held_back: Vec<(HoldReason, u64)>,
    },
    /// The worker of a machine that was moved accepts work.
    MachineJoined {
        /// The machine.
        machine: Box<str>,
        /// The pool that it joined.
        pool: Box<str>,
        /// The time since the move was ordered, in milliseconds.
        took_ms: u64,
    },
    /// A customer's cap is reached while some of its tasks wait. Logged at most
    /// once a second for each customer.
    CapReached {
        /// The customer.
        customer: Box<str>,
        /// A step that waits because of the cap.
        step: Box<str>,
        /// The processor time that its known runs use, in thousandths of a
        /// core.
        held_cpu_milli: u64,
        /// The processor time that runs of earlier owners may use that are not
        /// known to this owner, in thousandths of a core.
        hidden_cpu_milli: u64,
        /// The cap on processor time, in thousandths of a core; 0 if unlimited.
        cap_cpu_milli: u64,
        /// The memory that its known runs use, in MB.
        held_memory_mb: u64,
        /// The cap on memory, in MB; 0 if unlimited.
        cap_memory_mb: u64,
    },
    /// A scheduling pass over a pool ended before it had examined all waiting steps, since
    /// many of them could not be placed. Logged at most once a second for each pool.
    PassLimited {
        /// The pool.
        pool: Box<str>,
        /// The number of steps that could not be placed, by the reason why they wait.
        unplaced: Vec<(WaitReason, usize)>,
        /// The first step that was not examined.
        next_step: Box<str>,
        /// The number of workers that accept work.
        taking: usize,
        /// The free processor time of these, in thousandths of a core.
        free_cpu_milli: u64,
    },
    /// A step waits for neither capacity in use nor permission. Logged once for each step
    /// and reason.
    StepWaits {
        /// The step.
        step: Box<str>,
        /// Its pool.
        pool: Box<str>,
        /// The reason.
        reason: WaitReason,
        /// The processor time that each of its tasks uses, in thousandths of a core.
        task_cpu_milli: u64,
        /// The memory that each of its tasks uses, in MB.
        task_memory_mb: u64,
        /// The label that it needs of a worker, if any.
        label: Option<Box<str>>,
        /// The number of its tasks that wait.
        waiting: usize,
    },
    /// The platform answered an order for a machine.
    MachineAnswered {
        /// The machine.
        machine: Box<str>,
        /// The answer.
        answer: MachineAnswer,
    },
    /// The adviser answered.
    Advised {
        /// The step.
        step: Box<str>,
        /// The number of workers that it was asked about.
        asked: usize,
        /// The number of those that may run the step.
        good: usize,
        /// The duration of the call, in milliseconds.
        took_ms: u64,
    },
    /// The state of a worker changed, as the owner sees it.
    Worker {
        /// The worker.
        worker: Box<str>,
        /// Its pool.
        pool: Box<str>,
        /// Its machine, if it reports one.
        machine: Option<Box<str>>,
        /// The address to which its orders are sent.
        address: Box<str>,
        /// The new state.
        state: super::WorkerState,
        /// How long ago it last answered, in milliseconds; 0 if it has not
        /// answered this owner.
        silent_ms: u64,
        /// How this owner knows that the worker's life is over, if it is.
        over: Option<LifeOver>,
    },
    /// A worker reported that its life ends now.
    WorkerLeaving {
        /// The worker.
        worker: Box<str>,
        /// Its state, as the owner sees it.
        state: super::WorkerState,
        /// The number of its runs, which are stopped.
        runs: usize,
    },
    /// A worker was found to be slow, or no longer counts as slow.
    WorkerSpeed {
        /// The worker.
        worker: Box<str>,
        /// Its pool.
        pool: Box<str>,
        /// The result.
        state: WorkerSpeedState,
        /// Its estimated speed in percent of the normal one.
        speed_percent: u32,
        /// The number of workers that count as slow, in all pools.
        slow_workers: u64,
    },
    /// Learned statistics were committed for the next owner.
    LearnedCommitted {
        /// The number of queues in them.
        queues: usize,
        /// Their encoded size.
        bytes: usize,
    },
    /// A new owner starts with the statistics of an earlier owner.
    LearnedRestored {
        /// The number of queues that were restored.
        queues: usize,
        /// The number of arrivals that were restored.
        arrivals: usize,
        /// The number of arrivals that are assumed for the time since.
        assumed: usize,
        /// The age of the statistics, in milliseconds; `None` if the times of
        /// day do not allow to use the arrivals.
        age_ms: Option<u64>,
    },
    /// Statistics of an earlier owner were dropped because their values are
    /// invalid.
    LearnedRejected {
        /// The queue; `None` if all statistics were dropped.
        queue: Option<Box<str>>,
        /// What is invalid.
        fault: super::LearnedFault,
    },
}

impl Decision {
    /// Whether it reports normal operation. Routine decisions are the first to
    /// be dropped when there is too much to log.
    pub fn is_routine(&self) -> bool {
        match self {
            Decision::Accepted { .. }
            | Decision::Start { .. }
            | Decision::Machine { .. }
            | Decision::Pool { .. }
            | Decision::Plan { .. }
            | Decision::MachineJoined { .. }
            | Decision::Advised { .. }
            | Decision::LearnedCommitted { .. } => true,
            Decision::Ended { kind, .. } => *kind == EndKind::Done,
            Decision::JobOver { state, .. } => *state == JobState::Completed,
            Decision::MachineAnswered { answer, .. } => *answer == MachineAnswer::Done,
            Decision::Refused { .. }
            | Decision::StartFailed { .. }
            | Decision::Stop { .. }
            | Decision::Lost { .. }
            | Decision::RunMissing { .. }
            | Decision::EndRenumbered { .. }
            | Decision::Adopted { .. }
            | Decision::CopyStarted { .. }
            | Decision::CopyEnded { .. }
            | Decision::Resized { .. }
            | Decision::CapReached { .. }
            | Decision::PassLimited { .. }
            | Decision::StepWaits { .. }
            | Decision::Worker { .. }
            | Decision::WorkerLeaving { .. }
            | Decision::WorkerSpeed { .. }
            | Decision::LearnedRestored { .. }
            | Decision::LearnedRejected { .. } => false,
        }
    }

    pub(super) fn machine(name: &str, pool: &str, order: &MachineOrder) -> Decision {
        let (to_pool, wave) = match order {
            MachineOrder::Move { pool } => (Some(pool.clone()), None),
            MachineOrder::Maintain { wave } => (None, Some(*wave)),
        };
        Decision::Machine {
            machine: name.into(),
            pool: pool.into(),
            to_pool,
            wave,
        }
    }

    pub(super) fn machine_answer(name: &str, answer: MachineAnswer) -> Decision {
        Decision::MachineAnswered {
            machine: name.into(),
            answer,
        }
    }
}

/// Whether a worker runs its tasks at normal speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerSpeedState {
    /// Its runs take notably longer than on other workers.
    Slow,
    /// It runs at normal speed again, or has had no runs for so long that its
    /// speed is unknown.
    Normal,
    /// It was slow when its life ended.
    Gone,
}

/// Why the machine plan holds back a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// The work would be done or late before the machine arrives.
    Unpaid,
    /// Machines that were moved to the pool do not join it.
    JoinsFailing,
    /// The platform does not answer.
    PlatformSilent,
    /// The machine joined its pool too recently.
    JustJoined,
    /// No other pool has a machine to give.
    NoDonor,
    /// Too many orders are unanswered.
    OrderLimit,
}

/// Why a step with waiting tasks was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// Workers that could hold it have too little free capacity; runs that end by
    /// themselves use the rest.
    Capacity,
    /// It needs the adviser's permission.
    Permission,
    /// Workers have free capacity for it, but none of them may run it now: it or another
    /// task has to run alone, or an earlier run of the task is there.
    Excluded,
    /// No worker of the pool that accepts work could hold it, whatever ends by itself:
    /// they are too small, lack its label, have their maximum of its tasks, or run tasks
    /// that do not end.
    Unsuitable,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Its job ended.
    JobOver,
    /// Its start has no answer, so the worker must not execute it later.
    InDoubt,
    /// The owner does not expect it, or another run took its place.
    Stray,
    /// Another run completed its task.
    Done,
    /// Its worker is about to end.
    Draining,
}

/// Why a second run of a task is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyReason {
    /// The worker of the earlier run does not answer.
    Silent,
    /// The earlier run has taken much longer than expected.
    Straggler,
}

/// How an owner knows that a worker's life is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifeOver {
    /// The worker reported it.
    Left,
    /// The platform executed an order for its machine, which ends everything
    /// that runs there.
    MachineOrdered,
    /// Another life answered at its address or on its machine.
    Replaced,
    /// A later life with its id answered.
    Restarted,
    /// The platform lists its machine as down, or with another life.
    Absent,
    /// It has neither answered nor sent heartbeats for as long as ended jobs
    /// are retained.
    Forgotten,
    /// Its record was removed from the replicated state.
    Removed,
}

/// Why a run counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
    /// The lease of its worker expired.
    Lapsed,
    /// Its worker crashed.
    Crashed,
    /// Its worker's life is over, and no crash is counted against the task.
    WorkerGone,
    /// Its worker lists it neither as running nor as ended.
    Vanished,
}

impl HoldReason {
    /// Its name in the log and in counts.
    pub fn name(self) -> &'static str {
        match self {
            HoldReason::Unpaid => "unpaid",
            HoldReason::JoinsFailing => "joins_failing",
            HoldReason::PlatformSilent => "platform_silent",
            HoldReason::JustJoined => "just_joined",
            HoldReason::NoDonor => "no_donor",
            HoldReason::OrderLimit => "order_limit",
        }
    }
}

impl OrderAnswer {
    pub(crate) fn name(self) -> Box<str> {
        format!("{self:?}").into()
    }
}
