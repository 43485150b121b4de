//! Validation of a configuration.

use indexmap::IndexMap;

use super::error::CatalogueFault;
use super::{CatalogueDraft, CustomerDraft, Queue};
use crate::KeyDigest;

/// All faults of a configuration.
pub(super) fn faults(draft: &CatalogueDraft) -> Vec<CatalogueFault> {
    let mut faults = queue_faults(draft);
    let customers = draft.customers.as_deref().unwrap_or_default();
    faults.extend(customer_faults(customers));
    faults
}

fn queue_faults(draft: &CatalogueDraft) -> Vec<CatalogueFault> {
    let mut faults = Vec::new();
    let mut addresses: IndexMap<(&str, &str), &str> = IndexMap::new();
    for queue in &draft.queues {
        let Queue { name, pool, .. } = queue;
        if !draft.pools.iter().any(|known| known.name == *pool) {
            faults.push(CatalogueFault::UnknownPool {
                queue: name.clone(),
                pool: pool.clone(),
            });
        }
        if queue.timeout_ms == 0 {
            let queue = name.clone();
            faults.push(CatalogueFault::NoTimeout { queue });
        }
        if let Some(other) = addresses.insert((&queue.host, &queue.prefix), name) {
            faults.push(CatalogueFault::DuplicateQueue {
                first: other.into(),
                second: name.clone(),
            });
        }
    }
    faults
}

fn customer_faults(customers: &[CustomerDraft]) -> Vec<CatalogueFault> {
    let mut faults = Vec::new();
    let mut names: IndexMap<&str, usize> = IndexMap::new();
    let mut keys: IndexMap<KeyDigest, &str> = IndexMap::new();
    for (at, draft) in customers.iter().enumerate() {
        let name = &draft.customer.name;
        if let Some(first) = names.insert(name, at) {
            let name = name.clone();
            faults.push(CatalogueFault::DuplicateCustomer { first, at, name });
        }
        let weight = draft.customer.weight;
        if !weight.is_finite() || weight < 0.0 {
            let customer = name.clone();
            faults.push(CatalogueFault::WeightOutOfRange { customer, weight });
        }
        faults.extend(draft.empty_keys.iter().map(|at| CatalogueFault::EmptyKey {
            customer: name.clone(),
            at: *at,
        }));
        for (at, key) in draft.customer.keys.iter().enumerate() {
            // A customer may list the same key twice.
            let other = keys.insert(*key, name).filter(|other| **other != **name);
            faults.extend(other.map(|other| CatalogueFault::SharedKey {
                customer: name.clone(),
                at,
                other: other.into(),
            }));
        }
    }
    faults
}
