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
    /// The customers' caps are cut and raised; without it they have none.
    CapsChange,
    /// Commits take long, pass each other, or come after they were given up.
    SlowCommits,
    /// Some jobs have a task that crashes its worker soon after each start.
    CrashingTasks,
    /// Workers shrink and grow again, in a pool that starts whatever it is told to.
    WorkersShrink,
}

impl Fault {
    /// The faults of schedules without caps. Recorded seeds are of these.
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

    /// Each fault there is.
    pub(crate) const EACH: [Fault; 11] = [
        Fault::OwnerDies,
        Fault::WorkerCut,
        Fault::WorkerLost,
        Fault::WorkerRestarts,
        Fault::LateOrders,
        Fault::LostAnswers,
        Fault::Cancels,
        Fault::SlowCommits,
        Fault::CapsChange,
        Fault::CrashingTasks,
        Fault::WorkersShrink,
    ];
}

/// A step in the life of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobStage {
    /// It was committed.
    Submitted,
    /// A start of it was sent.
    StartSent,
    /// A start of it was carried out.
    Started,
    /// A worker listed an end of it.
    EndListed,
    /// An end of it was committed.
    EndCommitted,
    /// Its cancel was committed.
    Cancelled,
}

impl JobStage {
    pub(crate) const ALL: [JobStage; 6] = [
        JobStage::Submitted,
        JobStage::StartSent,
        JobStage::Started,
        JobStage::EndListed,
        JobStage::EndCommitted,
        JobStage::Cancelled,
    ];
}

/// A schedule, but for its seed.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) faults: Vec<Fault>,
    /// A fault that strikes right at such a step, some times in a schedule.
    pub(crate) injection: Option<(JobStage, Fault)>,
    pub(crate) protections: Protections,
}

impl Plan {
    pub(crate) fn with(faults: &[Fault]) -> Plan {
        Plan {
            faults: faults.to_vec(),
            injection: None,
            protections: Protections::default(),
        }
    }

    /// Cancels some jobs, and strikes at each of some steps.
    pub(crate) fn injecting_at(stage: JobStage, fault: Fault) -> Plan {
        Plan {
            injection: Some((stage, fault)),
            ..Plan::with(&[Fault::Cancels])
        }
    }

    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }
}
