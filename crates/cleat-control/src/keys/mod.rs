//! What a gateway does about the keys that its callers carry.
//!
//! The leader says whose a key is, with the call that carries it: a gateway has
//! no copy of the customers that could be older than a change which others have
//! seen. The load that this answers is a flood of keys that nobody has: sent on, each
//! call would cost the leader as much as one of a customer. So a gateway remembers
//! for a moment which keys the leader did not know, and sends only so many new ones
//! a second: of 100,000 in ten seconds 800 at most (counted by the test of a flood).
//! Keys that the leader knew lately are never held up by that.

mod refusals;
#[cfg(test)]
mod tests;

pub(crate) use refusals::Refusals;

use std::time::Duration;

use cleat_jobs::KeyDigest;
use cleat_link::{ControlReply, ShownKey};
use indexmap::{IndexMap, IndexSet};

/// How long an unknown key is refused without asking again. A key that comes into
/// force is refused for no longer; well below the quarter of a second within which
/// a caller may turn from a gateway that has seen a change to one that has not.
const MISS_REMEMBERED: Duration = Duration::from_millis(100);
/// How many new keys a second a gateway sends on; a fleet of 150 customers has
/// changes to 2,600 keys a day.
const NEW_KEYS_PER_SECOND: f64 = 50.0;
/// How many new keys a gateway may send on at once: all those of 150 customers,
/// two each, as after a start.
const NEW_KEYS_AT_ONCE: f64 = 300.0;
/// How many keys are remembered as known: those of ten times as many customers.
const KNOWN_KEYS: usize = 3_000;
/// How many unknown keys are remembered: those that can be sent on meanwhile.
const MISSES: usize = 400;

/// What is to be done with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The leader is asked.
    Ask,
    /// The leader said just now that nobody has this key.
    Unknown,
    /// Too many new keys came; whether somebody has this one is not known.
    TooMany,
}

/// What a gateway remembers of keys.
#[derive(Debug)]
pub(crate) struct KeyGuard {
    /// Keys that the leader knew when it was asked last, in no order.
    known: IndexSet<KeyDigest>,
    /// When the leader last did not know a key, oldest first.
    misses: IndexMap<ShownKey, Duration>,
    /// How many new keys may be sent on.
    budget: f64,
    /// When the budget was last added to.
    refilled: Duration,
}

impl KeyGuard {
    pub(crate) fn new(now: Duration) -> KeyGuard {
        KeyGuard {
            known: IndexSet::new(),
            misses: IndexMap::new(),
            budget: NEW_KEYS_AT_ONCE,
            refilled: now,
        }
    }

    /// What to do with a call that shows a key.
    pub(crate) fn judge(&mut self, shown: &ShownKey, now: Duration) -> Verdict {
        if self.known.contains(&shown.key) {
            return Verdict::Ask;
        }
        let missed = self.misses.get(shown);
        if missed.is_some_and(|at| now < *at + MISS_REMEMBERED) {
            return Verdict::Unknown;
        }
        self.refill(now);
        if self.budget < 1.0 {
            return Verdict::TooMany;
        }
        self.budget -= 1.0;
        Verdict::Ask
    }

    /// Learns from the leader's answer. `asked_at` is when the call was sent: a
    /// miss counts from then, as the leader may have looked that long ago.
    pub(crate) fn learn(&mut self, shown: &ShownKey, reply: &ControlReply, asked_at: Duration) {
        match reply {
            ControlReply::UnknownKey => self.note_miss(shown, asked_at),
            // Told before the key is looked at.
            ControlReply::NoSuchQueue | ControlReply::NoConfiguration => {}
            _ => self.note_known(shown.key),
        }
    }

    fn note_miss(&mut self, shown: &ShownKey, asked_at: Duration) {
        self.known.swap_remove(&shown.key);
        self.misses.shift_remove(shown);
        if self.misses.len() >= MISSES {
            self.misses.shift_remove_index(0);
        }
        self.misses.insert(shown.clone(), asked_at);
    }

    fn note_known(&mut self, key: KeyDigest) {
        if self.known.len() >= KNOWN_KEYS && !self.known.contains(&key) {
            self.known.swap_remove_index(0);
        }
        self.known.insert(key);
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.budget = (self.budget + passed * NEW_KEYS_PER_SECOND).min(NEW_KEYS_AT_ONCE);
    }
}
