//! Switches that turn single protections off.

/// Switches that turn single protections off, so that a test can show that
/// its check notices. Never changed outside tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protections {
    /// Tasks that an earlier owner may have started wait until its runs are
    /// known.
    pub known_runs_first: bool,
    /// Tasks whose end a worker lists to a new owner wait for its commit.
    pub inherited_ends: bool,
    /// A start without an answer is stopped before it is tried elsewhere.
    pub close_doors: bool,
    /// What runs on a silent worker is taken as over only after its lease.
    pub lease_first: bool,
    /// A silent worker's lease is not extended.
    pub no_blind_grants: bool,
    /// A worker whose lease was over is recorded as in use again before
    /// anything is started there.
    pub recorded_first: bool,
    /// What an earlier owner may have started counts against its customer's cap
    /// until it is known.
    pub hidden_runs_count: bool,
    /// Runs that should not be there are stopped.
    pub stop_strays: bool,
    /// Crashes of workers count against the tasks that ran there.
    pub crashes_count: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Protections {
            known_runs_first: true,
            inherited_ends: true,
            close_doors: true,
            lease_first: true,
            no_blind_grants: true,
            recorded_first: true,
            hidden_runs_count: true,
            stop_strays: true,
            crashes_count: true,
        }
    }
}
