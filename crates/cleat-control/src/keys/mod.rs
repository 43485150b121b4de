//! What a gateway does about the keys that its callers carry.
//!
//! The leader says whose a key is, with the call that carries it: a gateway has
//! no copy of the customers that could be older than a change which others have
//! seen. The load that this answers is a flood of keys that nobody has: sent on, each
//! call would cost the leader as much as one of a customer. So a gateway remembers
//! for a moment which keys the leader did not know, and sends only so many new ones
//! a second: of 100,000 in ten seconds 800 at most (counted by the test of a flood).
//! Keys that the leader knew lately are never held up by that.

mod refusal_log;
#[cfg(test)]
mod tests;

pub(crate) use refusal_log::RefusalLog;

use std::time::Duration;

use cleat_jobs::KeyDigest;
use cleat_link::{ControlReply, ShownKey};
use indexmap::{IndexMap, IndexSet};

/// How long an unknown key is refused without asking again. A key that comes into
/// force is refused for no longer; well below the quarter of a second within which
/// a caller may turn from a gateway that has seen a change to one that has not.
const UNKNOWN_KEY_TTL: Duration = Duration::from_millis(100);
/// How many new keys a second a gateway sends on; a fleet of 150 customers has
/// changes to 2,600 keys a day.
const NEW_KEYS_PER_SECOND: f64 = 50.0;
/// How many new keys a gateway may send on at once: all those of 150 customers,
/// two each, as after a start.
const NEW_KEY_BURST: f64 = 300.0;
/// How many keys are remembered as known: those of ten times as many customers.
const MAX_KNOWN_KEYS: usize = 3_000;
/// How many unknown keys are remembered: those that can be sent on meanwhile.
const MAX_UNKNOWN_KEYS: usize = 400;

/// What is to be done with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The leader is asked.
    Forward,
    /// The leader said just now that nobody has this key.
    Unknown,
    /// Too many new keys came; whether somebody has this one is not known.
    TooMany,
}

/// What a gateway remembers of keys.
#[derive(Debug)]
pub(crate) struct KeyFilter {
    /// Keys that the leader knew when it was asked last, in no order.
    known: IndexSet<KeyDigest>,
    /// When the leader last did not know a key, oldest first.
    unknown: IndexMap<ShownKey, Duration>,
    /// How many new keys may be sent on.
    new_key_tokens: f64,
    /// When the new_key_tokens was last added to.
    refilled_at: Duration,
}

impl KeyFilter {
    pub(crate) fn new(now: Duration) -> KeyFilter {
        KeyFilter {
            known: IndexSet::new(),
            unknown: IndexMap::new(),
            new_key_tokens: NEW_KEY_BURST,
            refilled_at: now,
        }
    }

    /// What to do with a call that shows a key.
    pub(crate) fn check(&mut self, shown: &ShownKey, now: Duration) -> Verdict {
        if self.known.contains(&shown.key) {
            return Verdict::Forward;
        }
        let unknown_since = self.unknown.get(shown);
        if unknown_since.is_some_and(|at| now < *at + UNKNOWN_KEY_TTL) {
            return Verdict::Unknown;
        }
        self.refill(now);
        if self.new_key_tokens < 1.0 {
            return Verdict::TooMany;
        }
        self.new_key_tokens -= 1.0;
        Verdict::Forward
    }

    /// Learns from the leader's answer. `asked_at` is when the call was sent: a
    /// miss counts from then, as the leader may have looked that long ago.
    pub(crate) fn record_reply(
        &mut self,
        shown: &ShownKey,
        reply: &ControlReply,
        asked_at: Duration,
    ) {
        match reply {
            ControlReply::UnknownKey => self.record_unknown(shown, asked_at),
            // Told before the key is looked at.
            ControlReply::NoSuchQueue | ControlReply::NoConfiguration => {}
            _ => self.record_known(shown.key),
        }
    }

    fn record_unknown(&mut self, shown: &ShownKey, asked_at: Duration) {
        self.known.swap_remove(&shown.key);
        self.unknown.shift_remove(shown);
        if self.unknown.len() >= MAX_UNKNOWN_KEYS {
            self.unknown.shift_remove_index(0);
        }
        self.unknown.insert(shown.clone(), asked_at);
    }

    fn record_known(&mut self, key: KeyDigest) {
        if self.known.len() >= MAX_KNOWN_KEYS && !self.known.contains(&key) {
            self.known.swap_remove_index(0);
        }
        self.known.insert(key);
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.new_key_tokens =
            (self.new_key_tokens + passed * NEW_KEYS_PER_SECOND).min(NEW_KEY_BURST);
    }
}
