//! The operator's configuration: queues of jobs and the pools that run them.

mod error;

pub use error::CatalogueError;

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use error::{DuplicateQueueSnafu, NoTimeoutSnafu, UnknownPoolSnafu};

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
    /// The operator's document as it came, to be read back.
    pub document: Box<str>,
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
    pub guards_capacity: bool,
    /// Whether its machines are off until they are moved elsewhere.
    pub spare: bool,
    /// Where its workers answer health checks.
    pub health_path: Box<str>,
}

impl Catalogue {
    /// Checks a configuration.
    ///
    /// # Errors
    /// [`CatalogueError`] names the queue at fault.
    pub fn new(
        version: u64,
        queues: Vec<Queue>,
        pools: Vec<Pool>,
        document: Box<str>,
    ) -> Result<Catalogue, CatalogueError> {
        let pools: IndexMap<Box<str>, Pool> = pools
            .into_iter()
            .map(|pool| (pool.name.clone(), pool))
            .collect();
        let mut places = IndexMap::new();
        for queue in &queues {
            let Queue { name, pool, .. } = queue;
            if !pools.contains_key(pool) {
                return UnknownPoolSnafu {
                    queue: &**name,
                    pool: &**pool,
                }
                .fail();
            }
            if queue.timeout_ms == 0 {
                return NoTimeoutSnafu { queue: &**name }.fail();
            }
            let place = (&queue.host, &queue.prefix);
            if let Some(other) = places.insert(place, name) {
                let (first, second) = (&**other, &**name);
                return DuplicateQueueSnafu { first, second }.fail();
            }
        }
        Ok(Catalogue {
            version,
            queues: queues.into_iter().map(Arc::new).collect(),
            pools,
            document,
        })
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
