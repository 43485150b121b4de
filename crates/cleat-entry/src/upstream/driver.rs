//! A waker that does not wake a task that is already polling.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};

const POLLING: u8 = 1;
const WOKEN: u8 = 2;

/// Polls a connection and a future that waits for it in one task.
///
/// The parts of a connection wake each other through the waker of the task. If
/// this happens while the task polls them, the wake-up would only schedule the
/// task once more, often with a system call to wake another thread. Instead,
/// the driver polls again before it returns.
pub(super) struct Driver {
    state: Arc<State>,
    waker: Waker,
}

#[derive(Default)]
struct State {
    /// Invariant: a wake-up during [`POLLING`] sets [`WOKEN`], which is checked
    /// at the end of the poll. Any other wake-up is forwarded to `task`.
    flags: AtomicU8,
    task: Mutex<Option<Waker>>,
}

impl Driver {
    pub(super) fn new() -> Driver {
        let state = Arc::<State>::default();
        let waker = Waker::from(Arc::clone(&state));
        Driver { state, waker }
    }

    /// Polls `work` until it is ready or no part of it was woken during the
    /// poll.
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
