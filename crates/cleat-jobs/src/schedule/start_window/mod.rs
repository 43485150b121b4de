//! The limit of starts that were sent and have no answer yet.
//!
//! Starts that were decided are sent in the order of the decisions. So those that can't be sent
//! yet have to wait in the scheduler, which ranks them by urgency, and only as many are decided
//! as keep the sender busy. The window follows the delay of answers, like a delay-based
//! congestion window of a connection: it grows while answers come at once, and shrinks when they
//! come later than the network and the worker alone would explain.
//!
//! An order that waits too long is given up, and its task is placed again. Its delay counts as
//! well, so that an owner does not spend its processor time on orders that are given up.

mod least_delay;

use std::time::Duration;

use indexmap::IndexMap;

use super::Scheduler;
use super::attempt::Phase;
use super::event::{OrderAnswer, TaskOrder};
use super::worker::millis;
use least_delay::LeastDelay;

/// The window of a new owner, in starts.
const INITIAL_WINDOW: usize = 256;
/// The minimum window, in starts. With answers after 10 ms it allows 3,200 starts
/// a second.
const MIN_WINDOW: usize = 32;
/// The maximum window, in starts.
const MAX_WINDOW: usize = 4_096;
/// The excess delay above which the window shrinks: half of `DISPATCH_OVERHEAD`, as the call, the
/// end and its commit take a part of that as well.
const MAX_EXCESS_DELAY: Duration = Duration::from_millis(25);
/// The excess delay up to which a window that was full grows. Between the two it stays, with a
/// queue that keeps the sender busy.
const GROWTH_EXCESS_DELAY: Duration = Duration::from_millis(12);
/// The window is adapted after answers to this part of it, so that a batch with slow workers only
/// is unlikely and starts that get no answer do not delay it.
const BATCHES_PER_WINDOW: usize = 4;
/// The window follows this quantile of a batch, as one in so many. A queue delays all answers of
/// a batch; slow or silent workers delay a part of them.
const QUANTILE_DIVISOR: usize = 4;

/// The answer to a start, or the lack of one.
#[derive(Clone, Copy, Debug)]
struct StartAnswer<'a> {
    decided_at: Duration,
    /// The data centre of the worker.
    data_centre: &'a str,
    is_from_worker: bool,
}

/// The starts without an answer, and their limit.
#[derive(Clone, Debug)]
pub(crate) struct StartWindow {
    limit: usize,
    unanswered: usize,
    /// The least recent delay of an answer from each data centre. It is the part of the delay
    /// that does not come from a queue; data centres differ in it by their distance.
    least_delays: IndexMap<Box<str>, LeastDelay>,
    /// When the last batch of answers ended. Answers to earlier starts show the earlier window.
    batch_began_at: Duration,
    /// The delays of the answers of this batch above the least ones.
    excess_delays: Vec<Duration>,
    /// Whether the window was full during this batch.
    was_full: bool,
    /// The pools whose last pass ended early since the window was full, and when a
    /// pass over each of them last filled it; zero if none did.
    waiting: IndexMap<Box<str>, Duration>,
}

impl StartWindow {
    pub(crate) fn new() -> StartWindow {
        StartWindow {
            limit: INITIAL_WINDOW,
            unanswered: 0,
            least_delays: IndexMap::new(),
            batch_began_at: Duration::ZERO,
            excess_delays: Vec::new(),
            was_full: false,
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
    fn record_end(&mut self) -> bool {
        let was_full = self.is_full();
        self.was_full |= was_full;
        self.unanswered = self.unanswered.saturating_sub(1);
        was_full
    }

    /// Adds the delay of an answer to the batch, and adapts the window after the last one.
    fn record_delay(&mut self, answer: StartAnswer<'_>, now: Duration) {
        let delay = now.saturating_sub(answer.decided_at);
        let least = self.least_delay(answer, delay, now);
        if answer.decided_at < self.batch_began_at {
            return;
        }
        self.excess_delays.push(delay.saturating_sub(least));
        if self.excess_delays.len() * BATCHES_PER_WINDOW >= self.limit {
            self.adapt();
            self.excess_delays.clear();
            self.was_full = false;
            self.batch_began_at = now;
        }
    }

    /// The least delay of the answer's data centre. An order that was not answered can end
    /// sooner than any answer, so it sets none.
    fn least_delay(&mut self, answer: StartAnswer<'_>, delay: Duration, now: Duration) -> Duration {
        let known = self.least_delays.get_mut(answer.data_centre);
        match known {
            Some(least) => {
                if answer.is_from_worker {
                    least.add(now, delay);
                }
                least.get()
            }
            None if answer.is_from_worker => {
                let least = LeastDelay::new(now, delay);
                self.least_delays.insert(answer.data_centre.into(), least);
                delay
            }
            None => Duration::ZERO,
        }
    }

    fn adapt(&mut self) {
        let at = self.excess_delays.len() / QUANTILE_DIVISOR;
        let (_, excess, _) = self.excess_delays.select_nth_unstable(at);
        let excess = *excess;
        if excess > MAX_EXCESS_DELAY {
            self.shrink(excess);
        } else if excess <= GROWTH_EXCESS_DELAY && self.was_full {
            // Faster than starts to silent workers fill it while half of all workers are silent.
            self.limit = (self.limit + self.limit / 2).min(MAX_WINDOW);
        }
    }

    /// Shrinks the limit in proportion to the delay, at most by half.
    fn shrink(&mut self, excess: Duration) {
        let least = self.limit.div_ceil(2).max(MIN_WINDOW);
        let (target, excess) = (millis(MAX_EXCESS_DELAY), millis(excess).max(1));
        let in_proportion = self.limit as u64 * target / excess;
        self.limit = usize::try_from(in_proportion).map_or(least, |limit| limit.max(least));
    }
}

impl Scheduler {
    /// Records that a start was sent.
    pub(super) fn record_start_sent(&mut self) {
        self.start_window.record_sent();
    }

    /// Records the answer to a start. If the window was full, the pools that wait
    /// for it are scheduled again.
    pub(super) fn record_start_answer(&mut self, order: &TaskOrder, answer: OrderAnswer) {
        let was_full = self.start_window.record_end();
        self.record_start_delay(order, answer);
        if was_full {
            let waiting: Vec<Box<str>> = self.start_window.waiting.keys().cloned().collect();
            for pool in waiting {
                self.request_scheduling(&pool);
            }
        }
    }

    /// Records the delay of the answer, if the start's run is still known as such. A run that a
    /// list of its worker confirmed in the meantime may count from then on.
    fn record_start_delay(&mut self, order: &TaskOrder, answer: OrderAnswer) {
        let attempt = self.attempts.get(&order.task);
        let Some(attempt) =
            attempt.filter(|attempt| attempt.run == order.run && attempt.phase == Phase::Starting)
        else {
            return;
        };
        let answer = StartAnswer {
            decided_at: attempt.started_at,
            data_centre: &self.workers[attempt.worker].record.data_centre,
            is_from_worker: answer.is_from_worker(),
        };
        self.start_window.record_delay(answer, self.now);
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

#[cfg(test)]
mod tests;
