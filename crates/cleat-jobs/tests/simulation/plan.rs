//! What a schedule contains.

use cleat_jobs::Protections;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The owner ends; another takes over after a while.
    OwnerDies,
    /// A worker is cut off for some seconds and runs on.
    WorkerCut,
    /// A worker crashes for good.
    WorkerLost,
    /// A worker crashes and starts again at the same address.
    WorkerRestarts,
    /// Orders get no answer and are carried out seconds later.
    LateOrders,
    /// Orders are carried out, and the answer is lost.
    LostAnswers,
    /// Jobs are cancelled.
    Cancels,
    /// Commits take long, pass each other, or come after they were given up.
    SlowCommits,
}

impl Fault {
    pub(crate) const ALL: [Fault; 8] = [
        Fault::OwnerDies,
        Fault::WorkerCut,
        Fault::WorkerLost,
        Fault::WorkerRestarts,
        Fault::LateOrders,
        Fault::LostAnswers,
        Fault::Cancels,
        Fault::SlowCommits,
    ];
}

/// A schedule, but for its seed.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) faults: Vec<Fault>,
    pub(crate) protections: Protections,
}

impl Plan {
    pub(crate) fn with(faults: &[Fault]) -> Plan {
        Plan {
            faults: faults.to_vec(),
            protections: Protections::default(),
        }
    }

    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }
}
