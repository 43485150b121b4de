//! The customers of a configuration, and the authentication of calls by their keys.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Customer, KeyDigest};

/// The customers of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Customers {
    /// The customers, by name.
    by_name: IndexMap<Box<str>, Arc<Customer>>,
    /// The customer that each key belongs to.
    ///
    /// Invariant: holds only customers of `by_name`.
    by_key: IndexMap<KeyDigest, Arc<Customer>>,
}

/// The origin of a call, as authenticated by its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// No key is required: the queue is public, or no customers are configured.
    Anyone,
    /// The customer that the key belongs to.
    Customer(Arc<Customer>),
    /// A key is required, but the call has none or one that belongs to no customer.
    Unknown,
}

impl Caller {
    /// The name of the customer, if the call comes from one.
    pub fn name(&self) -> Option<&str> {
        match self {
            Caller::Customer(customer) => Some(&customer.name),
            Caller::Anyone | Caller::Unknown => None,
        }
    }

    /// Whether the call may read and cancel a job that belongs to `job_customer`. A job
    /// without a customer was submitted to a public queue, or before customers
    /// were configured.
    pub fn may_access(&self, job_customer: Option<&str>) -> bool {
        match self {
            Caller::Anyone => true,
            Caller::Customer(customer) => job_customer.is_none_or(|name| *name == *customer.name),
            Caller::Unknown => false,
        }
    }
}

impl Customers {
    /// Indexes customers whose names and keys must be unique: of two customers with the
    /// same name or key the later one would replace the first.
    pub(crate) fn new(customers: Vec<Customer>) -> Customers {
        let mut all = Customers::default();
        for customer in customers {
            let customer = Arc::new(customer);
            for key in &customer.keys {
                all.by_key.insert(*key, customer.clone());
            }
            all.by_name.insert(customer.name.clone(), customer);
        }
        all
    }

    /// The customer with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// The customer that the key belongs to.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }

    /// All customers, in the order of the operator's document.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }

    /// The number of customers.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no customers, so that every key is unknown.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
