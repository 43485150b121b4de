//! Switches that turn single protections off.

/// Lets a test show that its check notices a missing protection. Never changed
/// outside tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Protections {
    /// Only workers with room are chosen.
    pub room: bool,
    /// A lost task is started again only after its lease.
    pub lease_wait: bool,
    /// Sizes are corrected by usage.
    pub correction: bool,
    /// Few tasks of a class start before the first reports its use.
    pub probing: bool,
    /// Jobs that can never fit are refused.
    pub refusal: bool,
    /// Team quotas are kept.
    pub quotas: bool,
    /// The team with the smallest dominant share goes first.
    pub fairness: bool,
    /// Bad workers are quarantined.
    pub quarantine: bool,
    /// The last worker of its kind stays out of quarantine.
    pub keep_last: bool,
    /// Bad jobs are parked.
    pub parking: bool,
    /// A class that fails everywhere is blamed in place of the workers.
    pub class_blame: bool,
    /// Urgent jobs go ahead of the queues.
    pub urgent_lane: bool,
    /// Work is checkpointed for urgent jobs.
    pub preemption: bool,
    /// Calls that nobody waits for are spread over ticks.
    pub pacing: bool,
    /// Room is held for a job that waited long.
    pub holding: bool,
    /// A compaction must gain more than it costs.
    pub paying_moves: bool,
    /// Messages about earlier attempts are ignored.
    pub attempt_fence: bool,
    /// A worker that leaves is emptied in time.
    pub drain: bool,
}

impl Protections {
    /// Everything on.
    pub const ALL: Protections = Protections {
        room: true,
        lease_wait: true,
        correction: true,
        probing: true,
        refusal: true,
        quotas: true,
        fairness: true,
        quarantine: true,
        keep_last: true,
        parking: true,
        class_blame: true,
        urgent_lane: true,
        preemption: true,
        pacing: true,
        holding: true,
        paying_moves: true,
        attempt_fence: true,
        drain: true,
    };
}
