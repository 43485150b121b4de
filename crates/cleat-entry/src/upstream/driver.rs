//! A waker that stays silent towards a task that is polling already.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};

const POLLING: u8 = 1;
const WOKEN: u8 = 2;

/// Drives a connection and what waits on it from one task.
///
/// The parts of a connection wake each other through the task's waker. While
/// the task polls them anyway, such a wake would only have it scheduled once
/// more, often with a system call to wake another thread. Here it makes the
/// task poll again before it returns.
pub(super) struct Driver {
    state: Arc<State>,
    waker: Waker,
}

#[derive(Default)]
struct State {
    /// Invariant: a wake while [`POLLING`] leaves [`WOKEN`] for the end of the
    /// poll to find; any other is passed on to `task`.
    flags: AtomicU8,
    task: Mutex<Option<Waker>>,
}

impl Driver {
    pub(super) fn new() -> Driver {
        let state = Arc::<State>::default();
        let waker = Waker::from(Arc::clone(&state));
        Driver { state, waker }
    }

    /// Polls `work` until it is ready or nothing in it was woken.
    pub(super) fn poll<T>(
        &self,
        cx: &Context<'_>,
        mut work: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        self.state.set_task(cx.waker());
        loop {
            self.state.flags.store(POLLING, Ordering::SeqCst);
            let result = work(&mut Context::from_waker(&self.waker));
            let flags = self.state.flags.swap(0, Ordering::SeqCst);
            if result.is_ready() || flags & WOKEN == 0 {
                return result;
            }
        }
    }
}

impl State {
    fn set_task(&self, waker: &Waker) {
        let mut task = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *task {
            Some(known) => known.clone_from(waker),
            None => *task = Some(waker.clone()),
        }
    }
}

impl Wake for State {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        let before = self.flags.fetch_or(WOKEN, Ordering::SeqCst);
        if before & POLLING != 0 {
            return;
        }
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = &*task {
            task.wake_by_ref();
        }
    }
}
