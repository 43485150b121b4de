//! Jobs that consist of many tasks: their replicated state, and the scheduling of
//! their tasks on workers.
//!
//! [`ControlState`] is replicated, so a majority of the members has it on disk. It
//! holds the accepted jobs, the ends of their tasks and the configuration.
//! [`Scheduler`] is used by the owner of the workers. It is a pure function
//! `(state, event, now) -> effects` that starts and stops tasks on workers and
//! processes their ends. A new owner builds it from the replicated state and from the
//! runs that the workers report.

mod catalogue;
mod collections;
mod customer;
mod ids;
mod job;
mod schedule;
mod size;
mod state;

pub use catalogue::{
    AdviceTiming, Catalogue, CatalogueDraft, CatalogueError, CatalogueFault, CustomerDraft, Pool,
    Queue,
};
pub use customer::{Caller, Cap, Customer, Customers, Document, KeyDigest};
pub use ids::{JobId, ParseIdError, Run, StepId, TaskId};
pub use job::{JobSpec, JobSpecError, MAX_STEPS, Repeat, StepSpec};
pub use schedule::{
    Admission, Arrivals, CustomerView, Decision, DurationModel, Effect, EndedRun, Event, Features,
    Heartbeat, HoldReason, JobUsage, LearnedFault, MachineAnswer, MachineOrder, MachineState,
    MachineView, Order, OrderAnswer, Protections, RefusalReason, RenewalAnswer, RenewalOrder,
    RunningTask, Scheduler, SchedulerConfig, SharePolicy, Submission, TaskOrder, WaitReason,
    WorkerState, WorkerView,
};
pub use size::Size;
pub use state::{
    Command, CommandOutcome, ControlState, CrashEvidence, CrashedRun, DecodeError, End, EndKind,
    EndedJob, Job, JobState, LearnedDurations, LearnedQueue, LearnedStats, Occurrence, Owner,
    StepProgress, StoppingJob, TaskCrashes, TaskEnd, Wave, WorkerHistory, WorkerRecord, life_name,
    started_ms, worker_id,
};
