//! Placement of jobs on workers, as pure decisions: (state, event, now) to
//! effects.
//!
//! A [`Placement`] is told of workers, jobs, tasks and usage by [`Event`]s and
//! answers with [`Effect`]s, which a shell carries out in their order. Time is
//! a `Duration` since any fixed moment; the only randomness is the spread of
//! backoffs, drawn from a seed. Nothing here locks, waits or does I/O.

mod bound;
mod effect;
mod estimate;
mod event;
mod fit;
mod job;
mod keys;
mod placement;
mod protections;
mod size;
mod slab;
mod stats;
mod team;
mod terms;
mod timers;
mod worker;

pub use bound::fewest_workers;
pub use effect::{Cause, Effect, End, Limit};
pub use event::{Event, JobSpec, Priority, Report, TaskUsage, WorkerSpec};
pub use fit::Policy;
pub use job::{JobView, WaitReason};
pub use keys::{JobId, TaskId, TeamId, WorkerId};
pub use placement::Placement;
#[doc(hidden)]
pub use protections::Protections;
pub use size::{Resource, Share, Size, WHOLE};
pub use stats::{Footprint, Moves, Stats};
pub use terms::Terms;
pub use worker::{Standing, WorkerView};
