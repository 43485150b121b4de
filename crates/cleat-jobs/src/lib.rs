//! Jobs of many tasks: what is replicated of them, and who runs what where.
//!
//! [`ControlState`] is what a majority of disks holds: accepted jobs, ends of
//! tasks, the configuration. [`Scheduler`] is the owner's side: a pure
//! `(state, event, now) -> effects` that starts tasks on workers, stops them
//! and learns of their ends. A new owner builds it from the replicated state
//! and from what the workers list.

mod catalogue;
mod customer;
mod ids;
mod job;
mod schedule;
mod size;
mod state;

pub use catalogue::{
    Advice, Catalogue, CatalogueDraft, CatalogueError, CatalogueFault, CustomerDraft, Pool, Queue,
};
pub use customer::{Caller, Cap, Customer, Customers, Document, KeyDigest};
pub use ids::{JobId, ParseIdError, Run, StepId, TaskId};
pub use job::{JobSpec, JobSpecError, Repeat, StepSpec};
pub use schedule::{
    Arrivals, CustomerView, Decision, Durations, Effect, EndedRun, Event, Heartbeat, MachineAnswer,
    MachineOrder, MachineState, MachineView, Order, OrderAnswer, Protections, RenewalAnswer,
    RenewalOrder, RunningTask, Scheduler, SchedulerConfig, Sharing, TaskOrder, Work, WorkerState,
    WorkerView,
};
pub use size::Size;
pub use state::{
    Command, CommandOutcome, ControlState, CrashEvidence, CrashedRun, DecodeError, End, EndKind,
    EndedJob, Job, JobState, Occurrence, Owner, StepProgress, StoppingJob, TaskCrashes, TaskEnd,
    Wave, WorkerHistory, WorkerRecord,
};
