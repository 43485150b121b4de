//! What a gateway or a control instance asks of a control instance.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{
    Catalogue, Document, Heartbeat, JobId, JobSpec, JobState, KeyDigest, Size, WorkerState,
};
use cleat_quorum::Message;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tarpc::context::Context;

use crate::Refusal;

/// A call that the leader answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlCall {
    /// Who leads.
    Leader,
    /// A job to store.
    Submit {
        /// The host that the caller named.
        host: Box<str>,
        /// The path that it named: a queue's prefix and the job's id.
        path: Box<str>,
        /// The digest of the key that it carries.
        key: Option<KeyDigest>,
        /// What the job asks for.
        spec: Arc<JobSpec>,
        /// How long the gateway has had it, in milliseconds: it looks for a
        /// leader as long as its caller waits.
        waited_ms: u64,
    },
    /// The state of a job, or of a queue if the path is its prefix.
    Look {
        /// As in `Submit`.
        host: Box<str>,
        /// As in `Submit`.
        path: Box<str>,
        /// As in `Submit`.
        key: Option<KeyDigest>,
    },
    /// A job to cancel.
    Cancel {
        /// As in `Submit`.
        host: Box<str>,
        /// As in `Submit`.
        path: Box<str>,
        /// As in `Submit`.
        key: Option<KeyDigest>,
    },
    /// A job to store, by the name of its queue.
    SubmitTo {
        /// The queue.
        queue: Box<str>,
        /// The job's name.
        id: JobId,
        /// What the job asks for.
        spec: Arc<JobSpec>,
    },
    /// The state of a job, by its name alone.
    LookAt {
        /// The job's name.
        id: JobId,
    },
    /// A job to cancel, by its name alone.
    CancelJob {
        /// The job's name.
        id: JobId,
    },
    /// All jobs that are not over, workers and waves.
    Overview,
    /// A worker's heartbeat.
    Heartbeat(Heartbeat),
    /// A worker's last word.
    Left {
        /// Its name.
        worker: Box<str>,
    },
    /// A configuration to put into force.
    Configure(Arc<Catalogue>),
    /// The configuration in force.
    Configuration,
    /// Machines to maintain.
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
    /// How far a wave is.
    Wave {
        /// The operator's number.
        wave: u64,
    },
}

/// A key and where it was shown.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShownKey {
    /// The digest of the key.
    pub key: KeyDigest,
    /// The host that the caller named.
    pub host: Box<str>,
    /// The path without the job's name, which differs from call to call.
    pub prefix: Box<str>,
}

impl ControlCall {
    /// The key that a caller showed with it.
    pub fn shown_key(&self) -> Option<ShownKey> {
        let (ControlCall::Submit {
            host, path, key, ..
        }
        | ControlCall::Look { host, path, key }
        | ControlCall::Cancel { host, path, key }) = self
        else {
            return None;
        };
        let prefix = path.rfind('/').map_or(&**path, |end| &path[..=end]);
        Some(ShownKey {
            key: (*key)?,
            host: host.clone(),
            prefix: prefix.into(),
        })
    }

    /// Whether a reply settles what became of the call if an earlier attempt with it may have
    /// had an effect. A refusal doesn't: it says only that the last attempt had none, as the
    /// configuration or the load may have changed in between.
    pub fn is_settled_by(&self, reply: &ControlReply) -> bool {
        match self {
            ControlCall::Leader
            | ControlCall::Look { .. }
            | ControlCall::LookAt { .. }
            | ControlCall::Overview
            | ControlCall::Configuration
            | ControlCall::Wave { .. } => true,
            ControlCall::Cancel { .. } | ControlCall::CancelJob { .. } => {
                matches!(reply, ControlReply::Done | ControlReply::Over)
            }
            ControlCall::Submit { .. }
            | ControlCall::SubmitTo { .. }
            | ControlCall::Heartbeat(_)
            | ControlCall::Left { .. }
            | ControlCall::Configure(_)
            | ControlCall::StartWave { .. } => matches!(reply, ControlReply::Done),
        }
    }

    /// Notes how long a gateway has had the call, where that matters.
    pub fn note_wait(&mut self, waited: Duration) {
        if let ControlCall::Submit { waited_ms, .. } = self {
            *waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        }
    }
}

/// What a job is said to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobView {
    /// Accepted; no task has started.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobView {
    /// The view of a job whose tasks have started, or not.
    pub fn of(state: JobState, begun: bool) -> JobView {
        match state {
            JobState::Active if begun => JobView::Running,
            JobState::Active => JobView::Queued,
            JobState::Completed => JobView::Completed,
            JobState::Failed => JobView::Failed,
            JobState::Cancelled => JobView::Cancelled,
        }
    }
}

/// The answer to a [`ControlCall`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// This instance leads.
    Leading,
    /// It is stored, noted or in force.
    Done,
    /// The state of a job.
    Job(JobView),
    /// How many jobs of a queue have not begun.
    Waiting(u64),
    /// No queue has this host and path.
    NoSuchQueue,
    /// The queue has no such job.
    NoSuchJob,
    /// The path names no job.
    NotAJob,
    /// The job was over before it could be cancelled.
    Over,
    /// The operator's document that is in force.
    Configuration {
        /// Its version.
        version: u64,
        /// The document as it came.
        document: Document,
    },
    /// There is no configuration yet.
    NoConfiguration,
    /// The queue's callers need a key, and the call has none that a customer
    /// has. It had no effect.
    UnknownKey,
    /// The job's name is that of another customer's job. It had no effect.
    Taken,
    /// Whether a wave is completed.
    Wave {
        /// Whether each machine has begun its maintenance.
        completed: bool,
    },
    /// There is no such wave.
    NoSuchWave,
    /// All jobs that are not over, workers and waves.
    Overview(Overview),
    /// The job was not stored, since it could not be completed while its result
    /// has value.
    Overloaded {
        /// After how many milliseconds the job should be submitted again.
        retry_after_ms: u64,
    },
}

/// What operators are shown.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Overview {
    /// The jobs that are not over, by name.
    pub jobs: Vec<JobLine>,
    /// How many jobs that are over are still remembered.
    pub ended: u64,
    /// The workers.
    pub workers: Vec<WorkerLine>,
    /// The customers; none where calls need no key.
    pub customers: Vec<CustomerLine>,
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerLine {
    /// Its name.
    pub name: Box<str>,
    /// The fingerprints of its keys.
    pub keys: Vec<Box<str>>,
    /// How many jobs a second it may count on when all is full.
    pub weight: f64,
    /// How many of its jobs are not over.
    pub jobs: u64,
    /// How many of its tasks wait for a start.
    pub waiting: u64,
    /// What it has running.
    pub used: Size,
    /// What may run beside that without the owner's knowledge.
    pub in_doubt: Size,
    /// The most that it may have running; 0 is no limit.
    pub cap: Size,
}

/// One job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLine {
    /// Its name.
    pub id: JobId,
    /// Its queue.
    pub queue: Box<str>,
    /// The pool that runs it.
    pub pool: Box<str>,
    /// How many tasks it has.
    pub tasks: u64,
    /// How many of them are done, in occurrences that are not over.
    pub done: u64,
    /// How many run.
    pub running: u64,
}

/// One worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLine {
    /// Its name.
    pub name: Box<str>,
    /// Its pool.
    pub pool: Box<str>,
    /// Its machine, if it names one.
    pub machine: Option<Box<str>>,
    /// What the owner believes of it.
    pub state: WorkerState,
    /// How many runs it has.
    pub runs: u64,
    /// What they take up, in thousandths of a core.
    pub used_cpu_milli: u64,
    /// What it offers, in thousandths of a core.
    pub cpu_milli: u64,
}

/// Why a control instance did not do what it was asked. The leader goes by its
/// key.
pub type ControlError = Refusal<u32>;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AskError {
    /// No leader took it in time; it had no effect and has none later.
    #[snafu(display("no leader took the call in time"))]
    NotDone,
    /// Too many keys came that nobody is known to have; it had no effect and has
    /// none later.
    #[snafu(display("too many new keys to ask about"))]
    TooManyKeys,
    /// It may have had an effect. Repeating it is safe.
    #[snafu(display("the outcome of the call is not known"))]
    Unknown,
    /// The leader will never take it.
    #[snafu(display("{source}"))]
    Refused {
        /// Why.
        source: ControlError,
    },
}

/// The service that each control instance offers.
#[tarpc::service]
pub trait Control {
    /// Takes consensus messages; their answers are messages of their own.
    async fn deliver(messages: Vec<Message>);

    /// Answers a call if this instance leads.
    async fn ask(call: ControlCall) -> Result<ControlReply, ControlError>;
}

/// The methods of [`Control`] with futures that may move between threads.
pub trait ControlHandler: Send + Sync + 'static {
    /// See [`Control::deliver`].
    fn deliver(&self, messages: Vec<Message>);

    /// See [`Control::ask`].
    fn ask(
        &self,
        call: ControlCall,
    ) -> impl Future<Output = Result<ControlReply, ControlError>> + Send;
}

pub(crate) struct ControlAdapter<H>(pub(crate) Arc<H>);

impl<H> Clone for ControlAdapter<H> {
    fn clone(&self) -> Self {
        ControlAdapter(self.0.clone())
    }
}

impl<H: ControlHandler> Control for ControlAdapter<H> {
    async fn deliver(self, _: Context, messages: Vec<Message>) {
        self.0.deliver(messages);
    }

    async fn ask(self, _: Context, call: ControlCall) -> Result<ControlReply, ControlError> {
        self.0.ask(call).await
    }
}
