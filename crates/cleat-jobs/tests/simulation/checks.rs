//! Checks of the simulation's guarantees.

use std::time::Duration;

use cleat_jobs::{EndKind, JobId, RenewalOrder, Run, Scheduler, TaskEnd, TaskOrder};

use super::faults::looser_cap;
use super::jobs::customer_of;
use super::unplaceable::is_unplaceable;
use super::violation::Violation;
use super::world::{CAPS, FAULTS_END, MAX_ATTEMPTS, World, ms};

/// How long a task of a cancelled job may still run after the last late start.
const CANCEL_LIMIT: Duration = Duration::from_secs(4);

impl World {
    /// A task has one run at a time, or two started by the same owner if it is speculative.
    /// The order of an earlier owner may reach a worker that is not known to the current
    /// one, which does not wait for the leases of speculative tasks.
    pub(super) fn check_start(
        &mut self,
        at: usize,
        order: &TaskOrder,
        token: u64,
    ) -> Result<(), Violation> {
        let (task, run, now) = (order.task, order.run, self.now);
        let ms = now.as_millis();
        let speculative = self.is_speculative(task.job());
        let mut has_copy = false;
        for (other, worker) in self.workers.iter_mut().enumerate() {
            worker.advance(now);
            let Some(other_run) = worker.runs.get(&task).filter(|_| other != at && worker.up)
            else {
                continue;
            };
            let same_owner = owner_of(other_run.run) == owner_of(run);
            if !speculative || (same_owner && std::mem::replace(&mut has_copy, true)) {
                return Err(Violation::RunsTwice { task, ms });
            }
        }
        let current = self.state.owner.is_some_and(|owner| owner.token == token);
        if speculative && !current {
            return Ok(());
        }
        if let Some(after) = self
            .accepted
            .insert(task, run)
            .filter(|after| run <= *after)
        {
            return Err(Violation::RunFalls { task, run, after });
        }
        let Some(job) = self.state.jobs.get(&task.job()) else {
            return Ok(());
        };
        if job.is_task_done(task.step, task.index) {
            return Err(Violation::StartsDone { task, ms });
        }
        if !job.is_step_due(task.step) {
            return Err(Violation::OutOfOrder { task, ms });
        }
        let failures = job
            .progress(task.step)
            .map_or(0, |step| step.failures(task.index));
        if failures >= MAX_ATTEMPTS {
            return Err(Violation::OverBudget { task });
        }
        Ok(())
    }

    /// Ends `done` are in the replicated state before a renewal acknowledges them to a worker
    /// whose record is there. The job may have ended since.
    pub(super) fn check_acknowledged(
        &self,
        at: usize,
        order: &RenewalOrder,
    ) -> Result<(), Violation> {
        let worker = &self.workers[at];
        let token = self.state.owner.map_or(0, |owner| owner.token);
        if order.token < worker.token || order.token < token {
            return Ok(());
        }
        let acknowledged = worker.ended.iter().filter(|end| end.number <= order.acked);
        for TaskEnd { end, .. } in acknowledged {
            let job = self.state.jobs.get(&end.task.job());
            let is_recorded = job.is_none_or(|job| job.is_task_done(end.task.step, end.task.index));
            if end.kind == EndKind::Done && !is_recorded {
                let (task, ms) = (end.task, self.now.as_millis());
                return Err(Violation::AcknowledgedUnrecorded { task, ms });
            }
        }
        Ok(())
    }

    /// A start may not exceed its customer's cap, except by one task while the others use
    /// less than half of the cap. Orders may be reordered in transit, so any one of the
    /// runs may be that task.
    pub(super) fn check_cap(&mut self, order: &TaskOrder) -> Result<(), Violation> {
        let (task, now) = (order.task, self.now);
        let at = usize::try_from(task.job().0 % CAPS.len() as u64).expect("value out of range");
        let (mut in_use, mut largest) = (0, 0);
        for worker in self.workers.iter_mut().filter(|worker| worker.up) {
            worker.advance(now);
            for (other, run) in &worker.runs {
                if customer_of(other.job()) == customer_of(task.job()) {
                    in_use += run.size.cpu_milli;
                    largest = largest.max(run.size.cpu_milli);
                }
            }
        }
        let mut cap = self.caps()[at];
        if now <= self.previous_caps.1 {
            cap = looser_cap(cap, self.previous_caps.0[at]);
        }
        let allowed = cap == 0 || in_use <= cap || (in_use - largest) * 2 < cap;
        let ms = now.as_millis();
        allowed.then_some(()).ok_or(Violation::OverCap { task, ms })
    }

    /// A start may not exceed the capacity of its worker.
    pub(super) fn check_capacity(&self, at: usize, order: &TaskOrder) -> Result<(), Violation> {
        let worker = &self.workers[at];
        let (before, until) = self.previous_capacity[at];
        let mut capacity = worker.record.capacity;
        if self.now <= until {
            capacity = capacity.component_max(before);
        }
        let (task, ms) = (order.task, self.now.as_millis());
        let fits = worker.used().fits(capacity);
        fits.then_some(())
            .ok_or(Violation::OverCapacity { task, ms })
    }

    /// The account of each customer has to match the sum recounted from its runs.
    pub(super) fn check_accounts(&self) -> Result<(), Violation> {
        let rows = self.owner.as_ref().map(Scheduler::recount_usage);
        let mut rows = rows.unwrap_or_default().into_iter();
        match rows.find(|(_, kept, counted)| kept != counted) {
            Some((customer, ..)) => {
                let ms = self.now.as_millis();
                Err(Violation::Miscounted { customer, ms })
            }
            None => Ok(()),
        }
    }

    /// No task of a cancelled job may still run on a worker that is up.
    pub(super) fn check_workers(&mut self) -> Result<(), Violation> {
        let (now, ms) = (self.now, self.now.as_millis());
        if self.now < FAULTS_END + max_order_delay() + CANCEL_LIMIT || self.owner.is_none() {
            return Ok(());
        }
        for worker in &mut self.workers {
            worker.advance(now);
            for task in worker.runs.keys() {
                if worker.up && self.cancelled.contains_key(&task.job()) {
                    return Err(Violation::RunsCancelled { task: *task, ms });
                }
            }
        }
        Ok(())
    }

    /// A job may fail only if its runs failed as often as allowed, or if two workers
    /// crashed under one of its tasks.
    fn check_failed(&self) -> Result<(), Violation> {
        let ms = self.now.as_millis();
        let without_cause =
            |id: &JobId| !self.may_fail(*id) && !self.crashes.may_fail_from_crashes(*id);
        match self.failed().find(without_cause) {
            Some(job) => Err(Violation::FailedWithoutCause { job, ms }),
            None => Ok(()),
        }
    }

    pub(super) fn check_end(&self) -> Result<(), Violation> {
        self.check_failed()?;
        let mut jobs = self.state.jobs.keys();
        match jobs.find(|id| !is_unplaceable(**id)) {
            Some(job) => Err(Violation::NotFinished { job: *job }),
            None => Ok(()),
        }
    }
}

/// The number of the owner that assigned a run number.
fn owner_of(run: Run) -> u64 {
    run.0 >> 20
}

/// The longest time between sending and executing a late order.
fn max_order_delay() -> Duration {
    ms(12_000)
}
