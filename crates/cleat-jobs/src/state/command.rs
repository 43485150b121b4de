//! What changes the replicated state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::{CrashedRun, WorkerRecord};
use crate::{Catalogue, JobId, JobSpec, Queue, Run, Size, TaskId};

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The group has all the voters it needs.
    Bootstrapped,
    /// A leader takes over the workers. Its position is the fencing token.
    TakeOver {
        /// The leader.
        member: u32,
    },
    /// A configuration.
    Configure(Arc<Catalogue>),
    /// A job. One that is known already stays as it is.
    Submit {
        /// Its name.
        id: JobId,
        /// Its queue at the time.
        queue: Arc<Queue>,
        /// The customer whose job it is; none if it is nobody's.
        customer: Option<Box<str>>,
        /// What it asks for.
        spec: Arc<JobSpec>,
        /// When its caller came, by the accepting leader's time of day, in
        /// milliseconds since the Unix epoch; 0 if that is not known.
        arrived_ms: u64,
    },
    /// The end of a job before its time.
    Cancel {
        /// The job.
        id: JobId,
    },
    /// Ends of tasks that a worker lists. Nothing is noted before the ends up
    /// to `after` are: the worker forgets all up to the last one noted.
    RecordEnds {
        /// The worker.
        worker: Box<str>,
        /// The number up to which ends were proposed before.
        after: u64,
        /// The ends, by rising number.
        ends: Vec<TaskEnd>,
    },
    /// A worker on which tasks may be started from now on.
    AddWorker(WorkerRecord),
    /// A worker that does not answer: it is given no work until it is added
    /// again, but what it has may run on.
    WorkerSilent {
        /// The worker.
        name: Box<str>,
        /// The token of the owner that says so.
        token: u64,
        /// The [`activations`](super::WorkerHistory::activations) to which this applies.
        activations: u32,
    },
    /// A worker whose lease is over: nothing runs there.
    WorkerLapsed {
        /// The worker.
        name: Box<str>,
        /// The token of the owner that says so.
        token: u64,
        /// The [`activations`](super::WorkerHistory::activations) that are over.
        activations: u32,
    },
    /// Workers whose life is over, and nothing of theirs can run any more.
    RemoveWorkers {
        /// Their names.
        names: Vec<Box<str>>,
    },
    /// Jobs that have been over for long enough.
    Forget {
        /// The jobs.
        ids: Vec<JobId>,
    },
    /// Jobs of which nothing can run any more, though they ended before their
    /// time.
    JobsStopped {
        /// The jobs.
        ids: Vec<JobId>,
    },
    /// An operator's request that machines be maintained.
    StartWave {
        /// The operator's number.
        wave: u64,
        /// The machines.
        machines: Vec<Box<str>>,
        /// Within which time, in milliseconds.
        duration_ms: u64,
        /// How many may be down for it at once.
        max_at_once: u32,
    },
    /// A machine of a wave has gone down for its maintenance.
    Maintained {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: Box<str>,
    },
    /// A machine of a wave is gone for good.
    LeftWave {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: Box<str>,
    },
    /// A worker that is about to end and takes no new work.
    Draining {
        /// The worker.
        name: Box<str>,
    },
    /// A worker offers more or less than before.
    Resized {
        /// The worker.
        name: Box<str>,
        /// What it offers.
        capacity: Size,
        /// The heartbeat that said so.
        sequence: u64,
    },
    /// A worker crashed with these runs. Each counts once against its task.
    Crashed {
        /// The runs.
        runs: Vec<CrashedRun>,
    },
}

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or its worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its worker's lease ran out.
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
    /// Its last checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
}

/// An end with the worker's number for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// Counts the ends of the worker's life from 1.
    pub number: u64,
    /// The end.
    pub end: End,
}

/// Bytes that are no command or state of this version. Start the version that
/// wrote them.
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
    /// The command as bytes.
    pub fn encode(&self) -> Box<[u8]> {
        // Plain data of our own: writing it into a growing vector can't fail.
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Reads [`encode`](Self::encode) back.
    ///
    /// # Errors
    /// [`DecodeError`] if the bytes are of another version.
    pub fn decode(bytes: &[u8]) -> Result<Command, DecodeError> {
        postcard::from_bytes(bytes).context(DecodeSnafu { what: "command" })
    }
}
