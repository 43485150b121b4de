//! Switches that turn single protections off.

/// Switches that turn single protections off, so that a test can show that
/// its check notices. Never changed outside tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protections {
    /// Tasks that an earlier owner may have started wait until its runs are
    /// known.
    pub await_inherited_runs: bool,
    /// Tasks whose end a worker lists to a new owner wait for its commit.
    pub await_inherited_ends: bool,
    /// A start without an answer is stopped before it is tried elsewhere.
    pub stop_unanswered_starts: bool,
    /// What runs on a silent worker is taken as over only after its lease.
    pub await_lease_expiry: bool,
    /// A silent worker's lease is not extended.
    pub no_lease_when_silent: bool,
    /// A worker whose lease was over is recorded as in use again before
    /// anything is started there.
    pub record_use_before_start: bool,
    /// What an earlier owner may have started counts against its customer's cap
    /// until it is known.
    pub charge_hidden_runs: bool,
    /// Runs that should not be there are stopped.
    pub stop_strays: bool,
    /// Crashes of workers count against the tasks that ran there.
    pub count_crashes: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Protections {
            await_inherited_runs: true,
            await_inherited_ends: true,
            stop_unanswered_starts: true,
            await_lease_expiry: true,
            no_lease_when_silent: true,
            record_use_before_start: true,
            charge_hidden_runs: true,
            stop_strays: true,
            count_crashes: true,
        }
    }
}
