//! The input and output of the scheduler: events and effects.

use std::sync::Arc;
use std::time::Duration;

use super::{Decision, MachineOrder, MachineView};
use crate::state::{Command, WorkerRecord};
use crate::{JobSpec, Run, StepId, TaskId};

/// An event for the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick {
        /// The time of day, in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// A command was applied to the replicated state.
    Applied {
        /// The command.
        command: Arc<Command>,
    },
    /// A worker sent a heartbeat.
    Heartbeat(Heartbeat),
    /// A worker reported that its life ends now. It is answered by [`Effect::Departed`].
    Left {
        /// Its name, or its id.
        worker: Box<str>,
    },
    /// A worker answered [`Effect::Renew`].
    RenewalAnswered {
        /// Its name.
        worker: Box<str>,
        /// When the renewal was sent.
        sent_at: Duration,
        /// The number of the last end of a run that the renewal acknowledged.
        /// A worker numbers the ends of its runs from 1.
        acked: u64,
        /// The worker's answer.
        answer: RenewalAnswer,
    },
    /// A renewal failed or had no answer.
    RenewalFailed {
        /// The worker.
        worker: Box<str>,
        /// Whether another life answered at the worker's address, which shows
        /// that this life is over.
        other_life: bool,
    },
    /// Another life with the worker's id answered a renewal, so this life is over.
    WorkerRestarted {
        /// The worker.
        worker: Box<str>,
        /// The name of the life that answered.
        life: Box<str>,
    },
    /// A renewal was not sent, since this owner was not certain to lead.
    RenewalNotSent {
        /// The worker.
        worker: Box<str>,
    },
    /// This owner handled no events for a while. Is in the batch of the tick at which that
    /// is noticed.
    Stalled,
    /// The outcome of [`Effect::Order`].
    Ordered {
        /// The worker.
        worker: Box<str>,
        /// The order.
        order: TaskOrder,
        /// The answer.
        answer: OrderAnswer,
    },
    /// The platform's answer to [`Effect::ListMachines`].
    MachinesListed {
        /// When the list was requested.
        sent_at: Duration,
        /// All machines; `None` if there was no complete answer.
        machines: Option<Vec<MachineView>>,
    },
    /// The adviser's answer to [`Effect::Advise`].
    Advised {
        /// The step.
        step: StepId,
        /// When the adviser was asked.
        sent_at: Duration,
        /// The workers that it was asked about.
        asked: Vec<Box<str>>,
        /// The workers that may run the step, each with its ticket; `None` if
        /// the call failed.
        permitted: Option<Vec<(Box<str>, Box<str>)>>,
    },
    /// The outcome of [`Effect::OrderMachine`].
    MachineOrdered {
        /// The machine.
        machine: Box<str>,
        /// The order.
        order: MachineOrder,
        /// The platform's answer.
        answer: MachineAnswer,
    },
    /// A proposed command was not committed, or its outcome is unknown.
    ProposalFailed {
        /// The command.
        command: Arc<Command>,
    },
}

/// A worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Its identity, capacity and location.
    pub record: WorkerRecord,
    /// Whether it is about to end and accepts no new work.
    pub draining: bool,
    /// The number of the heartbeat, counted by the worker. A heartbeat with a
    /// lower number than the last one arrived late and is ignored.
    pub sequence: u64,
}

/// A worker's answer to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalAnswer {
    /// The worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// The runs in progress.
    pub running: Vec<RunningTask>,
    /// The ends that were not acknowledged, in ascending order of their
    /// numbers. The list may be cut short: see `more_ended`.
    pub ended: Vec<EndedRun>,
    /// Whether there are more ends than those listed.
    pub more_ended: bool,
    /// Whether the worker rejected the renewal because it knows a later owner.
    pub fenced: bool,
}

/// A run in progress, as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// Its latest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// The speed at which it runs, in percent of full speed.
    pub percent: u64,
    /// For a task that serves users, the tail of its response times in
    /// milliseconds; for other tasks, the processor time that it uses, in
    /// thousandths of a core.
    pub load: u64,
}

/// The end of a run, as its worker lists it.
pub type EndedRun = crate::state::TaskEnd;

/// A request to a worker to extend its lease and to list its runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalOrder {
    /// The fencing token.
    pub token: u64,
    /// Acknowledges the ends up to this number, which are in the replicated
    /// state.
    pub acked: u64,
    /// The new end of the worker's lease, on its clock in milliseconds; `None`
    /// while its clock is not known or the lease is not extended.
    pub deadline_ms: Option<u64>,
    /// How long the worker may delay its answer until a run ends.
    pub wait: Duration,
}

/// What a worker has to do with one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start it.
    Start {
        /// The job's specification.
        spec: Arc<JobSpec>,
        /// The checkpoint from which the task resumes; empty if it starts from
        /// the beginning.
        checkpoint: Box<str>,
        /// The end of the worker's lease, on its clock in milliseconds.
        deadline_ms: u64,
        /// The adviser's permission, if the task's queue needs one.
        ticket: Option<Box<str>>,
    },
    /// Stop it.
    Stop,
    /// Limit its speed to this percentage of full speed.
    Throttle(u8),
}

/// An order about one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// What to do with it.
    pub order: Order,
}

/// A worker's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order was executed, now or before.
    Done,
    /// Rejected: the worker knows a later owner.
    Fenced,
    /// Rejected: a run of the task with this number or a higher one was stopped
    /// or has ended there.
    Old,
    /// Rejected: the lease named in the order had expired when it arrived.
    Late,
    /// Rejected: the worker lacks free capacity.
    NoRoom,
    /// Rejected: the ticket is not valid there.
    NoTicket,
    /// Rejected: the worker is unhealthy.
    Unwell,
    /// Rejected: the worker can't decode the order, so sending it again would
    /// not help.
    Unreadable,
    /// Another life answered at the address, so this life is over.
    OtherLife,
    /// The order was not sent.
    NotSent,
    /// There was no answer. The order may have been executed, or may still be.
    Unknown,
}

impl OrderAnswer {
    /// Whether the life of the worker that the order was meant for has answered.
    pub(crate) fn is_from_worker(self) -> bool {
        !matches!(
            self,
            OrderAnswer::OtherLife | OrderAnswer::NotSent | OrderAnswer::Unknown
        )
    }

    /// Whether the order was certainly not executed and never will be.
    pub fn rules_out_execution(self) -> bool {
        !matches!(self, OrderAnswer::Done | OrderAnswer::Unknown)
    }
}

/// The platform's answer to an order for a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineAnswer {
    /// The order was executed or is in progress.
    Done,
    /// Rejected: a later owner has given an order for the machine.
    Fenced,
    /// Rejected: the machine is not up.
    Busy,
    /// Rejected: the platform does not accept such an order.
    Refused,
    /// There was no answer, or the platform was overloaded.
    Unknown,
}

/// An action that the scheduler asks its caller to execute.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a renewal to a worker. Answered by [`Event::RenewalAnswered`],
    /// [`Event::RenewalFailed`] or [`Event::RenewalNotSent`].
    Renew {
        /// The worker.
        worker: Box<str>,
        /// Its address.
        address: Box<str>,
        /// The renewal.
        order: RenewalOrder,
    },
    /// Send a worker an order about a run. Answered by [`Event::Ordered`].
    Order {
        /// The worker.
        worker: Box<str>,
        /// Its address.
        address: Box<str>,
        /// The fencing token.
        token: u64,
        /// The order.
        order: TaskOrder,
    },
    /// Ask the adviser which workers may run a step. Answered by
    /// [`Event::Advised`].
    Advise {
        /// The step.
        step: StepId,
        /// The workers to ask about.
        workers: Vec<Box<str>>,
    },
    /// Request the list of all machines from the platform. Answered by
    /// [`Event::MachinesListed`].
    ListMachines,
    /// Send the platform an order for a machine. Answered by
    /// [`Event::MachineOrdered`].
    OrderMachine {
        /// The machine.
        machine: Box<str>,
        /// The fencing token.
        token: u64,
        /// The order.
        order: MachineOrder,
    },
    /// Commit a command. Followed by [`Event::Applied`] or
    /// [`Event::ProposalFailed`].
    Propose(Command),
    /// Write a decision to the log.
    Log(Decision),
    /// A worker knows a later owner, so this owner has to stop giving orders.
    Fenced {
        /// The worker.
        worker: Box<str>,
    },
    /// Answer the worker's report that its life ends now ([`Event::Left`]): nothing runs
    /// there any more, as far as this owner knows.
    Departed {
        /// The worker's id, without its life.
        worker: Box<str>,
    },
}
