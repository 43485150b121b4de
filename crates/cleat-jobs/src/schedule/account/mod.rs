//! What each customer has running, and how much more it may have.
//!
//! A customer's cap holds over all workers, also where this owner is in doubt: a
//! run counts from the order that may start it until its worker lists its end,
//! or its lease is over. What an earlier owner may have started on workers that
//! have not answered yet counts as well, as if all of it ran.

mod keep;
mod tell;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

pub use tell::CustomerView;

use super::shares::{RecentJobs, ShareStatus};
use crate::{Cap, Catalogue, Size};

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
    recent_jobs: RecentJobs,
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

/// A run that should not be there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stray {
    /// When it was last told to stop.
    pub(crate) sent_at: Duration,
    pub(crate) charge: Charge,
    /// What it takes up on its worker.
    pub(crate) footprint: Size,
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
        if told.is_some_and(|told| now < told + tell::INTERVAL) {
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

    /// Where a job stands that a customer sent at `at`.
    pub(crate) fn take_job(&mut self, key: CustomerKey, at: Duration) -> ShareStatus {
        let account = self.get_mut(key);
        account.recent_jobs.admit(at, account.weight)
    }

    /// Whether a customer holds more of what all hold than its part of all shares.
    pub(crate) fn standing_by_room(&self, key: CustomerKey) -> ShareStatus {
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

/// The share of a customer that is no longer there is that of the smallest.
fn weight_of(name: &str, catalogue: Option<&Catalogue>) -> f64 {
    let customer = catalogue.and_then(|catalogue| catalogue.customer(name));
    customer.map(|customer| customer.weight).unwrap_or_default()
}
