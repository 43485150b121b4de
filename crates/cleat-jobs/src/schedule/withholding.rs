//! How long free capacity is withheld from other steps for those that wait for it.
//!
//! A large task fits on a worker only once several runs have ended there. If smaller tasks
//! behind it took the capacity of each run that ends, it might wait forever. So a pass ends
//! after some steps that wait for capacity, which then accumulates. That helps only if the
//! capacity comes free soon: after a while without a start of any of these steps, others
//! may use it for a time.

use std::time::Duration;

use super::ready::Rank;
use crate::StepId;

/// How long capacity is withheld without a start of any step that waits for it. A job that
/// could start is never kept waiting for much longer.
const MAX_WITHHOLDING: Duration = Duration::from_secs(2);
/// How long other steps may then use it.
const SHARING: Duration = Duration::from_secs(4);

/// Whether the free capacity of a pool is withheld. The default is a pool whose passes
/// examine all waiting steps.
#[derive(Debug, Default)]
pub(super) struct Withholding {
    /// The steps for which the last pass withheld capacity.
    beneficiaries: Vec<StepId>,
    /// Since when capacity is withheld without a start of such a step.
    since: Option<Duration>,
    /// Until when others may use the capacity.
    shared_until: Option<Duration>,
    /// The last of the other steps that was examined, if some are left behind it.
    pub(super) resume_after: Option<Rank>,
}

impl Withholding {
    /// Whether a pass came to steps for which it withholds capacity, or shares it again.
    pub(super) fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Whether capacity is withheld for this step among others.
    pub(super) fn benefits(&self, id: StepId) -> bool {
        self.beneficiaries.contains(&id)
    }

    /// Records that a pass ends after these steps, which wait for capacity. Returns whether
    /// the capacity is withheld from those behind.
    pub(super) fn withhold(&mut self, now: Duration, beneficiaries: Vec<StepId>) -> bool {
        self.beneficiaries = beneficiaries;
        if self.shared_until.is_some_and(|until| now >= until) {
            self.shared_until = None;
            self.since = None;
        }
        if self.shared_until.is_some() {
            return false;
        }
        let since = *self.since.get_or_insert(now);
        if now < since + MAX_WITHHOLDING {
            return true;
        }
        self.shared_until = Some(now + SHARING);
        self.resume_after = None;
        false
    }
}
