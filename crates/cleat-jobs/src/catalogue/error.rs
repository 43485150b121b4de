//! Why a configuration can't be put into force.

use snafu::Snafu;

/// Everything that is wrong with a configuration. The one before stays in force.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{}", joined(faults)))]
pub struct CatalogueError {
    /// The faults, one at least.
    pub faults: Vec<CatalogueFault>,
}

fn joined(faults: &[CatalogueFault]) -> String {
    let texts: Vec<String> = faults.iter().map(CatalogueFault::to_string).collect();
    texts.join("; ")
}

/// One place where a configuration contradicts itself.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CatalogueFault {
    /// A queue names a pool that is not listed.
    #[snafu(display("queue {queue}: there is no pool {pool}; list it or name another"))]
    UnknownPool {
        /// The queue.
        queue: Box<str>,
        /// The name.
        pool: Box<str>,
    },
    /// Two queues have the same host and prefix.
    #[snafu(display("queues {first} and {second} have the same host and prefix; change one"))]
    DuplicateQueue {
        /// One of them.
        first: Box<str>,
        /// The other.
        second: Box<str>,
    },
    /// A queue's time-out is 0.
    #[snafu(display("queue {queue}: the time-out must be more than 0 ms"))]
    NoTimeout {
        /// The queue.
        queue: Box<str>,
    },
    /// Two customers have the same name.
    #[snafu(display("customers {at} and {first}: both are called {name}; rename one"))]
    DuplicateCustomer {
        /// The place of the first in the list.
        first: usize,
        /// The place of the other.
        at: usize,
        /// The name.
        name: Box<str>,
    },
    /// A customer's key is empty.
    #[snafu(display("customer {customer}, key {at}: it is empty; remove it"))]
    EmptyKey {
        /// The customer.
        customer: Box<str>,
        /// The place of the key in the customer's list.
        at: usize,
    },
    /// A customer's weight is below 0 or no number.
    #[snafu(display("customer {customer}: its weight is {weight}; give a number of 0 or more"))]
    WeightOutOfRange {
        /// The customer.
        customer: Box<str>,
        /// The weight.
        weight: f64,
    },
    /// Two customers have the same key. The key itself is not told.
    #[snafu(display("customer {customer}, key {at}: {other} has it too; give each its own"))]
    SharedKey {
        /// The customer.
        customer: Box<str>,
        /// The place of the key in the customer's list.
        at: usize,
        /// The other.
        other: Box<str>,
    },
}
