//! Small `Copy` keys of jobs, workers, teams, classes and tasks.

/// A key into a [`Slab`](crate::slab::Slab).
pub(crate) trait Key: Copy {
    /// The key of slot `index` in its life `generation`.
    fn new(index: u32, generation: u32) -> Self;

    /// The position of the slot.
    fn index(self) -> usize;

    /// Which life of the slot the key means.
    fn generation(self) -> u32;
}

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name {
            index: u32,
            generation: u32,
        }

        impl Key for $name {
            fn new(index: u32, generation: u32) -> Self {
                $name { index, generation }
            }

            fn index(self) -> usize {
                self.index as usize
            }

            fn generation(self) -> u32 {
                self.generation
            }
        }
    };
}

key! {
    /// A job that is neither finished, cancelled nor refused. The key of a job
    /// that is gone is never valid again.
    JobId
}
key! {
    /// A worker. The key of a worker that is gone is never valid again.
    WorkerId
}

/// A team, which owns jobs and has a quota. Valid as long as the placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamId(pub(crate) u32);

/// The jobs of one team that resemble each other in size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ClassId(pub(crate) u32);

/// One attempt to run a job. A message about an earlier attempt is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Counts the starts of the job, from 1.
    pub attempt: u32,
}
