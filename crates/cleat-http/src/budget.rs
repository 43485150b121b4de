//! How many connections a process may hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Below this share of the most, in percent, a budget that was short is not
/// short any more: else each connection that closes and opens again would
/// write two lines to the log.
const WELL_PERCENT: usize = 90;

/// Counts the connections that the clients and servers of a process hold
/// together. A clone is another handle on the same count.
///
/// Without it a process with many peers runs out of file descriptors, and
/// then can't renew leases, accept calls, or open its own log. While the budget
/// is short, clients keep no idle connections and servers close theirs after
/// each answer; nothing is refused.
#[derive(Clone, Debug)]
pub struct ConnectionBudget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    most: usize,
    open: AtomicUsize,
    /// Whether the last line in the log says that it is short.
    told_short: AtomicBool,
}

impl ConnectionBudget {
    /// A budget of so many connections.
    pub fn new(most: usize) -> ConnectionBudget {
        ConnectionBudget(Arc::new(Inner {
            most,
            open: AtomicUsize::new(0),
            told_short: AtomicBool::new(false),
        }))
    }

    /// A budget that is never short.
    pub fn unlimited() -> ConnectionBudget {
        ConnectionBudget::new(usize::MAX)
    }

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.0.open.load(Ordering::Relaxed)
    }

    /// How many may be open before idle ones are closed.
    pub fn most(&self) -> usize {
        self.0.most
    }

    /// Whether idle connections have to go.
    pub(crate) fn is_short(&self) -> bool {
        self.open() >= self.0.most
    }

    /// Counts a connection until the value returned is dropped.
    pub(crate) fn count(&self) -> OpenConnection {
        let open = self.0.open.fetch_add(1, Ordering::Relaxed) + 1;
        let most = self.0.most;
        if open >= most && !self.0.told_short.swap(true, Ordering::Relaxed) {
            log::warn!("{open} connections are open of {most}: idle ones are closed");
        }
        OpenConnection(self.clone())
    }
}

/// One open connection.
#[derive(Debug)]
pub(crate) struct OpenConnection(ConnectionBudget);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let Inner {
            most,
            open,
            told_short,
        } = &*self.0.0;
        let left = open.fetch_sub(1, Ordering::Relaxed) - 1;
        let well = left < most.saturating_mul(WELL_PERCENT) / 100;
        if well && told_short.swap(false, Ordering::Relaxed) {
            log::info!("{left} connections are open of {most}: idle ones are kept again");
        }
    }
}
