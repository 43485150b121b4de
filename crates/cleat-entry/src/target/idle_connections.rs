//! The idle connections to one target.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::upstream::Upstream;

/// Open connections without an exchange.
#[derive(Default)]
pub(super) struct IdleConnections {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// In the order in which they became idle. Invariant: empty once `closed`.
    connections: Vec<IdleConnection>,
    closed: bool,
}

struct IdleConnection {
    upstream: Box<Upstream>,
    idle_since: Duration,
}

impl IdleConnections {
    /// Takes the most recently used connection that is still usable.
    pub(super) fn take(&self, now: Duration, max_age: Duration) -> Option<Box<Upstream>> {
        loop {
            let mut connections = self.lock().connections.pop()?;
            let is_fresh = now.saturating_sub(connections.idle_since) < max_age;
            if is_fresh && connections.upstream.is_ready() {
                return Some(connections.upstream);
            }
        }
    }

    /// Adds a connection, or closes it if there are already `max` connections.
    pub(super) fn put(&self, upstream: Box<Upstream>, now: Duration, max: u32) {
        let mut state = self.lock();
        let has_capacity = state.connections.len() < max as usize;
        if has_capacity && !state.closed {
            let idle_since = now;
            state.connections.push(IdleConnection {
                upstream,
                idle_since,
            });
        }
    }

    /// Closes connections that were idle for too long or were closed by the
    /// target, and the oldest ones beyond `max`.
    pub(super) fn remove_expired(&self, now: Duration, max_age: Duration, max: u32) {
        let mut state = self.lock();
        let is_fresh =
            |connections: &IdleConnection| now.saturating_sub(connections.idle_since) < max_age;
        state
            .connections
            .retain_mut(|connections| is_fresh(connections) && connections.upstream.is_ready());
        let excess = state.connections.len().saturating_sub(max as usize);
        state.connections.drain(..excess);
    }

    /// With `true`, closes all connections and those added later. With `false`,
    /// allows connections to be added again.
    pub(super) fn set_closed(&self, closed: bool) {
        let mut state = self.lock();
        state.closed = closed;
        if closed {
            state.connections.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
