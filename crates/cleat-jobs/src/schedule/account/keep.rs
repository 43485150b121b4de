//! Keeping the accounts by what happens to runs.

use indexmap::{IndexMap, IndexSet};

use super::{Charge, CustomerKey, Stray};
use crate::schedule::Scheduler;
use crate::schedule::attempt::Attempt;
use crate::schedule::ready::DirtyPools;
use crate::schedule::worker::WorkerKey;
use crate::state::{Command, ControlState, Job};
use crate::{JobId, Run, Size, StepSpec, TaskId};

impl Scheduler {
    /// What a run of a step of the job counts for. What fills counts whole: a cap
    /// is on what runs, not on what it leaves to others.
    pub(in crate::schedule) fn charge(
        &mut self,
        state: &ControlState,
        job: &Job,
        spec: &StepSpec,
    ) -> Charge {
        let catalogue = state.catalogue.as_deref();
        let name = job.customer.as_deref();
        Charge {
            customer: name.map(|name| self.accounts.open(name, catalogue)),
            size: spec.size,
        }
    }

    /// What a run that should not be there counts for, and takes up. That of a job
    /// which is over counts as the largest of its tasks; of one that is not known any
    /// more it is only certain that it fits.
    fn measure_stray(&mut self, state: &ControlState, at: (WorkerKey, TaskId)) -> (Charge, Size) {
        let (key, task) = at;
        if let Some(job) = state.jobs.get(&task.job())
            && let Some(spec) = job.step(task.step)
        {
            return (self.charge(state, job, spec), spec.footprint());
        }
        let Some(ended) = state.ended.get(&task.job()) else {
            return (Charge::default(), self.workers[key].record.capacity);
        };
        let catalogue = state.catalogue.as_deref();
        let name = ended.customer.as_deref();
        let charge = Charge {
            customer: name.map(|name| self.accounts.open(name, catalogue)),
            size: ended.largest_task,
        };
        (charge, ended.largest_task)
    }

    /// Counts a run of a worker that should not be there, once: it goes on until the
    /// worker lists its end.
    pub(in crate::schedule) fn hold_stray(
        &mut self,
        state: &ControlState,
        at: (WorkerKey, TaskId, Run),
    ) {
        let (charge, footprint) = self.measure_stray(state, (at.0, at.1));
        self.accounts.hold(charge);
        self.workers[at.0].used_by_strays += footprint;
        let stray = Stray {
            sent_at: self.now,
            charge,
            footprint,
        };
        self.strays.insert(at, stray);
    }

    /// Counts the strays of a worker no more that `stays` is false for.
    pub(in crate::schedule) fn release_strays(
        &mut self,
        key: WorkerKey,
        stays: impl Fn(TaskId, Run) -> bool,
    ) {
        let strays = self.strays.keys().copied();
        let gone = strays.filter(|(at, task, run)| *at == key && !stays(*task, *run));
        let gone: Vec<_> = gone.collect();
        for at in gone {
            let Some(stray) = self.strays.swap_remove(&at) else {
                continue;
            };
            self.workers[key].used_by_strays -= stray.footprint;
            self.release_charge(stray.charge);
            self.mark_worker_pool_dirty(key);
        }
    }

    /// Counts a run no more. Where its customer's cap held others back, these are
    /// looked at again.
    pub(in crate::schedule) fn release_charge(&mut self, charge: Charge) {
        for pool in self.accounts.release(charge) {
            self.mark_pool_dirty(&pool);
        }
    }

    /// Brings the caps up to the configuration in force, and what may run without
    /// this owner's knowledge up to what workers have listed.
    pub(in crate::schedule) fn settle_accounts(&mut self, state: &ControlState) {
        if let Some(catalogue) = &state.catalogue
            && self.accounts.configure(catalogue)
        {
            self.dirty_pools = DirtyPools::All;
        }
        let hidden = self.may_have_hidden_runs && self.accounts.any_capped();
        let unknown = hidden
            && self
                .workers
                .iter()
                .any(|(_, worker)| !worker.runs_are_known());
        if unknown {
            self.count_hidden(state);
        } else if self.may_have_hidden_runs {
            self.may_have_hidden_runs = self
                .workers
                .iter()
                .any(|(_, worker)| !worker.runs_are_known());
            for account in &mut self.accounts.arena {
                account.hidden = Size::default();
            }
        }
    }

    /// Counts everything that an earlier owner may have started on workers which
    /// have not listed their runs to this one.
    fn count_hidden(&mut self, state: &ControlState) {
        let off = !self.cfg.protections.charge_hidden_runs;
        let mut hidden: IndexMap<CustomerKey, Size> = IndexMap::new();
        for step in self.steps.values() {
            let Some(customer) = step.charge.customer else {
                continue;
            };
            let until = self.unknown_until(&step.pool);
            if until.is_some_and(|until| step.ready_at <= until) {
                let pending = step.pending.len() as u64;
                *hidden.entry(customer).or_default() += step.charge.size.times(pending);
            }
        }
        for stopping in state.stopping.values() {
            let catalogue = state.catalogue.as_deref();
            let customer = self.accounts.open(&stopping.customer, catalogue);
            *hidden.entry(customer).or_default() += stopping.size;
        }
        for (at, account) in self.accounts.arena.iter_mut().enumerate() {
            let key = CustomerKey(u32::try_from(at).unwrap_or(u32::MAX));
            let size = hidden.get(&key).copied().unwrap_or_default();
            account.hidden = if off { Size::default() } else { size };
        }
    }

    /// Has it noted of which jobs that ended before their time nothing can run
    /// any more: the next owner need not count them.
    pub(in crate::schedule) fn settle_stopped(&mut self, state: &ControlState) {
        if state.stopping.is_empty() || self.may_have_hidden_runs {
            return;
        }
        let strays: IndexSet<JobId> = self.strays.keys().map(|(_, task, _)| task.job()).collect();
        let over = |id: &&JobId| {
            !self.settled_proposed.contains(*id)
                && !self.active_jobs.contains(*id)
                && !self.job_tasks.contains_key(*id)
                && !strays.contains(*id)
        };
        let ids: Vec<JobId> = state.stopping.keys().filter(over).copied().collect();
        if !ids.is_empty() {
            self.settled_proposed.extend(&ids);
            self.propose(Command::Settled { ids });
        }
    }

    /// The accounts as they follow from the runs that are known, to be compared
    /// with those that are kept.
    #[doc(hidden)]
    pub fn recounted(&self) -> Vec<(Box<str>, Size, Size)> {
        let attempts = self.attempts.values().filter(|a| a.uses_capacity());
        let attempts = attempts.map(|attempt: &Attempt| attempt.charge);
        let strays = self.strays.values().map(|stray| stray.charge);
        let mut counted: IndexMap<CustomerKey, Size> = IndexMap::new();
        for charge in attempts.chain(strays) {
            if let Some(customer) = charge.customer {
                *counted.entry(customer).or_default() += charge.size;
            }
        }
        let rows = self.accounts.by_name.iter().map(|(name, key)| {
            let counted = counted.get(key).copied().unwrap_or_default();
            (name.clone(), self.accounts.get(*key).held, counted)
        });
        rows.collect()
    }
}
