//! The typed form of the configuration.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::defaults;
use crate::{Arena, DataCentreId, InstanceId, PoolId, ServiceId};

/// An accepted or proposed configuration.
///
/// Only [`FleetConfig::parse`] creates a nonempty one, so every reference in it
/// resolves.
#[derive(Debug, Clone, Default)]
pub struct FleetConfig {
    /// The data centres.
    pub data_centres: Arena<DataCentreId, DataCentre>,
    /// The pools.
    pub pools: Arena<PoolId, Pool>,
    /// The instances of all pools. Invariant: each is configured in exactly one pool.
    pub instances: Arena<InstanceId, Instance>,
    /// The services.
    pub services: Arena<ServiceId, Service>,
    /// The duration of the lease of a target, in milliseconds.
    pub target_lease_ms: u64,
    /// The limits on stored idempotency keys.
    pub keys: KeyTerms,
    /// The address of the platform that drains and reboots instances.
    pub platform: Option<SocketAddr>,
}

/// A data centre, a failure domain.
#[derive(Debug, Clone)]
pub struct DataCentre {
    /// The region of the data centre, if configured.
    pub region: Option<Box<str>>,
}

/// A pool of instances.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The number of instances of the pool that may be away at once, for any reason.
    /// An instance is away while a maintenance wave drains it, reboots it or
    /// has it on probation, after it failed in a wave until it has proved
    /// itself, while it leaves the pool, and while no target on it is
    /// announced. One that has joined the pool and not served yet is
    /// not away, unless a wave makes it so.
    /// Invariant: at most the number of configured instances.
    pub availability_budget: u64,
    /// The instances that are configured in the pool.
    pub instances: Vec<InstanceId>,
    /// The time limits of maintenance.
    pub maintenance: MaintenanceTerms,
}

/// The time limits of maintenance in a pool, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MaintenanceTerms {
    /// The time that an instance has to serve after its reboot before it counts as
    /// available.
    pub probation_s: u64,
    /// The timeout of a drain, after which maintenance of the instance has failed.
    pub drain_s: u64,
    /// The timeout of a reboot, after which maintenance of the instance has failed.
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
    /// The pool that the instance is configured in.
    pub pool: PoolId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The rack of the instance, a failure domain within the data centre.
    pub rack: Box<str>,
}

/// A service that callers name in their requests, and the rules for these requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The pool whose instances run its targets.
    pub pool: PoolId,
    /// The maximum duration of a request over all tries, in milliseconds.
    pub deadline_ms: u64,
    /// The bounds of the request queue.
    pub queue: Queue,
    /// The retry policy.
    pub retry: Retry,
    /// The weights and quotas by caller.
    pub callers: IndexMap<Box<str>, CallerTerms>,
    /// The maximum size of a request body, in bytes.
    pub body_limit_bytes: u64,
    /// The maximum size of an answer that is buffered until it is complete, in bytes. A
    /// larger one is streamed to the caller, who sees an interruption as a broken
    /// connection.
    pub answer_buffer_bytes: u64,
}

impl Service {
    /// Returns the terms of `caller`: its own, otherwise those of `*`, otherwise the
    /// defaults.
    pub fn terms(&self, caller: &str) -> CallerTerms {
        let own = self.callers.get(caller);
        let any = || self.callers.get(defaults::ANY_CALLER);
        own.or_else(any).copied().unwrap_or_default()
    }
}

/// The bounds of a service's queue on each entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queue {
    /// The maximum number of waiting requests.
    pub length: u64,
}

/// The retry policy for requests that provably did not run or that are idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// The maximum number of tries of a request, including the first.
    pub tries: u64,
    /// The retry budget, as a percentage of successful requests.
    pub budget_percent: u64,
}

/// The share and the limit of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTerms {
    /// The weight of the caller relative to other callers, at least 1.
    pub weight: u64,
    /// The rate limit of the caller, if any.
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

/// A rate limit on a caller's requests at each entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// The sustained rate, in requests per second.
    pub per_second: u64,
    /// The maximum burst, in requests.
    pub burst: u64,
}

/// The limits on stored idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTerms {
    /// How long a key is stored after its claim, in seconds.
    pub retention_s: u64,
    /// The maximum number of stored keys. At this number, new keys are refused.
    pub max_keys: u64,
    /// The maximum size of an answer that is stored with a key, in bytes.
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
