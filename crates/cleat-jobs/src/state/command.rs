//! The commands that change the replicated state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::{CrashedRun, LearnedStats, WorkerRecord};
use crate::{Catalogue, JobId, JobSpec, Queue, Run, Size, TaskId};

/// One command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The group has had the required number of voters for the first time.
    Bootstrapped,
    /// A leader becomes the owner of the workers. The log position of this command is
    /// its fencing token.
    TakeOver {
        /// The group member that leads.
        member: u32,
    },
    /// A new configuration.
    Configure(Arc<Catalogue>),
    /// A submitted job. A job with a known id is not changed.
    Submit {
        /// The id of the job.
        id: JobId,
        /// Its queue as configured when it was submitted.
        queue: Arc<Queue>,
        /// The customer that the job belongs to, if any.
        customer: Option<Box<str>>,
        /// The submitted specification.
        spec: Arc<JobSpec>,
        /// When the submission arrived, by the clock of the leader that accepted it, in
        /// milliseconds since the Unix epoch; 0 if unknown.
        arrived_ms: u64,
    },
    /// The cancellation of a job.
    Cancel {
        /// The job.
        id: JobId,
    },
    /// Ends of runs that a worker reported. They are recorded only if all ends up to
    /// `after` are, because the worker discards every end up to the last one recorded.
    RecordEnds {
        /// The worker.
        worker: Box<str>,
        /// The number of the last end that was proposed before these.
        after: u64,
        /// The ends, in ascending order of their numbers.
        ends: Vec<TaskEnd>,
    },
    /// A worker on which tasks may be started from this log position on.
    AddWorker(WorkerRecord),
    /// A worker that stopped answering. Nothing is started there until it is added
    /// again, but its current runs may continue.
    WorkerSilent {
        /// The worker.
        name: Box<str>,
        /// The fencing token of the owner that proposed this.
        token: u64,
        /// The [`activations`](super::WorkerHistory::activations) to which this applies.
        activations: u32,
    },
    /// A worker whose lease expired, so that nothing runs there.
    WorkerLapsed {
        /// The worker.
        name: Box<str>,
        /// The fencing token of the owner that proposed this.
        token: u64,
        /// The [`activations`](super::WorkerHistory::activations) to which this applies.
        activations: u32,
    },
    /// Workers whose life is over, so that none of their runs continues.
    RemoveWorkers {
        /// Their names.
        names: Vec<Box<str>>,
    },
    /// Ended jobs whose retention time is over.
    Forget {
        /// The jobs.
        ids: Vec<JobId>,
    },
    /// Cancelled or failed jobs of which no task can be running any more.
    JobsStopped {
        /// The jobs.
        ids: Vec<JobId>,
    },
    /// An operator's request that machines be maintained.
    StartWave {
        /// The number that the operator gave the wave.
        wave: u64,
        /// The machines.
        machines: Vec<Box<str>>,
        /// The time within which the wave must complete, in milliseconds.
        duration_ms: u64,
        /// The maximum number of machines that may be down for the wave at the same time.
        max_at_once: u32,
    },
    /// The maintenance of a machine of a wave has started.
    Maintained {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: Box<str>,
    },
    /// A machine of a wave was removed, so the wave no longer waits for it.
    LeftWave {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: Box<str>,
    },
    /// A worker that announced its end and accepts no new tasks.
    Draining {
        /// The worker.
        name: Box<str>,
    },
    /// The capacity of a worker changed.
    Resized {
        /// The worker.
        name: Box<str>,
        /// The new capacity.
        capacity: Size,
        /// The sequence number of the heartbeat that reported it.
        sequence: u64,
    },
    /// A worker crashed while it had these runs. Each run counts once against its task.
    Crashed {
        /// The runs.
        runs: Vec<CrashedRun>,
    },
    /// What the owner has learned about the load, for its successor.
    Learned(Box<LearnedStats>),
}

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// It failed, because of the task or the worker.
    Failed,
    /// It was ordered to stop.
    Stopped,
    /// The lease of its worker expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// The end of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub kind: EndKind,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
}

/// An end with the number that the worker gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The number of the end, counted from 1 over the life of the worker.
    pub number: u64,
    /// The end.
    pub end: End,
}

/// Bytes that are not a command or state of this version. They can be read by the
/// version that wrote them.
#[derive(Debug, Snafu)]
#[snafu(
    visibility(pub(crate)),
    display("the {what} can't be decoded: {source}")
)]
pub struct DecodeError {
    what: &'static str,
    source: postcard::Error,
}

impl Command {
    /// Encodes the command.
    pub fn encode(&self) -> Box<[u8]> {
        // Can't fail: the value is plain data, and the vector grows as needed.
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Decodes the result of [`encode`](Self::encode).
    ///
    /// # Errors
    /// [`DecodeError`] if another version wrote the bytes.
    pub fn decode(bytes: &[u8]) -> Result<Command, DecodeError> {
        postcard::from_bytes(bytes).context(DecodeSnafu { what: "command" })
    }
}
