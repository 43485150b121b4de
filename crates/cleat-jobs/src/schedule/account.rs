//! What each customer has running, and how much more it may have.
//!
//! A customer's cap holds over all workers, also where this owner is in doubt: a
//! run counts from the order that may start it until its worker lists its end,
//! or its lease is over. What an earlier owner may have started on workers that
//! have not answered yet counts as well, as if all of it ran.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::attempt::Attempt;
use super::shares::{Sent, Standing};
use super::worker::WorkerKey;
use super::{Decision, Effect, Scheduler};
use crate::state::{Command, ControlState, Job};
use crate::{Cap, Catalogue, JobId, Run, Size, StepId, StepSpec, TaskId};

/// How often it is logged that a customer's cap holds its steps back: often enough
/// for a caller who asks why a job waits, and bounded under any load.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// A customer of the arena. Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct CustomerKey(u32);

/// What a run counts for, and against whom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Charge {
    /// None if the run is nobody's.
    pub(crate) customer: Option<CustomerKey>,
    pub(crate) size: Size,
}

/// One customer's account.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub(crate) name: Box<str>,
    /// The most it may have running, by the configuration in force; no limit for
    /// a customer that is no longer there.
    pub(crate) cap: Cap,
    /// Its share, in jobs a second, by the configuration in force.
    weight: f64,
    /// The jobs that it sent lately within that.
    sent: Sent,
    /// What its runs take up that this owner knows of.
    ///
    /// Invariant: the sum of the charges of its attempts that hold room and of
    /// its strays.
    pub(crate) held: Size,
    /// What may run beside that without this owner's knowledge.
    pub(crate) hidden: Size,
    /// The pools in which its steps were passed over for its cap.
    blocked_in: IndexSet<Box<str>>,
    /// When it was last logged that its cap holds steps back.
    told_at: Option<Duration>,
}

/// The accounts of all customers that have had jobs in this owner's time.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    arena: Vec<Account>,
    by_name: IndexMap<Box<str>, CustomerKey>,
    /// The version of the configuration that the caps are of.
    version: Option<u64>,
}

impl Account {
    /// What the customer may start beside what it has.
    pub(crate) fn left(&self) -> Size {
        self.cap.left(self.held + self.hidden)
    }
}

impl Accounts {
    /// The account of a customer, opened if there is none.
    pub(crate) fn open(&mut self, name: &str, catalogue: Option<&Catalogue>) -> CustomerKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        // Customers are in the hundreds.
        let key = CustomerKey(u32::try_from(self.arena.len()).unwrap_or(u32::MAX));
        self.by_name.insert(name.into(), key);
        self.arena.push(Account {
            name: name.into(),
            cap: cap_of(name, catalogue),
            weight: weight_of(name, catalogue),
            ..Account::default()
        });
        key
    }

    pub(crate) fn get(&self, key: CustomerKey) -> &Account {
        &self.arena[key.0 as usize]
    }

    fn get_mut(&mut self, key: CustomerKey) -> &mut Account {
        &mut self.arena[key.0 as usize]
    }

    /// Counts a run.
    pub(crate) fn hold(&mut self, charge: Charge) {
        if let Some(key) = charge.customer {
            self.get_mut(key).held += charge.size;
        }
    }

    /// Counts a run no more; gives the pools in which its customer's steps wait
    /// for that.
    pub(crate) fn release(&mut self, charge: Charge) -> IndexSet<Box<str>> {
        let Some(key) = charge.customer else {
            return IndexSet::new();
        };
        let account = self.get_mut(key);
        account.held -= charge.size;
        std::mem::take(&mut account.blocked_in)
    }

    /// Whether `count` tasks of a customer may start together.
    ///
    /// One that has less than half of its cap may start one task more, though it
    /// goes over: else a task larger than what is left of a small cap would wait
    /// for ever beside free room.
    pub(crate) fn allows(&self, charge: Charge, count: u64) -> bool {
        let Some(key) = charge.customer else {
            return true;
        };
        let account = self.get(key);
        let held = account.held + account.hidden;
        account.cap.allows(held + charge.size.times(count))
            || (count == 1 && account.cap.is_half_free(held))
    }

    /// Notes that a step was passed over in a pool; gives the account if that is
    /// to be logged.
    fn block(&mut self, charge: Charge, pool: &str, now: Duration) -> Option<&Account> {
        let account = self.get_mut(charge.customer?);
        if !account.blocked_in.contains(pool) {
            account.blocked_in.insert(pool.into());
        }
        let told = account.told_at;
        if told.is_some_and(|told| now < told + TELL_INTERVAL) {
            return None;
        }
        account.told_at = Some(now);
        Some(account)
    }

    /// Takes over the caps of a configuration; whether they were others.
    fn configure(&mut self, catalogue: &Catalogue) -> bool {
        let version = Some(catalogue.version);
        if self.version == version {
            return false;
        }
        self.version = version;
        for account in &mut self.arena {
            account.cap = cap_of(&account.name, Some(catalogue));
            account.weight = weight_of(&account.name, Some(catalogue));
        }
        true
    }

    /// Whether any customer has a limit.
    fn any_capped(&self) -> bool {
        let mut accounts = self.arena.iter();
        accounts.any(|account| account.cap != Cap::default())
    }
}

fn cap_of(name: &str, catalogue: Option<&Catalogue>) -> Cap {
    let customer = catalogue.and_then(|catalogue| catalogue.customer(name));
    customer.map(|customer| customer.cap).unwrap_or_default()
}

/// The share of a customer that is no longer there is that of the smallest.
fn weight_of(name: &str, catalogue: Option<&Catalogue>) -> f64 {
    let customer = catalogue.and_then(|catalogue| catalogue.customer(name));
    customer.map(|customer| customer.weight).unwrap_or_default()
}

impl Accounts {
    /// Where a job stands that a customer sent at `at`.
    pub(crate) fn take_job(&mut self, key: CustomerKey, at: Duration) -> Standing {
        let account = self.get_mut(key);
        account.sent.take(at, account.weight)
    }

    /// Whether a customer holds more of what all hold than its part of all shares.
    pub(crate) fn standing_by_room(&self, key: CustomerKey) -> Standing {
        let (mut all, mut weights) = (Size::default(), 0.0);
        for account in &self.arena {
            all += account.held;
            weights += account.weight;
        }
        let own = self.get(key);
        #[allow(clippy::cast_precision_loss)]
        let part = |own: u64, all: u64| own as f64 / all.max(1) as f64;
        let cpu = part(own.held.cpu_milli, all.cpu_milli);
        let memory = part(own.held.memory_mb, all.memory_mb);
        let share = own.weight / f64::max(weights, f64::MIN_POSITIVE);
        if cpu.max(memory) > share {
            Standing::Beyond
        } else {
            Standing::Within
        }
    }
}

impl Scheduler {
    /// Notes that a step has to wait for its customer's cap.
    pub(super) fn block_for_cap(&mut self, id: StepId) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let account = self.accounts.block(step.charge, &step.pool, self.now);
        let decision = account.map(|account| {
            let Cap(cap) = account.cap;
            Decision::CapReached {
                customer: account.name.clone(),
                step: id.to_string().into(),
                held_cpu_milli: account.held.cpu_milli,
                hidden_cpu_milli: account.hidden.cpu_milli,
                cap_cpu_milli: cap.cpu_milli,
                held_memory_mb: account.held.memory_mb,
                cap_memory_mb: cap.memory_mb,
            }
        });
        self.effects.extend(decision.map(Effect::Tell));
    }

    /// What each customer has and wants, by name.
    pub fn customers(&self) -> Vec<CustomerView<'_>> {
        let mut views: Vec<CustomerView<'_>> = self.accounts.arena.iter().map(view).collect();
        for step in self.steps.values() {
            if let Some(CustomerKey(at)) = step.charge.customer {
                views[at as usize].waiting += step.pending.len();
            }
        }
        views
    }

    /// What a run of a step of the job counts for. What fills counts whole: a cap
    /// is on what runs, not on what it leaves to others.
    pub(super) fn charge(&mut self, state: &ControlState, job: &Job, spec: &StepSpec) -> Charge {
        let catalogue = state.catalogue.as_deref();
        let name = job.customer.as_deref();
        Charge {
            customer: name.map(|name| self.accounts.open(name, catalogue)),
            size: spec.size,
        }
    }

    /// What a run that should not be there counts for. That of a job which is
    /// over counts as the largest of its tasks.
    fn stray_charge(&mut self, state: &ControlState, task: TaskId) -> Charge {
        if let Some(job) = state.jobs.get(&task.job())
            && let Some(spec) = job.step(task.step)
        {
            return self.charge(state, job, spec);
        }
        let Some(ended) = state.ended.get(&task.job()) else {
            return Charge::default();
        };
        let catalogue = state.catalogue.as_deref();
        let name = ended.customer.as_deref();
        Charge {
            customer: name.map(|name| self.accounts.open(name, catalogue)),
            size: ended.largest_task,
        }
    }

    /// Counts a run of a worker that should not be there, once.
    pub(super) fn hold_stray(&mut self, state: &ControlState, at: (WorkerKey, TaskId, Run)) {
        let charge = self.stray_charge(state, at.1);
        self.accounts.hold(charge);
        let sent_at = self.now;
        self.strays.insert(at, Stray { sent_at, charge });
    }

    /// Counts the strays of a worker no more that `stays` is false for.
    pub(super) fn release_strays(&mut self, key: WorkerKey, stays: impl Fn(TaskId, Run) -> bool) {
        let gone = |((at, task, run), stray): (&(WorkerKey, TaskId, Run), &Stray)| {
            (*at == key && !stays(*task, *run)).then_some(((*at, *task, *run), stray.charge))
        };
        let gone: Vec<_> = self.strays.iter().filter_map(gone).collect();
        for (at, charge) in gone {
            self.strays.swap_remove(&at);
            self.release_charge(charge);
        }
    }

    /// Counts a run no more. Where its customer's cap held others back, these are
    /// looked at again.
    pub(super) fn release_charge(&mut self, charge: Charge) {
        for pool in self.accounts.release(charge) {
            self.unsettle(&pool);
        }
    }

    /// Brings the caps up to the configuration in force, and what may run without
    /// this owner's knowledge up to what workers have listed.
    pub(super) fn settle_accounts(&mut self, state: &ControlState) {
        if let Some(catalogue) = &state.catalogue
            && self.accounts.configure(catalogue)
        {
            self.unsettled = super::ready::Unsettled::All;
        }
        let hidden = self.hidden_runs && self.accounts.any_capped();
        let unknown = hidden && self.workers.iter().any(|(_, worker)| !worker.is_known());
        if unknown {
            self.count_hidden(state);
        } else if self.hidden_runs {
            self.hidden_runs = self.workers.iter().any(|(_, worker)| !worker.is_known());
            for account in &mut self.accounts.arena {
                account.hidden = Size::default();
            }
        }
    }

    /// Counts everything that an earlier owner may have started on workers which
    /// have not listed their runs to this one.
    fn count_hidden(&mut self, state: &ControlState) {
        let off = !self.cfg.protections.hidden_runs_count;
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
    pub(super) fn settle_stopped(&mut self, state: &ControlState) {
        if state.stopping.is_empty() || self.hidden_runs {
            return;
        }
        let strays: IndexSet<JobId> = self.strays.keys().map(|(_, task, _)| task.job()).collect();
        let over = |id: &&JobId| {
            !self.settling.contains(*id)
                && !self.live.contains(*id)
                && !self.job_tasks.contains_key(*id)
                && !strays.contains(*id)
        };
        let ids: Vec<JobId> = state.stopping.keys().filter(over).copied().collect();
        if !ids.is_empty() {
            self.settling.extend(&ids);
            self.propose(Command::Settled { ids });
        }
    }

    /// The accounts as they follow from the runs that are known, to be compared
    /// with those that are kept.
    #[doc(hidden)]
    pub fn recounted(&self) -> Vec<(Box<str>, Size, Size)> {
        let attempts = self.attempts.values().filter(|a| a.holds_room());
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

fn view(account: &Account) -> CustomerView<'_> {
    CustomerView {
        name: &account.name,
        held: account.held,
        hidden: account.hidden,
        waiting: 0,
    }
}

/// What a customer has and wants, as its owner sees it.
#[derive(Clone, Copy, Debug)]
pub struct CustomerView<'a> {
    /// Its name.
    pub name: &'a str,
    /// What its runs take up.
    pub held: Size,
    /// What may run beside that without this owner's knowledge.
    pub hidden: Size,
    /// How many of its tasks wait for a start.
    pub waiting: usize,
}

/// A run that should not be there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stray {
    /// When it was last told to stop.
    pub(crate) sent_at: Duration,
    pub(crate) charge: Charge,
}
