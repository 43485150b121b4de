//! Accounts of what each customer has running, which enforce its cap.
//!
//! A cap limits the total over all workers, and every run that may be active counts
//! against it. A run counts from the order that may start it until its worker reports
//! its end, or the worker's lease expires. Everything that an earlier owner may have
//! started on workers that have not answered yet counts as if it were running.

mod report;
mod usage;

use std::time::Duration;

pub use report::CustomerView;

use super::shares::{RecentJobs, ShareStatus};
use crate::collections::{IndexMap, IndexSet};
use crate::{Cap, Catalogue, Size};

/// The index of an account in the arena. Indexes are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct CustomerKey(u32);

impl CustomerKey {
    /// The index among all accounts, below [`Accounts::count`].
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// The size that a run counts for, and the customer whose account it counts against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Charge {
    /// None if the run belongs to no customer.
    pub(crate) customer: Option<CustomerKey>,
    pub(crate) size: Size,
}

/// One customer's account.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub(crate) name: Box<str>,
    /// The cap in the configuration in force; no limit for a customer that was removed.
    pub(crate) cap: Cap,
    /// The share in the configuration in force, in jobs a second.
    weight: f64,
    /// The recent jobs that it submitted within its share.
    recent_jobs: RecentJobs,
    /// The total size of its runs that this owner knows of.
    ///
    /// Invariant: the sum of the charges of its strays, of its superseded runs and of its
    /// attempts, except those that have ended.
    pub(crate) used: Size,
    /// The total size of the tasks that may be running in addition, started by an earlier
    /// owner and not yet reported to this one.
    pub(crate) hidden_usage: Size,
    /// The pools in which its cap has prevented the start of steps since one of its
    /// runs was last released.
    blocked_pools: IndexSet<Box<str>>,
    /// When it was last logged that its cap prevents the start of steps.
    cap_logged_at: Option<Duration>,
}

/// The accounts of all customers that have had jobs under this owner.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    arena: Vec<Account>,
    by_name: IndexMap<Box<str>, CustomerKey>,
    /// The version of the configuration that the caps and weights are from.
    version: Option<u64>,
}

impl Account {
    /// The total size of the tasks that may still be started for the customer.
    pub(crate) fn remaining(&self) -> Size {
        self.cap.remaining(self.used + self.hidden_usage)
    }
}

/// A run that a worker reports but that should not exist.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stray {
    /// When the last stop order was sent.
    pub(crate) sent_at: Duration,
    pub(crate) charge: Charge,
    /// The part of the worker's capacity that it uses.
    pub(crate) footprint: Size,
}

impl Accounts {
    /// The account of a customer, which is created if it does not exist.
    pub(crate) fn get_or_create(
        &mut self,
        name: &str,
        catalogue: Option<&Catalogue>,
    ) -> CustomerKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        // There are hundreds of customers, far fewer than 2^32.
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

    /// The number of accounts.
    pub(crate) fn count(&self) -> usize {
        self.arena.len()
    }

    pub(crate) fn get(&self, key: CustomerKey) -> &Account {
        &self.arena[key.index()]
    }

    fn get_mut(&mut self, key: CustomerKey) -> &mut Account {
        &mut self.arena[key.index()]
    }

    /// Adds the charge of a run.
    pub(crate) fn add(&mut self, charge: Charge) {
        if let Some(key) = charge.customer {
            self.get_mut(key).used += charge.size;
        }
    }

    /// Subtracts the charge of a run, and returns the pools in which steps of its customer
    /// wait for that.
    pub(crate) fn release(&mut self, charge: Charge) -> IndexSet<Box<str>> {
        let Some(key) = charge.customer else {
            return IndexSet::default();
        };
        let account = self.get_mut(key);
        account.used -= charge.size;
        std::mem::take(&mut account.blocked_pools)
    }

    /// Whether the cap of a customer allows `count` tasks to start together.
    ///
    /// A customer that uses less than half of its cap may start one task even if that
    /// exceeds the cap. Otherwise a task larger than the rest of a small cap would wait
    /// for ever although workers have free capacity.
    pub(crate) fn allows(&self, charge: Charge, count: u64) -> bool {
        let Some(key) = charge.customer else {
            return true;
        };
        let account = self.get(key);
        let used = account.used + account.hidden_usage;
        account.cap.allows(used + charge.size.scaled(count))
            || (count == 1 && account.cap.is_under_half(used))
    }

    /// Records that the cap prevented the start of a step in a pool, and returns the
    /// account if this is to be logged.
    fn record_blocked(&mut self, charge: Charge, pool: &str, now: Duration) -> Option<&Account> {
        let account = self.get_mut(charge.customer?);
        if !account.blocked_pools.contains(pool) {
            account.blocked_pools.insert(pool.into());
        }
        let logged_at = account.cap_logged_at;
        if logged_at.is_some_and(|logged_at| now < logged_at + report::CAP_LOG_INTERVAL) {
            return None;
        }
        account.cap_logged_at = Some(now);
        Some(account)
    }

    /// Takes the caps and weights from a configuration, and returns whether its version is
    /// new.
    fn apply_catalogue(&mut self, catalogue: &Catalogue) -> bool {
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

    /// Whether any customer has a cap.
    fn has_caps(&self) -> bool {
        let mut accounts = self.arena.iter();
        accounts.any(|account| account.cap != Cap::default())
    }

    /// Records a job that a customer submitted at `at`, and returns whether it is within the
    /// customer's share.
    pub(crate) fn record_job(&mut self, key: CustomerKey, at: Duration) -> ShareStatus {
        let account = self.get_mut(key);
        account.recent_jobs.admit(at, account.weight)
    }

    /// Whether a job that a customer submits at `at` would be within its share.
    pub(crate) fn next_job_status(&mut self, key: CustomerKey, at: Duration) -> ShareStatus {
        let account = self.get_mut(key);
        account.recent_jobs.next_status(at, account.weight)
    }

    /// Whether a customer is within its share of the capacity in use. A customer
    /// exceeds its share if its part of that capacity is larger than its part of the
    /// sum of all weights.
    pub(crate) fn share_status_by_usage(&self, key: CustomerKey) -> ShareStatus {
        let (mut all, mut weights) = (Size::default(), 0.0);
        for account in &self.arena {
            all += account.used;
            weights += account.weight;
        }
        let own = self.get(key);
        #[allow(clippy::cast_precision_loss)]
        let fraction = |own: u64, all: u64| own as f64 / all.max(1) as f64;
        let cpu = fraction(own.used.cpu_milli, all.cpu_milli);
        let memory = fraction(own.used.memory_mb, all.memory_mb);
        let share = own.weight / f64::max(weights, f64::MIN_POSITIVE);
        if cpu.max(memory) > share {
            ShareStatus::Exceeded
        } else {
            ShareStatus::Within
        }
    }
}

fn cap_of(name: &str, catalogue: Option<&Catalogue>) -> Cap {
    let customer = catalogue.and_then(|catalogue| catalogue.customer(name));
    customer.map(|customer| customer.cap).unwrap_or_default()
}

/// The weight of a customer. That of a removed customer is 0, the smallest share.
fn weight_of(name: &str, catalogue: Option<&Catalogue>) -> f64 {
    let customer = catalogue.and_then(|catalogue| catalogue.customer(name));
    customer.map(|customer| customer.weight).unwrap_or_default()
}
