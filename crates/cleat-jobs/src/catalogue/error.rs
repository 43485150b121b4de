//! Faults of a configuration.

use snafu::Snafu;

/// An invalid configuration. The previous one stays in force.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{}", joined(faults)))]
pub struct CatalogueError {
    /// The faults, at least one.
    pub faults: Vec<CatalogueFault>,
}

fn joined(faults: &[CatalogueFault]) -> String {
    let texts: Vec<String> = faults.iter().map(CatalogueFault::to_string).collect();
    texts.join("; ")
}

/// One fault of a configuration.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CatalogueFault {
    /// A queue refers to a pool that does not exist.
    #[snafu(display("queue {queue}: there is no pool {pool}; list it or name another"))]
    UnknownPool {
        /// The queue.
        queue: Box<str>,
        /// The name of the pool.
        pool: Box<str>,
    },
    /// Two queues have the same host and prefix.
    #[snafu(display("queues {first} and {second} have the same host and prefix; change one"))]
    DuplicateQueue {
        /// The first queue.
        first: Box<str>,
        /// The second queue.
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
        /// The position of the first in the list.
        first: usize,
        /// The position of the second.
        at: usize,
        /// Their name.
        name: Box<str>,
    },
    /// A customer's key is empty.
    #[snafu(display("customer {customer}, key {at}: it is empty; remove it"))]
    EmptyKey {
        /// The customer.
        customer: Box<str>,
        /// The position of the key in the customer's list.
        at: usize,
    },
    /// A customer's weight is negative or not finite.
    #[snafu(display("customer {customer}: its weight is {weight}; give a number of 0 or more"))]
    WeightOutOfRange {
        /// The customer.
        customer: Box<str>,
        /// The weight.
        weight: f64,
    },
    /// Two customers have the same key. The message does not show the key.
    #[snafu(display("customer {customer}, key {at}: {other} has it too; give each its own"))]
    SharedKey {
        /// The customer.
        customer: Box<str>,
        /// The position of the key in the customer's list.
        at: usize,
        /// The other customer.
        other: Box<str>,
    },
}
