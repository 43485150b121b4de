//! The operator's configuration: the queues of jobs, the pools that run them and the
//! customers.

mod check;
mod error;

pub use error::{CatalogueError, CatalogueFault};

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Caller, Customer, Customers, Document, KeyDigest};

/// A complete, validated configuration. It replaces the previous one as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The version that the operator gave it; the highest version is in force.
    pub version: u64,
    /// The queues. Invariant: no two have the same host and prefix, and the pool of each
    /// is in `pools`.
    pub queues: Vec<Arc<Queue>>,
    /// The pools, by name.
    pub pools: IndexMap<Box<str>, Pool>,
    /// The customers; `None` if calls need no key.
    ///
    /// Invariant: no two have the same name or a key in common.
    pub customers: Option<Customers>,
    /// The operator's document as received, which operators can read back.
    pub document: Document,
}

/// A queue of jobs: the address that they are submitted to, and how they are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: Box<str>,
    /// The host that its callers address.
    pub host: Box<str>,
    /// The prefix of the paths of its jobs.
    pub prefix: Box<str>,
    /// The pool whose workers run its tasks.
    pub pool: Box<str>,
    /// The priority class; 0 is the most urgent.
    pub priority: u32,
    /// The number of failed attempts of a task at which its job fails.
    pub max_attempts: u32,
    /// The factor by which a job may take longer than its longest chain of steps.
    pub stretch: f64,
    /// The time that a job may take in addition to that, in milliseconds.
    pub target_latency_ms: u64,
    /// The time-out of a call, in milliseconds.
    pub timeout_ms: u64,
    /// Whether calls need no key.
    pub public: bool,
    /// The timing of the adviser's permissions, if starts need them.
    pub advice: Option<AdviceTiming>,
}

/// The expected duration and the validity of the adviser's permissions for the steps of a
/// queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// The fixed part of the duration of a call, in milliseconds.
    pub decision_ms: u64,
    /// The part for each worker in the call, in microseconds.
    pub per_worker_us: u64,
    /// How long a permission is valid, in milliseconds.
    pub validity_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: Box<str>,
    /// Whether its workers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether this is the spare pool, whose machines are off until they are moved to
    /// another pool.
    pub spare: bool,
    /// The path at which its workers answer health checks.
    pub health_path: Box<str>,
}

/// A configuration that was parsed but not validated.
#[derive(Clone, Debug)]
pub struct CatalogueDraft {
    /// The version that the operator gave it.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The customers; `None` if calls need no key.
    pub customers: Option<Vec<CustomerDraft>>,
    /// The operator's document as received.
    pub document: Document,
}

/// A customer that was parsed but not validated.
#[derive(Clone, Debug)]
pub struct CustomerDraft {
    /// The customer, with the digests of all its keys.
    pub customer: Customer,
    /// The positions of empty keys in its list of keys.
    pub empty_keys: Vec<usize>,
}

impl CustomerDraft {
    /// Creates a draft of a customer with the given keys, which are stored as digests.
    pub fn new(customer: Customer, keys: &[Box<str>]) -> CustomerDraft {
        let keys_at = keys.iter().enumerate();
        let empty = keys_at.filter(|(_, key)| key.is_empty()).map(|(at, _)| at);
        CustomerDraft {
            customer: Customer {
                keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
                ..customer
            },
            empty_keys: empty.collect(),
        }
    }
}

impl Catalogue {
    /// Validates a configuration.
    ///
    /// # Errors
    /// [`CatalogueError`] lists every fault with its position in the configuration.
    pub fn new(draft: CatalogueDraft) -> Result<Catalogue, CatalogueError> {
        let faults = check::faults(&draft);
        if !faults.is_empty() {
            return Err(CatalogueError { faults });
        }
        let pools = draft.pools.into_iter();
        let customers = draft.customers.map(|drafts| {
            let customers = drafts.into_iter().map(|draft| draft.customer);
            Customers::new(customers.collect())
        });
        Ok(Catalogue {
            version: draft.version,
            queues: draft.queues.into_iter().map(Arc::new).collect(),
            pools: pools.map(|pool| (pool.name.clone(), pool)).collect(),
            customers,
            document: draft.document,
        })
    }

    /// Authenticates a call to a queue by its key.
    pub fn authenticate(&self, queue: &Queue, key: Option<&KeyDigest>) -> Caller {
        let Some(customers) = self.customers.as_ref().filter(|_| !queue.public) else {
            return Caller::Anyone;
        };
        let known = key.and_then(|key| customers.find_by_key(key));
        known.map_or(Caller::Unknown, |known| Caller::Customer(known.clone()))
    }

    /// The customer with this key.
    pub fn customer_by_key(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.customers.as_ref()?.find_by_key(key)
    }

    /// The customer with this name.
    pub fn customer(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers.as_ref()?.get(name)
    }

    /// The queue that a call addresses: the one with this host and the longest prefix
    /// that `path` starts with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let matches =
            |queue: &&Arc<Queue>| *queue.host == *host && path.starts_with(&*queue.prefix);
        let queues = self.queues.iter().filter(matches);
        queues.max_by_key(|queue| queue.prefix.len())
    }
}
