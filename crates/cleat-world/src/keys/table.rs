//! The table of claimed keys, bounded by age and number.

use indexmap::IndexMap;
use indexmap::map::Entry;
use serde::{Deserialize, Serialize};

use super::{Claim, ClaimState, Settlement};
use crate::{ClaimKey, KeyAnswer, KeyTerms, SettleKey};

/// The maximum total size of the stored answers, in bytes. Above it the oldest answers
/// are evicted, so that a snapshot of the state stays small enough to send. Their keys
/// are retained, so their requests never run again.
const MAX_ANSWERS_BYTES: usize = 4 << 20;

/// All keys that were claimed within the retention time.
///
/// A key is stored as `service NUL caller NUL key`, so that the keys of different
/// callers never collide. A full table refuses new keys: evicting an old key early
/// could let its request run a second time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyTable {
    /// Invariant: in the order of `claimed_at_ms`.
    claims: IndexMap<Box<str>, Claim>,
    /// The total size of the stored answers. Invariant: at most [`MAX_ANSWERS_BYTES`].
    answers_bytes: usize,
}

impl KeyTable {
    /// Returns the stored form of a key.
    pub fn scoped(service: &str, caller: &str, key: &str) -> Box<str> {
        format!("{service}\0{caller}\0{key}").into()
    }

    /// Claims a key at `now_ms`, or returns the state of an existing claim.
    pub fn claim(&mut self, claim: ClaimKey, terms: KeyTerms, now_ms: u64) -> KeyAnswer {
        self.evict_expired(terms, now_ms);
        let full = self.claims.len() as u64 >= terms.max_keys;
        match self.claims.entry(claim.key.clone()) {
            Entry::Occupied(mut entry) => claim_existing(entry.get_mut(), claim, now_ms),
            Entry::Vacant(_) if full => KeyAnswer::Full,
            Entry::Vacant(entry) => {
                entry.insert(Claim {
                    digest: claim.digest,
                    claimed_at_ms: now_ms,
                    state: pending(claim, now_ms),
                });
                KeyAnswer::Granted
            }
        }
    }

    /// Records the outcome of a claim, if the settlement comes from its holder.
    pub fn settle(&mut self, settle: SettleKey) -> KeyAnswer {
        let Some(claim) = self.claims.get_mut(&settle.key) else {
            return KeyAnswer::NotHolder;
        };
        let is_holder = matches!(
            &claim.state,
            ClaimState::Pending { entry, incarnation, number, .. }
                if *entry == settle.entry
                    && *incarnation == settle.incarnation
                    && *number == settle.number
        );
        if !is_holder {
            return KeyAnswer::NotHolder;
        }
        claim.state = ClaimState::Settled(settle.settlement);
        self.answers_bytes += claim.answer_bytes();
        self.evict_oldest_answers();
        KeyAnswer::Settled
    }

    /// Returns the state of a key without claiming it, or `None` if no request under
    /// the key can have run.
    pub fn look_up(&self, key: &str, digest: u64) -> Option<KeyAnswer> {
        let claim = self.claims.get(key)?;
        if claim.digest != digest {
            return Some(KeyAnswer::OtherRequest);
        }
        answer_for(&claim.state)
    }

    /// Settles the pending claims of other incarnations of `entry` as unknown, since
    /// no running process knows their outcome.
    pub fn end_other_incarnations(&mut self, entry: &str, incarnation: u64) {
        for claim in self.claims.values_mut() {
            let is_abandoned = matches!(
                &claim.state,
                ClaimState::Pending { entry: e, incarnation: i, .. }
                    if **e == *entry && *i != incarnation
            );
            if is_abandoned {
                claim.state = ClaimState::Settled(Settlement::Unknown);
            }
        }
    }

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn evict_expired(&mut self, terms: KeyTerms, now_ms: u64) {
        let retention_ms = terms.retention_s * 1_000;
        let live = |claim: &Claim| claim.claimed_at_ms + retention_ms > now_ms;
        let expired = self.claims.values().take_while(|claim| !live(claim));
        let count = expired.count();
        let freed: usize = self
            .claims
            .drain(..count)
            .map(|(_, c)| c.answer_bytes())
            .sum();
        self.answers_bytes -= freed;
    }

    fn evict_oldest_answers(&mut self) {
        let mut claims = self.claims.values_mut();
        while self.answers_bytes > MAX_ANSWERS_BYTES
            && let Some(claim) = claims.next()
        {
            let bytes = claim.answer_bytes();
            if bytes > 0 {
                claim.state = ClaimState::Settled(Settlement::RanAnswerNotKept);
                self.answers_bytes -= bytes;
            }
        }
    }
}

fn pending(claim: ClaimKey, now_ms: u64) -> ClaimState {
    ClaimState::Pending {
        entry: claim.entry,
        incarnation: claim.incarnation,
        number: claim.number,
        until_ms: now_ms + claim.settle_timeout_ms,
    }
}

fn claim_existing(known: &mut Claim, claim: ClaimKey, now_ms: u64) -> KeyAnswer {
    if known.digest != claim.digest {
        return KeyAnswer::OtherRequest;
    }
    match &known.state {
        ClaimState::Pending { until_ms, .. } if now_ms >= *until_ms => {
            known.state = ClaimState::Settled(Settlement::Unknown);
            KeyAnswer::Unknown
        }
        state => match answer_for(state) {
            Some(answer) => answer,
            None => {
                known.state = pending(claim, now_ms);
                KeyAnswer::Granted
            }
        },
    }
}

/// Returns the answer to a request under a claimed key, or `None` if the key may be
/// claimed again.
fn answer_for(state: &ClaimState) -> Option<KeyAnswer> {
    match state {
        ClaimState::Pending { entry, .. } => Some(KeyAnswer::InProgress {
            entry: entry.clone(),
        }),
        ClaimState::Settled(Settlement::Ran(answer)) => Some(KeyAnswer::Ran(answer.clone())),
        ClaimState::Settled(Settlement::RanAnswerNotKept) => Some(KeyAnswer::RanAnswerNotKept),
        ClaimState::Settled(Settlement::Unknown) => Some(KeyAnswer::Unknown),
        ClaimState::Settled(Settlement::NotRun) => None,
    }
}
