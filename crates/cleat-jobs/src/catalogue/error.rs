//! Why a configuration can't be put into force.

use snafu::Snafu;

/// A configuration that contradicts itself. The one before stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CatalogueError {
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
}
