//! What goes into a scheduler and what comes out.

use std::sync::Arc;
use std::time::Duration;

use super::{Decision, MachineOrder, MachineView};
use crate::state::{Command, WorkerRecord};
use crate::{JobSpec, Run, StepId, TaskId};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick {
        /// The time of day, in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// A command was applied to the replicated state.
    Applied {
        /// The command.
        command: Arc<Command>,
    },
    /// A worker's heartbeat.
    Heartbeat(Heartbeat),
    /// A worker says that it ends.
    Left {
        /// Its name.
        worker: Box<str>,
    },
    /// A worker answered [`Effect::Renew`].
    RenewalAnswered {
        /// Its name.
        worker: Box<str>,
        /// When the renewal was sent.
        sent_at: Duration,
        /// The ends that it acknowledged.
        acked: u64,
        /// What it lists.
        answer: RenewalAnswer,
    },
    /// A renewal has no answer.
    RenewalFailed {
        /// The worker.
        worker: Box<str>,
        /// Whether another life answered at its address: this one is over.
        other_life: bool,
    },
    /// What became of [`Effect::Order`].
    Ordered {
        /// The worker.
        worker: Box<str>,
        /// What it was told.
        order: TaskOrder,
        /// What it answered.
        answer: OrderAnswer,
    },
    /// The platform's answer to [`Effect::ListMachines`].
    MachinesListed {
        /// When it was asked.
        sent_at: Duration,
        /// All machines; none if there was no whole answer.
        machines: Option<Vec<MachineView>>,
    },
    /// The adviser's answer to [`Effect::Advise`].
    Advised {
        /// The step.
        step: StepId,
        /// When it was asked.
        sent_at: Duration,
        /// The workers that it was asked about.
        asked: Vec<Box<str>>,
        /// Those that may run the step, each with a ticket; none if there was
        /// no answer.
        good: Option<Vec<(Box<str>, Box<str>)>>,
    },
    /// What became of [`Effect::OrderMachine`].
    MachineOrdered {
        /// The machine.
        machine: Box<str>,
        /// What was ordered.
        order: MachineOrder,
        /// What the platform answered.
        answer: MachineAnswer,
    },
    /// A proposed command was not committed, or it is not known.
    ProposalFailed {
        /// The command.
        command: Arc<Command>,
    },
}

/// A worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Who and what it is.
    pub record: WorkerRecord,
    /// Whether it is about to end and takes no new work.
    pub draining: bool,
    /// Counts the worker's heartbeats; a lower one is late.
    pub sequence: u64,
}

/// What a worker lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalAnswer {
    /// The worker's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// The runs under way.
    pub running: Vec<RunningTask>,
    /// The ends that were not acknowledged, by rising number; at most
    /// `more_ended` says whether there are others.
    pub ended: Vec<EndedRun>,
    /// Whether more ends follow those listed.
    pub more_ended: bool,
    /// Whether the worker did nothing since it knows a later owner.
    pub fenced: bool,
}

/// One run under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// Its latest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// At what share of its pace it works, in percent.
    pub percent: u64,
    /// For a task that serves users, the tail of its response times in
    /// milliseconds; else the processor time in use, in thousandths of a core.
    pub load: u64,
}

/// One end that a worker lists.
pub type EndedRun = crate::state::TaskEnd;

/// How a worker is asked to go on and what it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalOrder {
    /// The fencing token.
    pub token: u64,
    /// Ends up to this one are in the replicated state.
    pub acked: u64,
    /// The new end of the worker's lease, on its clock; none while its clock
    /// is not known.
    pub deadline_ms: Option<u64>,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// What is done with one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start it.
    Start {
        /// What the task is told.
        spec: Arc<JobSpec>,
        /// Where to resume; empty at the beginning.
        checkpoint: Box<str>,
        /// The end of the worker's lease, on its clock in milliseconds.
        deadline_ms: u64,
        /// The adviser's permission, where its queue needs one.
        ticket: Option<Box<str>>,
    },
    /// Stop it.
    Stop,
    /// Let it work at this share of its pace, in percent.
    Throttle(u8),
}

/// An order about one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// What is done with it.
    pub order: Order,
}

/// What a worker answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is carried out, or was before.
    Done,
    /// The worker knows a later owner.
    Fenced,
    /// A run of the task that is not lower was stopped or ended there.
    Old,
    /// The lease of the order was over when it arrived.
    Late,
    /// There is no room.
    NoRoom,
    /// The ticket is not valid there.
    NoTicket,
    /// The worker is not well and did nothing.
    Unwell,
    /// The worker can't read the order; repeating it is of no use.
    Unreadable,
    /// Another life answered: this one is over.
    OtherLife,
    /// The order was not sent.
    NotSent,
    /// There was no answer. The order may be carried out, also later.
    Unknown,
}

impl OrderAnswer {
    /// Whether it is certain that the order never has an effect.
    pub fn rules_out_execution(self) -> bool {
        !matches!(self, OrderAnswer::Done | OrderAnswer::Unknown)
    }
}

/// What the platform answered about a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineAnswer {
    /// It is done or under way.
    Done,
    /// A later owner has ordered something for that machine.
    Fenced,
    /// The machine is not up.
    Busy,
    /// The order makes no sense to the platform.
    Refused,
    /// There was no answer, or too much was asked at once.
    Unknown,
}

/// What has to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Ask a worker to go on, and for what it runs. Answered by
    /// [`Event::RenewalAnswered`] or [`Event::RenewalFailed`].
    Renew {
        /// The worker.
        worker: Box<str>,
        /// Its address.
        address: Box<str>,
        /// What it is asked.
        order: RenewalOrder,
    },
    /// Tell a worker something about a run. Answered by [`Event::Ordered`].
    Order {
        /// The worker.
        worker: Box<str>,
        /// Its address.
        address: Box<str>,
        /// The fencing token.
        token: u64,
        /// What it is told.
        order: TaskOrder,
    },
    /// Ask the adviser which workers may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<Box<str>>,
    },
    /// Ask the platform for all machines.
    ListMachines,
    /// Tell the platform something about a machine.
    OrderMachine {
        /// The machine.
        machine: Box<str>,
        /// The fencing token.
        token: u64,
        /// What it is told.
        order: MachineOrder,
    },
    /// Commit a command.
    Propose(Command),
    /// Write a line to the log.
    Log(Decision),
    /// A worker knows a later owner: this one must stop giving orders.
    Fenced {
        /// The worker.
        worker: Box<str>,
    },
}
