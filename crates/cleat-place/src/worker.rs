//! A worker and what is set aside on it.

use std::time::Duration;

use crate::event::WorkerSpec;
use crate::keys::{ClassId, JobId};
use crate::size::Size;

/// How far a worker is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It gets work.
    Good,
    /// It failed many jobs and gets no work until the time stated.
    Quarantined(Duration),
    /// It gets one task at a time until one finishes.
    Probation,
}

/// What an operator sees of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Its rack.
    pub rack: Box<str>,
    /// What it has.
    pub capacity: Size,
    /// What is set aside on it, corrected by use.
    pub reserved: Size,
    /// How far it is trusted.
    pub standing: Standing,
    /// How many tasks it has.
    pub tasks: usize,
}

/// Whether a worker is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    Up,
    Down,
    /// It takes nothing new, and is empty by the time stated if there is one.
    Cordoned(Option<Duration>),
    /// It leaves for good; its place in the arena goes with its last task.
    Withdrawn(Duration),
}

#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) name: Box<str>,
    pub(crate) data_centre: Box<str>,
    pub(crate) rack: Box<str>,
    pub(crate) capacity: Size,
    pub(crate) incarnation: u64,
    pub(crate) presence: Presence,
    /// When a report last came; its lease runs from no later than that.
    pub(crate) heard_at: Duration,
    /// The jobs with a task here. Invariant: distinct.
    pub(crate) tasks: Vec<JobId>,
    /// Invariant: the sum of the sizes of `tasks`.
    pub(crate) reserved: Size,
    /// Invariant: the sum of the sizes of those of `tasks` that are leaving.
    pub(crate) releasing: Size,
    /// Invariant: the sum of the claims on this worker.
    pub(crate) claimed: Size,
    /// Jobs that failed here and are not known to be bad. Invariant: distinct
    /// jobs; emptied when a job finishes here.
    pub(crate) blame: Vec<(JobId, ClassId)>,
    pub(crate) standing: Standing,
    pub(crate) quarantines: u32,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec, now: Duration) -> Worker {
        Worker {
            name: spec.name,
            data_centre: spec.data_centre,
            rack: spec.rack,
            capacity: spec.capacity,
            incarnation: spec.incarnation,
            presence: Presence::Up,
            heard_at: now,
            tasks: Vec::new(),
            reserved: Size::default(),
            releasing: Size::default(),
            claimed: Size::default(),
            blame: Vec::new(),
            standing: Standing::Good,
            quarantines: 0,
        }
    }

    /// Whether it may get work, given when silence became suspicious.
    pub(crate) fn takes_work(&self, heard_since: Duration) -> bool {
        let trusted = match self.standing {
            Standing::Good => true,
            Standing::Probation => self.tasks.is_empty() && self.claimed.is_empty(),
            Standing::Quarantined(_) => false,
        };
        trusted && self.presence == Presence::Up && self.heard_at >= heard_since
    }

    /// Whether it can hold work again some day.
    pub(crate) fn is_lasting(&self) -> bool {
        !matches!(self.presence, Presence::Withdrawn(_))
    }

    /// What nobody holds or claims now.
    pub(crate) fn free(&self) -> Size {
        let taken = self.reserved.plus(self.claimed);
        self.capacity.minus(taken)
    }

    /// Whether `size` more fits now, beside what is held and claimed.
    pub(crate) fn has_room(&self, size: Size) -> bool {
        let taken = self.reserved.plus(self.claimed);
        size.plus(taken).fits(self.capacity)
    }

    /// What is held and claimed once the leaving tasks are gone.
    pub(crate) fn staying(&self) -> Size {
        self.reserved.minus(self.releasing).plus(self.claimed)
    }

    pub(crate) fn view(&self) -> WorkerView {
        WorkerView {
            data_centre: self.data_centre.clone(),
            rack: self.rack.clone(),
            capacity: self.capacity,
            reserved: self.reserved,
            standing: self.standing,
            tasks: self.tasks.len(),
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        let names = self.name.len() + self.data_centre.len() + self.rack.len();
        let tasks = self.tasks.capacity() * size_of::<JobId>();
        let blame = self.blame.capacity() * size_of::<(JobId, ClassId)>();
        size_of::<Worker>() + names + tasks + blame
    }
}
