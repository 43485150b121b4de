//! Test-only switches that disable single safety mechanisms.

/// Test-only switches that disable single safety mechanisms, so that a test can
/// show that its check detects the missing mechanism. Production code always
/// uses the default, with all of them enabled.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protections {
    /// A task that an earlier owner may have started is not started again until
    /// that owner's runs are known.
    pub await_inherited_runs: bool,
    /// A task of which a worker lists an end to a new owner is not started
    /// again until that end is committed.
    pub await_inherited_ends: bool,
    /// A start without an answer is stopped on its worker before the task is
    /// started elsewhere.
    pub stop_unanswered_starts: bool,
    /// Runs on a worker that does not answer count as lost only after its lease
    /// has expired.
    pub await_lease_expiry: bool,
    /// The lease of a worker that does not answer is not extended.
    pub no_lease_when_silent: bool,
    /// A worker that was silent or whose lease expired is recorded as in use
    /// again before anything is started there.
    pub record_use_before_start: bool,
    /// Runs that an earlier owner may have started count against their
    /// customer's cap until they are known.
    pub charge_hidden_runs: bool,
    /// Runs that a worker lists and the owner does not expect are stopped.
    pub stop_strays: bool,
    /// The tasks of a worker that reports its end start elsewhere only once nothing runs
    /// there any more.
    pub await_departures: bool,
    /// A crash of a worker counts against the tasks that ran there.
    pub count_crashes: bool,
    /// Steps that can't be placed withhold capacity from others only if they wait for
    /// capacity in use, and not for long.
    pub limit_withholding: bool,
    /// Capacity is withheld only on workers that could be used by the steps that wait for it.
    pub share_other_workers: bool,
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
            await_departures: true,
            count_crashes: true,
            limit_withholding: true,
            share_other_workers: true,
        }
    }
}
