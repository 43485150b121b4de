//! The typed configuration.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::defaults;
use crate::{Arena, DataCentreId, InstanceId, PoolId, ServiceId};

/// One accepted or proposed configuration.
///
/// Made by [`FleetConfig::parse`] only, so every reference in it resolves.
#[derive(Debug, Clone, Default)]
pub struct FleetConfig {
    /// The data centres.
    pub data_centres: Arena<DataCentreId, DataCentre>,
    /// The pools.
    pub pools: Arena<PoolId, Pool>,
    /// The instances of all pools. Invariant: each belongs to exactly one.
    pub instances: Arena<InstanceId, Instance>,
    /// The services.
    pub services: Arena<ServiceId, Service>,
    /// How long an announcement of a target holds, in milliseconds.
    pub target_lease_ms: u64,
    /// What is kept of idempotency keys.
    pub keys: KeyTerms,
    /// Where the platform that drains and reboots instances listens.
    pub platform: Option<SocketAddr>,
}

/// A data centre, a failure domain.
#[derive(Debug, Clone)]
pub struct DataCentre {
    /// The region it lies in, if stated.
    pub region: Option<Box<str>>,
}

/// A pool of instances.
#[derive(Debug, Clone)]
pub struct Pool {
    /// How many of its instances may be away at once, for whatever cause.
    /// An instance is away while a maintenance wave drains it, reboots it or
    /// has it on probation, after it failed in a wave until it has proved
    /// itself, while it leaves the pool, and while no target on it is
    /// announced. One that has joined the pool and not served yet is
    /// not away, unless a wave makes it so.
    /// Invariant: at most the number of its instances.
    pub availability_budget: u64,
    /// Its instances as configured.
    pub instances: Vec<InstanceId>,
    /// How its instances are maintained.
    pub maintenance: MaintenanceTerms,
}

/// How the instances of a pool are maintained. Times in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MaintenanceTerms {
    /// How long an instance has to serve after its reboot before it counts
    /// as available.
    pub probation_s: u64,
    /// After this long, an instance that is not drained has failed.
    pub drain_s: u64,
    /// After this long, an instance that is not back has failed.
    pub reboot_s: u64,
}

impl Default for MaintenanceTerms {
    fn default() -> Self {
        MaintenanceTerms {
            probation_s: defaults::PROBATION_S,
            drain_s: defaults::DRAIN_S,
            reboot_s: defaults::REBOOT_S,
        }
    }
}

/// A machine that runs targets.
#[derive(Debug, Clone)]
pub struct Instance {
    /// The pool it is configured in.
    pub pool: PoolId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Its rack, a failure domain within the data centre.
    pub rack: Box<str>,
}

/// A service: what callers name, and how its requests are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The pool whose instances run its targets.
    pub pool: PoolId,
    /// The longest a request may take over all tries, in milliseconds.
    pub deadline_ms: u64,
    /// The waiting requests.
    pub queue: Queue,
    /// The tries.
    pub retry: Retry,
    /// Terms by caller.
    pub callers: IndexMap<Box<str>, CallerTerms>,
    /// The largest request body, in bytes.
    pub body_limit_bytes: u64,
    /// The largest answer held back until it is whole, in bytes. A larger one
    /// is passed on as it comes, and a cut shows as a broken connection.
    pub answer_buffer_bytes: u64,
}

impl Service {
    /// The terms of `caller`: its own, else those of `*`, else the defaults.
    pub fn terms(&self, caller: &str) -> CallerTerms {
        let own = self.callers.get(caller);
        let any = || self.callers.get(defaults::ANY_CALLER);
        own.or_else(any).copied().unwrap_or_default()
    }
}

/// Bounds of a service's queue on each instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queue {
    /// The most requests that wait at once.
    pub length: u64,
}

/// How requests that provably did not run, or may run twice, are tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// The most tries of one request, the first included.
    pub tries: u64,
    /// Retries as a share of successes, in percent.
    pub budget_percent: u64,
}

/// What one caller is entitled to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTerms {
    /// Its share relative to other callers, at least 1.
    pub weight: u64,
    /// Its limit, if any.
    pub quota: Option<Quota>,
}

impl Default for CallerTerms {
    fn default() -> Self {
        CallerTerms {
            weight: defaults::CALLER_WEIGHT,
            quota: None,
        }
    }
}

/// A limit on a caller's requests at each instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Requests a second in the long run.
    pub per_second: u64,
    /// Requests at once after a pause.
    pub burst: u64,
}

/// What is kept of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTerms {
    /// How long a key is remembered after its claim, in seconds.
    pub retention_s: u64,
    /// The most keys remembered; at the bound new keys are refused.
    pub max_keys: u64,
    /// The largest answer kept with a key, in bytes.
    pub max_answer_bytes: u64,
}

impl Default for KeyTerms {
    fn default() -> Self {
        KeyTerms {
            retention_s: defaults::KEY_RETENTION_S,
            max_keys: defaults::MAX_KEYS,
            max_answer_bytes: defaults::MAX_KEY_ANSWER_BYTES,
        }
    }
}
