//! What a scheduler decided, as it is logged.

use serde::Serialize;

use super::{MachineAnswer, MachineOrder, OrderAnswer};
use crate::state::{EndKind, JobState};

/// One decision with what decided it. Field names are the same in all events.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision {
    /// A job is to be run.
    Accepted {
        /// The job.
        job: Box<str>,
        /// Its queue.
        queue: Box<str>,
        /// The customer whose job it is, if it is one's.
        customer: Option<Box<str>>,
        /// The pool that runs it.
        pool: Box<str>,
        /// The queue's class of urgency.
        priority: u32,
        /// How many steps it has.
        steps: usize,
        /// How many tasks these have together.
        tasks: u32,
        /// Whether a step runs until the job is cancelled.
        long_running: bool,
        /// Whether a step takes only the processor time that others leave.
        fills: bool,
        /// Whether a step is a gang.
        gang: bool,
        /// Whether starts need the adviser's permission.
        advised: bool,
        /// How long it may take to be in time, in milliseconds.
        objective_ms: u64,
        /// Whether an earlier owner may have started it.
        inherited: bool,
    },
    /// A run was ordered.
    Start {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// Where.
        worker: Box<str>,
        /// What was free there before, in thousandths of a core.
        free_cpu_milli: u64,
        /// How long the task waited for a place, in milliseconds.
        waited_ms: u64,
        /// Whether it resumes from a checkpoint.
        resumes: bool,
    },
    /// A start was refused, or its answer did not come.
    StartFailed {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// Where.
        worker: Box<str>,
        /// What came back.
        answer: Box<str>,
    },
    /// A run was told to stop.
    Stop {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// Where.
        worker: Box<str>,
        /// Why.
        reason: StopReason,
    },
    /// A worker listed an end.
    Ended {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// Where.
        worker: Box<str>,
        /// How.
        kind: EndKind,
        /// How long it ran as far as this owner knows, in milliseconds.
        ran_ms: u64,
    },
    /// A run is taken as over without a listed end.
    Lost {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// Where.
        worker: Box<str>,
        /// Why.
        reason: LossReason,
        /// How many workers have crashed under the task by now.
        crashes: usize,
    },
    /// A run of an earlier owner is kept.
    Adopted {
        /// The task.
        task: Box<str>,
        /// The run.
        run: u64,
        /// Where.
        worker: Box<str>,
    },
    /// A worker offers more or less than before.
    Resized {
        /// The worker.
        worker: Box<str>,
        /// What it offers, in thousandths of a core.
        cpu_milli: u64,
        /// The same in MB.
        memory_mb: u64,
        /// What its runs take up, in thousandths of a core.
        used_cpu_milli: u64,
    },
    /// A job is over.
    JobOver {
        /// The job.
        job: Box<str>,
        /// Its state.
        state: crate::JobState,
    },
    /// A machine was ordered elsewhere, or down.
    Machine {
        /// The machine.
        machine: Box<str>,
        /// Its pool.
        pool: Box<str>,
        /// Where it goes; none for maintenance.
        to_pool: Option<Box<str>>,
        /// The wave that asks for its maintenance.
        wave: Option<u64>,
    },
    /// What a pool needs and has, once a second while it has work.
    Pool {
        /// The pool.
        pool: Box<str>,
        /// What runs or should, in thousandths of a core.
        needed_cpu_milli: u64,
        /// The same in MB.
        needed_memory_mb: u64,
        /// What its workers take up now, in thousandths of a core.
        used_cpu_milli: u64,
        /// What its workers offer, those on their way included.
        offered_cpu_milli: u64,
        /// The same in MB.
        offered_memory_mb: u64,
        /// How many workers that is.
        workers: usize,
        /// How many it needs at least, by how many tasks of a step one may run.
        least_workers: usize,
        /// How many of them take work now.
        taking: usize,
        /// What those have free, in thousandths of a core.
        free_cpu_milli: u64,
        /// How many tasks wait for room.
        waiting: u64,
    },
    /// A customer has all that it may have running while some of its tasks wait;
    /// once a second.
    CapReached {
        /// The customer.
        customer: Box<str>,
        /// A step of it that waits for that.
        step: Box<str>,
        /// What it has, in thousandths of a core.
        held_cpu_milli: u64,
        /// What may run beside that without this owner's knowledge, in thousandths
        /// of a core.
        hidden_cpu_milli: u64,
        /// What it may have, in thousandths of a core; 0 is no limit.
        cap_cpu_milli: u64,
        /// What it has, in MB.
        held_memory_mb: u64,
        /// What it may have, in MB; 0 is no limit.
        cap_memory_mb: u64,
    },
    /// The platform's answer to that.
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
        /// How many workers it was asked about.
        asked: usize,
        /// How many of them may run the step.
        good: usize,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
    /// A worker is believed to be in another state.
    Worker {
        /// The worker.
        worker: Box<str>,
        /// Its pool.
        pool: Box<str>,
        /// Its machine, if it says so.
        machine: Option<Box<str>>,
        /// Where it takes orders.
        address: Box<str>,
        /// What it is believed to be.
        state: super::WorkerState,
        /// How long ago it last answered, in milliseconds.
        silent_ms: u64,
        /// How this owner knows that its life is over, if it is.
        over: Option<LifeOver>,
    },
}

impl Decision {
    /// Whether it says that work goes as it should: the first to be left out
    /// of a log that is too long.
    pub fn is_routine(&self) -> bool {
        match self {
            Decision::Accepted { .. }
            | Decision::Start { .. }
            | Decision::Machine { .. }
            | Decision::Pool { .. }
            | Decision::Advised { .. } => true,
            Decision::Ended { kind, .. } => *kind == EndKind::Done,
            Decision::JobOver { state, .. } => *state == JobState::Completed,
            Decision::MachineAnswered { answer, .. } => *answer == MachineAnswer::Done,
            Decision::StartFailed { .. }
            | Decision::Stop { .. }
            | Decision::Lost { .. }
            | Decision::Adopted { .. }
            | Decision::Resized { .. }
            | Decision::CapReached { .. }
            | Decision::Worker { .. } => false,
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

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Its job is over.
    JobOver,
    /// Its start has no answer: it must not be carried out later.
    InDoubt,
    /// Nobody asked for it, or another run has taken its place.
    Stray,
    /// Another run of its task is done.
    Done,
    /// Its worker is about to end.
    Draining,
}

/// How an owner knows that a worker's life is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifeOver {
    /// It said so itself.
    Left,
    /// The platform carried out an order for its machine, which ends what runs
    /// there.
    MachineOrdered,
    /// Another life answers at its address or on its machine.
    Replaced,
    /// Lists of machines show its machine down, or with another life.
    Absent,
    /// It has given no sign for as long as jobs that are over are remembered.
    Forgotten,
    /// An earlier owner had its record removed.
    Removed,
}

/// Why a run is taken as over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
    /// The lease of its worker ran out.
    Lapsed,
    /// Its worker crashed.
    Crashed,
    /// Its worker's life is over, as somebody meant it to be.
    WorkerGone,
    /// Its worker lists it neither as running nor as ended.
    Vanished,
}

impl OrderAnswer {
    pub(crate) fn name(self) -> Box<str> {
        format!("{self:?}").into()
    }
}
