//! The idle connections of a client.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use indexmap::IndexMap;
use tokio::sync::Semaphore;

/// The sending side of a connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address and by age.
#[derive(Debug)]
pub(crate) struct Pool {
    /// How many exchanges with one address may be under way at once.
    exchanges: usize,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    hosts: IndexMap<Box<str>, Host>,
    /// By rising age number: the first has been idle longest.
    idle: BTreeMap<u64, Idle>,
    next_age: u64,
}

/// One address.
///
/// Invariant: it is forgotten once it has no idle connection and nobody holds
/// its permits; a client may see many addresses that never come back.
#[derive(Debug)]
struct Host {
    permits: Arc<Semaphore>,
    /// The age numbers of its idle connections, the youngest last.
    idle: Vec<u64>,
}

impl Host {
    fn is_unused(&self) -> bool {
        self.idle.is_empty() && Arc::strong_count(&self.permits) == 1
    }
}

#[derive(Debug)]
struct Idle {
    address: Box<str>,
    tx: Sender,
}

impl Pool {
    pub(crate) fn new(exchanges: usize) -> Pool {
        Pool {
            exchanges,
            kept: Mutex::default(),
        }
    }

    /// The permits for exchanges with an address.
    pub(crate) fn permits(&self, address: &str) -> Arc<Semaphore> {
        let mut kept = self.kept();
        if let Some(host) = kept.hosts.get(address) {
            return host.permits.clone();
        }
        let permits = Arc::new(Semaphore::new(self.exchanges));
        let host = Host {
            permits: permits.clone(),
            idle: Vec::new(),
        };
        kept.hosts.insert(address.into(), host);
        permits
    }

    /// Keeps a connection that has no exchange under way.
    pub(crate) fn keep(&self, address: &str, tx: Sender) {
        let mut kept = self.kept();
        let age = kept.next_age;
        let Some(host) = kept.hosts.get_mut(address) else {
            return;
        };
        host.idle.push(age);
        kept.next_age += 1;
        let address = address.into();
        kept.idle.insert(age, Idle { address, tx });
    }

    /// The connection to an address that was used last.
    pub(crate) fn take(&self, address: &str) -> Option<Sender> {
        let mut kept = self.kept();
        let age = kept.hosts.get_mut(address)?.idle.pop()?;
        kept.idle.remove(&age).map(|idle| idle.tx)
    }

    /// Closes the connection that has been idle longest.
    pub(crate) fn close_oldest(&self) {
        let mut kept = self.kept();
        let Some((age, idle)) = kept.idle.pop_first() else {
            return;
        };
        kept.drop_ages(&idle.address, |known| known == age);
    }

    /// Lets go of the connections to an address that are closed, and of the
    /// address if nothing is left of it.
    pub(crate) fn forget_closed(&self, address: &str) {
        let mut kept = self.kept();
        let Some(host) = kept.hosts.get(address) else {
            return;
        };
        let closed = |age: &&u64| kept.idle.get(*age).is_none_or(|idle| idle.tx.is_closed());
        let closed: Vec<u64> = host.idle.iter().filter(closed).copied().collect();
        for age in &closed {
            kept.idle.remove(age);
        }
        kept.drop_ages(address, |age| closed.contains(&age));
    }

    /// How many addresses are known.
    pub(crate) fn addresses(&self) -> usize {
        self.kept().hosts.len()
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn drop_ages(&mut self, address: &str, gone: impl Fn(u64) -> bool) {
        let Some(host) = self.hosts.get_mut(address) else {
            return;
        };
        host.idle.retain(|age| !gone(*age));
        if host.is_unused() {
            self.hosts.swap_remove(address);
        }
    }
}
