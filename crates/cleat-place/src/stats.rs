//! Counters and the size of the state.

/// How many tasks were taken off their workers, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Moves {
    /// For urgent jobs.
    pub urgent: u64,
    /// Because a worker held more than its memory.
    pub relief: u64,
    /// Because a worker had to be empty.
    pub drain: u64,
    /// So that a waiting job fits.
    pub compaction: u64,
}

impl Moves {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.urgent + self.relief + self.drain + self.compaction
    }
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Tasks started.
    pub starts: u64,
    /// Tasks that ended without doing their job.
    pub failures: u64,
    /// Tasks lost with their worker's lease.
    pub lost: u64,
    /// Workers put into quarantine.
    pub quarantines: u64,
    /// Jobs parked.
    pub parkings: u64,
    /// Jobs refused.
    pub refusals: u64,
    /// Tasks moved.
    pub moves: Moves,
}

/// Bytes of state, counted from the capacities of its collections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Workers, with their lists of tasks and names.
    pub workers: usize,
    /// Jobs, with their names and places in queues.
    pub jobs: usize,
    /// Teams and classes.
    pub teams: usize,
}
