//! The unused connections to one target.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::upstream::Upstream;

/// Open connections that no exchange uses.
#[derive(Default)]
pub(super) struct IdleConnections {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Invariant: empty once `closed`. The longest unused first.
    connections: Vec<IdleConnection>,
    closed: bool,
}

struct IdleConnection {
    upstream: Box<Upstream>,
    idle_since: Duration,
}

impl IdleConnections {
    /// The connection used last, if it still can be used.
    pub(super) fn take(&self, now: Duration, max_age: Duration) -> Option<Box<Upstream>> {
        loop {
            let mut connections = self.lock().connections.pop()?;
            let is_fresh = now.saturating_sub(connections.idle_since) < max_age;
            if is_fresh && connections.upstream.is_ready() {
                return Some(connections.upstream);
            }
        }
    }

    /// Keeps a connection, or closes it if `most` are kept already.
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

    /// Closes what was unused for too long or ended.
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

    /// Closes all connections, now and from now on, or opens for new ones.
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
