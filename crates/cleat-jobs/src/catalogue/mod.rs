//! The operator's configuration: queues of jobs and the pools that run them.

mod check;
mod error;

pub use error::{CatalogueError, CatalogueFault};

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Caller, Customer, Customers, Document, KeyDigest};

/// A whole configuration. It replaces the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The operator's number; the highest is in force.
    pub version: u64,
    /// The queues. Invariant: no two share host and prefix, and each names a
    /// pool of `pools`.
    pub queues: Vec<Arc<Queue>>,
    /// The pools by name.
    pub pools: IndexMap<Box<str>, Pool>,
    /// The customers; none where calls need no key.
    ///
    /// Invariant: no two share a name or a key.
    pub customers: Option<Customers>,
    /// The operator's document as it came, to be read back.
    pub document: Document,
}

/// A queue of jobs: where they arrive and how they are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: Box<str>,
    /// The host that its callers name.
    pub host: Box<str>,
    /// What the paths of its jobs begin with.
    pub prefix: Box<str>,
    /// The pool whose workers run its tasks.
    pub pool: Box<str>,
    /// The class of urgency; 0 goes first.
    pub priority: u32,
    /// How often a task may fail before its job fails.
    pub max_attempts: u32,
    /// How much longer than its chain of work a job may take.
    pub stretch: f64,
    /// What is added to that, in milliseconds.
    pub target_latency_ms: u64,
    /// How long a call may take, in milliseconds.
    pub timeout_ms: u64,
    /// Whether its callers need no key.
    pub public: bool,
    /// Set where starts need the adviser's permission.
    pub advice: Option<Advice>,
}

/// How long the adviser takes for a queue's steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// The fixed part of a call, in milliseconds.
    pub decision_ms: u64,
    /// The part for each worker named, in microseconds.
    pub per_worker_us: u64,
    /// How long a permission is valid, in milliseconds.
    pub validity_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: Box<str>,
    /// Whether its workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// Whether its machines are off until they are moved elsewhere.
    pub spare: bool,
    /// Where its workers answer health checks.
    pub health_path: Box<str>,
}

/// A configuration as it was read, not checked yet.
#[derive(Clone, Debug)]
pub struct CatalogueDraft {
    /// The operator's number.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The customers, each with its keys as they were written; none where calls
    /// need no key.
    pub customers: Option<Vec<CustomerDraft>>,
    /// The operator's document as it came.
    pub document: Document,
}

/// A customer as it was read, not checked yet.
#[derive(Clone, Debug)]
pub struct CustomerDraft {
    /// The customer; its `keys` are those of `keys`.
    pub customer: Customer,
    /// The places of empty keys in its list.
    pub empty_keys: Vec<usize>,
}

impl CustomerDraft {
    /// A customer with keys as they were written.
    pub fn new(customer: Customer, keys: &[Box<str>]) -> CustomerDraft {
        let places = keys.iter().enumerate();
        let empty = places.filter(|(_, key)| key.is_empty()).map(|(at, _)| at);
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
    /// Checks a configuration as a whole.
    ///
    /// # Errors
    /// [`CatalogueError`] names every fault and its place.
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

    /// Whose a call of a queue is that carries this key.
    pub fn authenticate(&self, queue: &Queue, key: Option<&KeyDigest>) -> Caller {
        let Some(customers) = self.customers.as_ref().filter(|_| !queue.public) else {
            return Caller::Anyone;
        };
        let known = key.and_then(|key| customers.find_by_key(key));
        known.map_or(Caller::Unknown, |known| Caller::Customer(known.clone()))
    }

    /// The customer of that name.
    pub fn customer(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers.as_ref()?.get(name)
    }

    /// The queue of a call: that of the host with the longest prefix that the
    /// path begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let matches =
            |queue: &&Arc<Queue>| *queue.host == *host && path.starts_with(&*queue.prefix);
        let queues = self.queues.iter().filter(matches);
        queues.max_by_key(|queue| queue.prefix.len())
    }
}
