//! Protects the leader from floods of calls with unknown API keys.
//!
//! The leader resolves the API key of each call: a gateway has no copy of the
//! customers, as a copy could be older than a change that others have already
//! seen. A forwarded call with an unknown key costs the leader as much as a call of
//! a customer. A gateway therefore caches for a short time which keys the leader did
//! not know, and limits the rate of keys that it has not seen before: of 100,000 new
//! keys in ten seconds it forwards 800 at most (checked by the test of a flood).
//! Keys that the leader knew recently are not limited.

mod refusal_log;
#[cfg(test)]
mod tests;

pub(crate) use refusal_log::RefusalLog;

use std::time::Duration;

use cleat_jobs::KeyDigest;
use cleat_link::{ControlReply, ShownKey};
use indexmap::{IndexMap, IndexSet};

/// How long an unknown key is refused without asking the leader again, and thus how
/// long a newly added key may still be refused. Well below the quarter of a second
/// within which a caller may switch from a gateway that has seen a change to one
/// that has not.
const UNKNOWN_KEY_TTL: Duration = Duration::from_millis(100);
/// The rate at which a gateway forwards new keys. A fleet of 150 customers changes
/// 2,600 keys a day.
const NEW_KEYS_PER_SECOND: f64 = 50.0;
/// The number of new keys that a gateway may forward in a burst: after a start, all
/// keys of 150 customers with two keys each are new.
const NEW_KEY_BURST: f64 = 300.0;
/// The maximum number of cached known keys: the keys of ten times as many customers.
const MAX_KNOWN_KEYS: usize = 3_000;
/// The maximum number of cached unknown keys: more than can be forwarded before the
/// first one expires.
const MAX_UNKNOWN_KEYS: usize = 400;

/// How a call with an API key is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The call is forwarded to the leader.
    Forward,
    /// The call is refused: the leader recently did not know the key.
    Unknown,
    /// The call is refused: the rate limit for new keys is exceeded. Whether a customer
    /// has this key was not checked.
    TooMany,
}

/// Caches which API keys the leader knows, and limits the rate of new ones.
#[derive(Debug)]
pub(crate) struct KeyFilter {
    /// Keys that the leader knew when it was last asked, in no particular order.
    known: IndexSet<KeyDigest>,
    /// Keys that the leader did not know, with the time of the call, oldest first.
    unknown: IndexMap<ShownKey, Duration>,
    /// How many new keys may be forwarded now (token bucket).
    new_key_tokens: f64,
    /// When tokens were last added.
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

    /// Decides how to handle a call with this key.
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

    /// Records what the leader's reply says about the key. `asked_at` is when the call
    /// was sent: an unknown key is cached from then on, as the leader may have looked it
    /// up that early.
    pub(crate) fn record_reply(
        &mut self,
        shown: &ShownKey,
        reply: &ControlReply,
        asked_at: Duration,
    ) {
        match reply {
            ControlReply::UnknownKey => self.record_unknown(shown, asked_at),
            // The leader returns these before it looks up the key.
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
