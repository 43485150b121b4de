//! The limit of starts that were sent and have no answer yet.
//!
//! An order that waits too long for its connection is given up, and its task is
//! placed again. If an owner decided more starts than it can send, it would spend
//! its processor time on orders that are given up, and so send fewer still, even
//! when there is no more load from outside. The window follows what can be sent,
//! like the congestion window of a connection: it grows with each answer, and is
//! halved when an order was given up.

use std::time::Duration;

use indexmap::IndexMap;

use super::Scheduler;
use super::event::OrderAnswer;

/// The window of a new owner, in starts.
const INITIAL_WINDOW: usize = 256;
/// The minimum window, in starts. With answers after 10 ms it allows 3,200 starts
/// a second.
const MIN_WINDOW: usize = 32;
/// The maximum window, in starts.
const MAX_WINDOW: usize = 4_096;
/// How long after it was halved the window is not halved again: the orders that
/// are given up meanwhile were sent before.
const HALVING_INTERVAL: Duration = Duration::from_millis(250);

/// The starts without an answer, and their limit.
#[derive(Clone, Debug)]
pub(crate) struct StartWindow {
    limit: usize,
    unanswered: usize,
    /// The answers since the limit last changed that came while at least half of
    /// the window was in use.
    answers: usize,
    halved_at: Option<Duration>,
    /// The pools whose last pass ended early since the window was full, and when a
    /// pass over each of them last filled it; zero if none did.
    waiting: IndexMap<Box<str>, Duration>,
}

impl StartWindow {
    pub(crate) fn new() -> StartWindow {
        StartWindow {
            limit: INITIAL_WINDOW,
            unanswered: 0,
            answers: 0,
            halved_at: None,
            waiting: IndexMap::new(),
        }
    }

    /// Whether no more starts may be sent.
    pub(crate) fn is_full(&self) -> bool {
        self.unanswered >= self.limit
    }

    fn record_sent(&mut self) {
        self.unanswered += 1;
    }

    /// Records that a start has an answer or was given up. Returns whether the
    /// window was full until now.
    fn record_answer(&mut self, answer: OrderAnswer, now: Duration) -> bool {
        let was_full = self.is_full();
        let in_use = self.unanswered * 2 >= self.limit;
        self.unanswered = self.unanswered.saturating_sub(1);
        if answer == OrderAnswer::NotSent {
            self.halve(now);
        } else if in_use {
            self.grow();
        }
        was_full
    }

    fn halve(&mut self, now: Duration) {
        let recently = |at| now < at + HALVING_INTERVAL;
        if !self.halved_at.is_some_and(recently) {
            self.halved_at = Some(now);
            self.limit = (self.limit / 2).max(MIN_WINDOW);
            self.answers = 0;
        }
    }

    /// Grows the limit by an eighth for as many answers as the limit.
    fn grow(&mut self) {
        self.answers += 1;
        if self.answers >= self.limit {
            self.answers = 0;
            self.limit = (self.limit + self.limit.div_ceil(8)).min(MAX_WINDOW);
        }
    }
}

impl Scheduler {
    /// Records that a start was sent.
    pub(super) fn record_start_sent(&mut self) {
        self.start_window.record_sent();
    }

    /// Records the answer to a start. If the window was full, the pools that wait
    /// for it are scheduled again.
    pub(super) fn record_start_answer(&mut self, answer: OrderAnswer) {
        if self.start_window.record_answer(answer, self.now) {
            let waiting: Vec<Box<str>> = self.start_window.waiting.keys().cloned().collect();
            for pool in waiting {
                self.request_scheduling(&pool);
            }
        }
    }

    /// Orders the pools that need a scheduling pass: those that filled the window
    /// last come last, so that none of them uses it alone.
    pub(super) fn order_by_window_use(&self, pools: &mut [Box<str>]) {
        pools.sort_by_key(|pool| self.start_window.waiting.get(pool).copied());
    }

    /// Whether no pass over the pool is possible, since the window is full.
    pub(super) fn waits_for_window(&mut self, pool: &str) -> bool {
        let window = &mut self.start_window;
        if window.is_full() {
            window.waiting.entry(pool.into()).or_default();
            return true;
        }
        window.waiting.swap_remove(pool);
        false
    }

    /// Whether a pass over the pool has to end, since it filled the window.
    pub(super) fn has_filled_window(&mut self, pool: &str) -> bool {
        let full = self.start_window.is_full();
        if full {
            self.start_window.waiting.insert(pool.into(), self.now);
        }
        full
    }

    /// The number of starts without an answer, and their limit.
    pub fn unanswered_starts(&self) -> (usize, usize) {
        (self.start_window.unanswered, self.start_window.limit)
    }
}
