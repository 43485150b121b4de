//! The unused connections to one target.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::upstream::Upstream;

/// Open connections that no exchange uses.
#[derive(Default)]
pub(super) struct Idle {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Invariant: empty once `closed`. The longest unused first.
    kept: Vec<Kept>,
    closed: bool,
}

struct Kept {
    upstream: Box<Upstream>,
    since: Duration,
}

impl Idle {
    /// The connection used last, if it still can be used.
    pub(super) fn take(&self, now: Duration, age_max: Duration) -> Option<Box<Upstream>> {
        loop {
            let mut kept = self.lock().kept.pop()?;
            let young = now.saturating_sub(kept.since) < age_max;
            if young && kept.upstream.is_ready() {
                return Some(kept.upstream);
            }
        }
    }

    /// Keeps a connection, or closes it if `most` are kept already.
    pub(super) fn keep(&self, upstream: Box<Upstream>, now: Duration, most: u32) {
        let mut state = self.lock();
        let room = state.kept.len() < most as usize;
        if room && !state.closed {
            let since = now;
            state.kept.push(Kept { upstream, since });
        }
    }

    /// Closes what was unused for too long or ended.
    pub(super) fn sweep(&self, now: Duration, age_max: Duration, most: u32) {
        let mut state = self.lock();
        let young = |kept: &Kept| now.saturating_sub(kept.since) < age_max;
        state
            .kept
            .retain_mut(|kept| young(kept) && kept.upstream.is_ready());
        let surplus = state.kept.len().saturating_sub(most as usize);
        state.kept.drain(..surplus);
    }

    /// Closes all connections, now and from now on, or opens for new ones.
    pub(super) fn set_closed(&self, closed: bool) {
        let mut state = self.lock();
        state.closed = closed;
        if closed {
            state.kept.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
