//! The addresses of a client, and its idle connections.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::HeaderValue;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use indexmap::IndexMap;
use tokio::sync::Semaphore;

/// The sending side of a connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// The addresses that a client calls or has idle connections to.
///
/// Lock order: `hosts`, then the state of one host.
#[derive(Debug)]
pub(crate) struct Pool {
    /// How many exchanges with one address may be under way at once.
    exchanges: usize,
    hosts: Mutex<IndexMap<Box<str>, Arc<Host>>>,
    /// Idle connections get rising numbers: the lowest has been idle longest.
    next_age: AtomicU64,
}

/// One address. A call looks it up once.
///
/// Invariant: it is forgotten once it has no idle connection and no call uses
/// it; a client may see many addresses that never come back.
#[derive(Debug)]
pub(crate) struct Host {
    /// The permits for exchanges with it.
    pub(crate) permits: Semaphore,
    /// The value of the `host` header; `None` if the address can't be one.
    pub(crate) header: Option<HeaderValue>,
    state: Mutex<HostState>,
}

#[derive(Debug, Default)]
struct HostState {
    /// By rising age number.
    idle: Vec<Idle>,
    /// How many calls use the address.
    uses: usize,
}

impl HostState {
    fn is_unused(&self) -> bool {
        self.idle.is_empty() && self.uses == 0
    }
}

#[derive(Debug)]
struct Idle {
    age: u64,
    tx: Sender,
}

impl Host {
    fn new(address: &str, exchanges: usize) -> Host {
        Host {
            permits: Semaphore::new(exchanges),
            header: HeaderValue::from_str(address).ok(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, HostState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn oldest_age(&self) -> Option<u64> {
        self.state().idle.first().map(|idle| idle.age)
    }
}

/// The use of an address by one call. The address is not forgotten before it is dropped.
#[derive(Debug)]
pub(crate) struct HostUse<'a> {
    pool: &'a Pool,
    address: &'a str,
    host: Arc<Host>,
}

impl HostUse<'_> {
    pub(crate) fn host(&self) -> &Host {
        &self.host
    }

    /// Keeps a connection that has no exchange under way.
    pub(crate) fn keep(&self, tx: Sender) {
        let mut state = self.host.state();
        // Numbered under the lock, so that the connections of a host stay in order.
        let age = self.pool.next_age.fetch_add(1, Ordering::Relaxed);
        state.idle.push(Idle { age, tx });
    }

    /// Takes the connection that was used last.
    pub(crate) fn take(&self) -> Option<Sender> {
        self.host.state().idle.pop().map(|idle| idle.tx)
    }
}

impl Drop for HostUse<'_> {
    fn drop(&mut self) {
        let mut state = self.host.state();
        state.uses -= 1;
        let is_unused = state.is_unused();
        drop(state);
        if is_unused {
            self.pool.forget_unused(self.address);
        }
    }
}

impl Pool {
    pub(crate) fn new(exchanges: usize) -> Pool {
        Pool {
            exchanges,
            hosts: Mutex::default(),
            next_age: AtomicU64::new(0),
        }
    }

    /// Begins to use an address.
    pub(crate) fn use_host<'a>(&'a self, address: &'a str) -> HostUse<'a> {
        let mut hosts = self.hosts();
        let host = match hosts.get(address) {
            Some(host) => host.clone(),
            None => {
                let host = Arc::new(Host::new(address, self.exchanges));
                hosts.insert(address.into(), host.clone());
                host
            }
        };
        host.state().uses += 1;
        HostUse {
            pool: self,
            address,
            host,
        }
    }

    /// Closes the connection that has been idle longest; one that a call takes meanwhile stays
    /// open. Looks at every address, since it is called only while the budget is short.
    pub(crate) fn close_oldest(&self) {
        let hosts = self.hosts();
        let ages = hosts.iter().filter_map(|(address, host)| {
            let age = host.oldest_age()?;
            Some((age, address))
        });
        let Some((age, address)) = ages.min() else {
            return;
        };
        let address = address.clone();
        drop(hosts);
        self.close_idle(&address, |idle| idle.age == age);
    }

    /// Lets go of the connections to an address that are closed, and of the
    /// address if nothing is left of it.
    pub(crate) fn forget_closed(&self, address: &str) {
        self.close_idle(address, |idle| idle.tx.is_closed());
    }

    fn close_idle(&self, address: &str, is_closed: impl Fn(&Idle) -> bool) {
        if let Some(host) = self.hosts().get(address) {
            host.state().idle.retain(|idle| !is_closed(idle));
        }
        self.forget_unused(address);
    }

    fn forget_unused(&self, address: &str) {
        let mut hosts = self.hosts();
        if hosts
            .get(address)
            .is_some_and(|host| host.state().is_unused())
        {
            hosts.swap_remove(address);
        }
    }

    /// How many addresses are known.
    pub(crate) fn addresses(&self) -> usize {
        self.hosts().len()
    }

    fn hosts(&self) -> MutexGuard<'_, IndexMap<Box<str>, Arc<Host>>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
