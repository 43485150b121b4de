//! Updates of the accounts as runs start and end.

use super::{Charge, CustomerKey, Stray};
use crate::collections::{IndexMap, IndexSet};
use crate::schedule::Scheduler;
use crate::schedule::attempt::Attempt;
use crate::schedule::ready::DirtyPools;
use crate::schedule::start::RUN_NUMBERS_PER_OWNER;
use crate::schedule::worker::WorkerKey;
use crate::state::{Command, ControlState, Job, JobState};
use crate::{JobId, Run, Size, StepId, StepSpec, TaskId};

impl Scheduler {
    /// The charge for a run of a step of the job: what it counts against the customer's cap.
    /// Its footprint is what it uses of the worker's capacity. A best-effort run is charged
    /// for its full size, since a cap limits what a customer has running, but its footprint
    /// has no CPU.
    pub(in crate::schedule) fn charge_for(
        &mut self,
        state: &ControlState,
        job: &Job,
        spec: &StepSpec,
    ) -> Charge {
        let catalogue = state.catalogue.as_deref();
        let name = job.customer.as_deref();
        Charge {
            customer: name.map(|name| self.accounts.get_or_create(name, catalogue)),
            size: spec.size,
        }
    }

    /// The charge and footprint of a stray run. If its job has ended, the run counts as the
    /// largest task of the job. If the job is unknown, the run is charged to no customer
    /// and may use the whole worker.
    fn stray_usage(
        &mut self,
        state: &ControlState,
        assignment: (WorkerKey, TaskId),
    ) -> (Charge, Size) {
        let (worker, task) = assignment;
        if let Some(job) = state.jobs.get(&task.job())
            && let Some(spec) = job.step(task.step)
        {
            return (self.charge_for(state, job, spec), spec.footprint());
        }
        let Some(ended) = state.ended.get(&task.job()) else {
            return (Charge::default(), self.workers[worker].record.capacity);
        };
        let catalogue = state.catalogue.as_deref();
        let name = ended.customer.as_deref();
        let charge = Charge {
            customer: name.map(|name| self.accounts.get_or_create(name, catalogue)),
            size: ended.largest_task,
        };
        (charge, ended.largest_task)
    }

    /// Counts a stray run of a worker. It counts until the worker no longer reports it as
    /// running, so this must be called once for each stray.
    pub(in crate::schedule) fn add_stray(
        &mut self,
        state: &ControlState,
        stray_key: (WorkerKey, TaskId, Run),
    ) {
        let (worker, task, _) = stray_key;
        let (charge, footprint) = self.stray_usage(state, (worker, task));
        self.accounts.add(charge);
        self.workers[worker].used_by_strays += footprint;
        let stray = Stray {
            // The caller sends the first stop order now.
            sent_at: self.now,
            charge,
            footprint,
        };
        self.strays.insert(stray_key, stray);
    }

    /// Releases the strays of a worker for which `is_running` returns false.
    pub(in crate::schedule) fn release_strays(
        &mut self,
        key: WorkerKey,
        is_running: impl Fn(TaskId, Run) -> bool,
    ) {
        let strays = self.strays.keys().copied();
        let ended = strays.filter(|(worker, task, run)| *worker == key && !is_running(*task, *run));
        let ended: Vec<_> = ended.collect();
        for stray_key in ended {
            let Some(stray) = self.strays.swap_remove(&stray_key) else {
                continue;
            };
            self.workers[key].used_by_strays -= stray.footprint;
            self.release_charge(stray.charge);
            self.request_scheduling_for_worker(key);
        }
    }

    /// Releases the charge of a run. The pools in which the customer's cap prevented
    /// the start of steps are scheduled again.
    pub(in crate::schedule) fn release_charge(&mut self, charge: Charge) {
        for pool in self.accounts.release(charge) {
            self.request_scheduling(&pool);
        }
    }

    /// Updates the caps from the configuration in force, and the hidden usage from the
    /// workers that have reported their runs.
    pub(in crate::schedule) fn update_accounts(&mut self, state: &ControlState) {
        if let Some(catalogue) = &state.catalogue
            && self.accounts.apply_catalogue(catalogue)
        {
            self.dirty_pools = DirtyPools::All;
        }
        let capped = self.may_have_hidden_runs && self.accounts.has_caps();
        let has_hidden_runs = capped
            && self
                .workers
                .iter()
                .any(|(_, worker)| !worker.runs_are_known());
        if has_hidden_runs {
            self.update_hidden_usage(state);
        } else if self.may_have_hidden_runs {
            self.may_have_hidden_runs = self
                .workers
                .iter()
                .any(|(_, worker)| !worker.runs_are_known());
            for account in &mut self.accounts.arena {
                account.hidden_usage = Size::default();
            }
        }
    }

    /// Counts everything that an earlier owner may have started on workers that have not
    /// reported their runs to this one.
    fn update_hidden_usage(&mut self, state: &ControlState) {
        // Only tests that check what happens without this protection disable it.
        let is_disabled = !self.cfg.protections.charge_hidden_runs;
        let mut hidden_sizes: IndexMap<CustomerKey, Size> = IndexMap::default();
        for step in self.steps.values() {
            let Some(customer) = step.charge.customer else {
                continue;
            };
            let unknown_until = self.unknown_until(&step.pool);
            // A log position: tasks of steps that became ready up to it may be running.
            if unknown_until.is_some_and(|index| step.ready_index <= index) {
                let pending = step.pending.len() as u64;
                *hidden_sizes.entry(customer).or_default() += step.charge.size.scaled(pending);
            }
        }
        self.add_hidden_copies(&mut hidden_sizes);
        self.add_stopping_jobs(state, &mut hidden_sizes);
        for (index, account) in self.accounts.arena.iter_mut().enumerate() {
            let key = CustomerKey(u32::try_from(index).unwrap_or(u32::MAX));
            let size = hidden_sizes.get(&key).copied().unwrap_or_default();
            account.hidden_usage = if is_disabled { Size::default() } else { size };
        }
    }

    /// Counts the runs that may be left of cancelled and failed jobs, and of tasks that are
    /// done and may have been copied. The latter are copies, so the budgets of the pools limit
    /// them.
    fn add_stopping_jobs(
        &mut self,
        state: &ControlState,
        hidden_sizes: &mut IndexMap<CustomerKey, Size>,
    ) {
        let catalogue = state.catalogue.as_deref();
        let mut copies: IndexMap<CustomerKey, Size> = IndexMap::default();
        for (id, stopping) in &state.stopping {
            let customer = self.accounts.get_or_create(&stopping.customer, catalogue);
            let tasks_run_on = matches!(
                state.job_state(*id),
                None | Some(JobState::Cancelled | JobState::Failed)
            );
            let sizes = if tasks_run_on {
                &mut *hidden_sizes
            } else {
                &mut copies
            };
            *sizes.entry(customer).or_default() += stopping.size;
        }
        let budget = self.total_copy_budget();
        for (customer, size) in copies {
            *hidden_sizes.entry(customer).or_default() += size.component_min(budget);
        }
    }

    /// Counts the runs that an earlier owner may have started beside the known run of a
    /// task: the runs of tasks that this owner started without waiting for them, and copies
    /// within the budget of each pool.
    fn add_hidden_copies(&self, hidden_sizes: &mut IndexMap<CustomerKey, Size>) {
        if !self.speculates() {
            return;
        }
        let own_runs = Run(u64::from(self.owner.ordinal) * RUN_NUMBERS_PER_OWNER);
        let mut replaced: IndexMap<StepId, u64> = IndexMap::default();
        let mut single: IndexMap<StepId, u64> = IndexMap::default();
        let attempts = self.attempts.iter();
        for (task, attempt) in attempts.filter(|(task, _)| !self.superseded.contains(**task)) {
            *single.entry(task.step).or_default() += 1;
            if attempt.run > own_runs {
                *replaced.entry(task.step).or_default() += 1;
            }
        }
        let mut copies: IndexMap<(CustomerKey, &str), Size> = IndexMap::default();
        for (id, step) in self.steps.iter().filter(|(_, step)| step.speculative) {
            let unknown_until = self.unknown_until(&step.pool);
            let may_be_hidden = unknown_until.is_some_and(|index| step.ready_index <= index);
            let Some(customer) = step.charge.customer.filter(|_| may_be_hidden) else {
                continue;
            };
            let replaced = replaced.get(id).copied().unwrap_or_default();
            *hidden_sizes.entry(customer).or_default() += step.charge.size.scaled(replaced);
            let count = single.get(id).copied().unwrap_or_default() + step.pending.len() as u64;
            *copies.entry((customer, &*step.pool)).or_default() += step.charge.size.scaled(count);
        }
        for ((customer, pool), size) in copies {
            *hidden_sizes.entry(customer).or_default() +=
                size.component_min(self.copy_budget(pool));
        }
    }

    /// Proposes to record the ended jobs of which no task can be running any more, so that
    /// the next owner need not count their tasks as possibly running.
    pub(in crate::schedule) fn propose_stopped_jobs(&mut self) {
        if self.jobs_to_settle.is_empty() || self.may_have_hidden_runs {
            return;
        }
        let strays: IndexSet<JobId> = self.strays.keys().map(|(_, task, _)| task.job()).collect();
        let has_stopped = |id: &&JobId| {
            !self.job_tasks.contains_key(*id)
                && !strays.contains(*id)
                && self.superseded.of_job(**id).next().is_none()
        };
        let stopped = self.jobs_to_settle.iter().filter(has_stopped);
        let ids: Vec<JobId> = stopped.copied().collect();
        if !ids.is_empty() {
            for id in &ids {
                self.jobs_to_settle.swap_remove(id);
            }
            self.propose(Command::JobsStopped { ids });
        }
    }

    /// The used size of each account, and the same recounted from the known runs. Tests
    /// compare the two.
    #[doc(hidden)]
    pub fn recount_usage(&self) -> Vec<(Box<str>, Size, Size)> {
        let attempts = self.attempts.values().filter(|a| a.uses_capacity());
        let attempts = attempts.map(|attempt: &Attempt| attempt.charge);
        let strays = self.strays.values().map(|stray| stray.charge);
        let superseded = self.superseded.iter().map(|(_, run)| run);
        let superseded = superseded.filter(|run| run.uses_capacity());
        let superseded = superseded.map(|run| run.charge);
        let mut counted: IndexMap<CustomerKey, Size> = IndexMap::default();
        for charge in attempts.chain(strays).chain(superseded) {
            if let Some(customer) = charge.customer {
                *counted.entry(customer).or_default() += charge.size;
            }
        }
        let rows = self.accounts.by_name.iter().map(|(name, key)| {
            let counted = counted.get(key).copied().unwrap_or_default();
            (name.clone(), self.accounts.get(*key).used, counted)
        });
        rows.collect()
    }
}
