//! All customers of a configuration, and whose a call is.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Customer, KeyDigest};

/// The customers of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Customers {
    /// By name.
    by_name: IndexMap<Box<str>, Arc<Customer>>,
    /// Whose each key is.
    ///
    /// Invariant: names only customers of `by_name`.
    by_key: IndexMap<KeyDigest, Arc<Customer>>,
}

/// Whose call it is.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// No key is asked for: the queue is public, or there are no customers.
    Anyone,
    /// This customer's.
    Customer(Arc<Customer>),
    /// Nobody's: it has no key, or one that no customer has.
    Unknown,
}

impl Caller {
    /// The customer's name, if the call is one's.
    pub fn name(&self) -> Option<&str> {
        match self {
            Caller::Customer(customer) => Some(&customer.name),
            Caller::Anyone | Caller::Unknown => None,
        }
    }

    /// Whether the call may read and cancel a job of `owner`. A job that is
    /// nobody's came through a public queue, or before there were customers.
    pub fn may_access(&self, owner: Option<&str>) -> bool {
        match self {
            Caller::Anyone => true,
            Caller::Customer(customer) => owner.is_none_or(|owner| *owner == *customer.name),
            Caller::Unknown => false,
        }
    }
}

impl Customers {
    /// Customers without a name or key that stands twice: the later of two
    /// customers, or of two holders of a key, would take the place of the first.
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

    /// The customer of that name.
    pub fn get(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// The customer that has this key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }

    /// All of them, in the operator's order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is none: then every key is unknown.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
