//! From JSON to the typed configuration, with every fault found.

use cleat_json::{Fault, FaultKind, Faults, Node, Object, Path};
use indexmap::IndexMap;
use serde_json::Value;

use super::types::{
    CallerTerms, DataCentre, FleetConfig, Instance, KeyTerms, Pool, Queue, Quota, Retry, Service,
};
use super::{defaults, maintenance};
use crate::{Arena, InstanceId, PoolId};

const MAX_COUNT: u64 = 1_000_000;
const MAX_MS: u64 = 24 * 60 * 60 * 1_000;
const MAX_BYTES: u64 = 1 << 30;

impl FleetConfig {
    /// Checks and types a configuration.
    ///
    /// # Errors
    /// Every fault found, at least one.
    pub fn parse(value: &Value) -> Result<FleetConfig, Box<[Fault]>> {
        let mut faults = Faults::default();
        let config = read_config(value, &mut faults);
        faults.into_result(config)
    }
}

fn read_config(value: &Value, faults: &mut Faults) -> FleetConfig {
    let mut config = FleetConfig::default();
    let Some(root) = Node::root(value).object(faults) else {
        return config;
    };
    let keys = [
        "data_centres",
        "pools",
        "services",
        "targets",
        "keys",
        "platform",
    ];
    root.only(&keys, faults);
    for key in ["data_centres", "pools", "services"] {
        root.require(key, faults);
    }
    read_data_centres(&root, &mut config, faults);
    read_pools(&root, &mut config, faults);
    read_services(&root, &mut config, faults);
    config.target_lease_ms = read_target_lease(&root, faults);
    config.keys = read_key_terms(&root, faults);
    config.platform = maintenance::read_platform(&root, faults);
    config
}

fn read_data_centres(root: &Object<'_>, config: &mut FleetConfig, faults: &mut Faults) {
    for (name, object) in root.objects("data_centres", faults) {
        object.only(&["region"], faults);
        let region = object.get("region").and_then(|node| node.text(faults));
        // Names of members of one JSON object are unique already.
        let _ = config.data_centres.add(name, DataCentre { region });
    }
}

fn read_pools(root: &Object<'_>, config: &mut FleetConfig, faults: &mut Faults) {
    let mut seen = IndexMap::new();
    for (name, object) in root.objects("pools", faults) {
        object.only(&["instances", "availability_budget", "maintenance"], faults);
        let terms = maintenance::read_terms(&object, faults);
        let pool = Pool {
            availability_budget: 0,
            instances: Vec::new(),
            maintenance: terms,
        };
        let Ok(pool_id) = config.pools.add(name, pool) else {
            continue;
        };
        object.require("instances", faults);
        let instances = read_instances(&object, pool_id, config, &mut seen, faults);
        let availability_budget = read_budget(&object, instances.len(), faults);
        let pool = Pool {
            availability_budget,
            instances,
            maintenance: terms,
        };
        config.pools.replace(pool_id, pool);
    }
}

fn read_budget(object: &Object<'_>, instances: usize, faults: &mut Faults) -> u64 {
    let default = defaults::AVAILABILITY_BUDGET.min(instances as u64);
    object.number_or("availability_budget", default, 0..=instances as u64, faults)
}

fn read_instances(
    object: &Object<'_>,
    pool: PoolId,
    config: &mut FleetConfig,
    seen: &mut IndexMap<Box<str>, Path>,
    faults: &mut Faults,
) -> Vec<InstanceId> {
    let mut ids = Vec::new();
    for (name, object) in object.objects("instances", faults) {
        if let Some(first) = seen.get(name) {
            let kind = duplicate("instance", name, first);
            faults.add(object.path(), kind);
            continue;
        }
        seen.insert(name.into(), object.path().clone());
        let instance = read_instance(&object, pool, config, faults);
        let added = instance.and_then(|instance| config.instances.add(name, instance).ok());
        ids.extend(added);
    }
    ids
}

fn read_instance(
    object: &Object<'_>,
    pool: PoolId,
    config: &FleetConfig,
    faults: &mut Faults,
) -> Option<Instance> {
    object.only(&["data_centre", "rack"], faults);
    let data_centre = resolve_reference("data_centre", object, &config.data_centres, faults);
    let rack = object.text("rack", faults)?;
    Some(Instance {
        pool,
        data_centre: data_centre?,
        rack,
    })
}

fn read_services(root: &Object<'_>, config: &mut FleetConfig, faults: &mut Faults) {
    for (name, object) in root.objects("services", faults) {
        check_service_name(name, &object, faults);
        if let Some(service) = read_service(&object, config, faults) {
            let _ = config.services.add(name, service);
        }
    }
}

/// A service's name is a path segment, and `-` is the instance's own.
fn check_service_name(name: &str, object: &Object<'_>, faults: &mut Faults) {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if name != "-" && !name.is_empty() && name.bytes().all(allowed) {
        return;
    }
    let kind = FaultKind::BadText {
        expected: "letters, digits, '-', '_' or '.', and not '-' alone".into(),
        found: name.into(),
    };
    faults.add(object.path(), kind);
}

fn read_service(object: &Object<'_>, config: &FleetConfig, faults: &mut Faults) -> Option<Service> {
    let keys = [
        "pool",
        "deadline_ms",
        "queue",
        "retry",
        "callers",
        "body_limit_bytes",
        "answer_buffer_bytes",
    ];
    object.only(&keys, faults);
    let pool = resolve_reference("pool", object, &config.pools, faults);
    let deadline_ms = object.number_or("deadline_ms", defaults::DEADLINE_MS, 1..=MAX_MS, faults);
    let queue = read_queue(object, faults);
    let retry = read_retry(object, faults);
    let callers = read_callers(object, faults);
    let body_limit_bytes = object.number_or(
        "body_limit_bytes",
        defaults::BODY_LIMIT_BYTES,
        0..=MAX_BYTES,
        faults,
    );
    let answer_buffer_bytes = object.number_or(
        "answer_buffer_bytes",
        defaults::ANSWER_BUFFER_BYTES,
        0..=MAX_BYTES,
        faults,
    );
    Some(Service {
        pool: pool?,
        deadline_ms,
        queue,
        retry,
        callers,
        body_limit_bytes,
        answer_buffer_bytes,
    })
}

fn read_queue(service: &Object<'_>, faults: &mut Faults) -> Queue {
    let length = match optional_object("queue", &["length"], service, faults) {
        Some(object) => object.number_or("length", defaults::QUEUE_LENGTH, 0..=MAX_COUNT, faults),
        None => defaults::QUEUE_LENGTH,
    };
    Queue { length }
}

fn read_retry(service: &Object<'_>, faults: &mut Faults) -> Retry {
    let mut retry = Retry {
        tries: defaults::RETRY_TRIES,
        budget_percent: defaults::RETRY_BUDGET_PERCENT,
    };
    if let Some(object) = optional_object("retry", &["tries", "budget_percent"], service, faults) {
        retry.tries = object.number_or("tries", retry.tries, 1..=16, faults);
        retry.budget_percent =
            object.number_or("budget_percent", retry.budget_percent, 0..=100, faults);
    }
    retry
}

fn read_callers(service: &Object<'_>, faults: &mut Faults) -> IndexMap<Box<str>, CallerTerms> {
    let mut callers = IndexMap::new();
    for (name, object) in service.objects("callers", faults) {
        object.only(&["weight", "quota"], faults);
        let weight = object.number_or("weight", defaults::CALLER_WEIGHT, 1..=MAX_COUNT, faults);
        let quota = read_quota(&object, faults);
        callers.insert(name.into(), CallerTerms { weight, quota });
    }
    callers
}

fn read_quota(caller: &Object<'_>, faults: &mut Faults) -> Option<Quota> {
    let object = optional_object("quota", &["per_second", "burst"], caller, faults)?;
    let per_second = object.require("per_second", faults)?;
    let per_second = per_second.number(1..=MAX_COUNT, faults)?;
    let burst = object.number_or("burst", per_second, 1..=MAX_COUNT, faults);
    Some(Quota { per_second, burst })
}

fn read_target_lease(root: &Object<'_>, faults: &mut Faults) -> u64 {
    let default = defaults::TARGET_LEASE_MS;
    match optional_object("targets", &["lease_ms"], root, faults) {
        Some(object) => object.number_or("lease_ms", default, 500..=600_000, faults),
        None => default,
    }
}

fn read_key_terms(root: &Object<'_>, faults: &mut Faults) -> KeyTerms {
    let mut terms = KeyTerms::default();
    let keys = ["keep_s", "most", "answer_bytes"];
    if let Some(object) = optional_object("keys", &keys, root, faults) {
        terms.retention_s = object.number_or("keep_s", terms.retention_s, 1..=604_800, faults);
        terms.max_keys = object.number_or("most", terms.max_keys, 1..=MAX_COUNT, faults);
        terms.max_answer_bytes =
            object.number_or("answer_bytes", terms.max_answer_bytes, 0..=1 << 20, faults);
    }
    terms
}

/// The member object `key`, if it is there, with unknown keys reported.
pub(super) fn optional_object<'a>(
    key: &str,
    keys: &[&str],
    parent: &Object<'a>,
    faults: &mut Faults,
) -> Option<Object<'a>> {
    let object = parent.get(key)?.object(faults)?;
    object.only(keys, faults);
    Some(object)
}

/// The id that the text member `key` names in `arena`.
fn resolve_reference<K: crate::Key, T>(
    key: &str,
    object: &Object<'_>,
    arena: &Arena<K, T>,
    faults: &mut Faults,
) -> Option<K> {
    let name = object.text(key, faults)?;
    let found = arena.find(&name);
    if found.is_none() {
        let kind = FaultKind::UnknownReference {
            what: key.into(),
            name,
        };
        faults.add(&object.path().key(key), kind);
    }
    found
}

fn duplicate(what: &str, name: &str, first: &Path) -> FaultKind {
    FaultKind::Duplicate {
        what: what.into(),
        name: name.into(),
        first: first.as_str().into(),
    }
}
