//! The table of claimed keys, bounded by age and count.

use indexmap::IndexMap;
use indexmap::map::Entry;
use serde::{Deserialize, Serialize};

use super::{Claim, ClaimState, Settlement};

/// The most bytes that all kept answers take together. Above it the oldest
/// are given up, so that a snapshot of the state stays small enough to send;
/// their keys stay, and their requests never run again.
const MAX_ANSWERS_BYTES: usize = 4 << 20;
use crate::{ClaimKey, KeyAnswer, KeyTerms, SettleKey};

/// Every key claimed within the time it is kept.
///
/// A key is stored as `service NUL caller NUL key`, so that callers cannot
/// meet each other's keys. At the bound a new key is refused: forgetting an
/// old one early could let its request run a second time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyTable {
    /// Invariant: in the order of `claimed_at_ms`.
    claims: IndexMap<Box<str>, Claim>,
    /// The bytes of all kept answers. Invariant: at most [`MAX_ANSWERS_BYTES`].
    answers_bytes: usize,
}

impl KeyTable {
    /// The stored form of a key.
    pub fn scoped(service: &str, caller: &str, key: &str) -> Box<str> {
        format!("{service}\0{caller}\0{key}").into()
    }

    /// Claims a key at `now_ms` or says what became of it.
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

    /// Records what came of a claim, if the claim is the settler's.
    pub fn settle(&mut self, settle: SettleKey) -> KeyAnswer {
        let Some(claim) = self.claims.get_mut(&settle.key) else {
            return KeyAnswer::NotHolder;
        };
        let is_holder = matches!(&claim.state, ClaimState::Pending { entry, incarnation, number, .. }
            if *entry == settle.entry
                && *incarnation == settle.incarnation
                && *number == settle.number);
        if !is_holder {
            return KeyAnswer::NotHolder;
        }
        claim.state = ClaimState::Settled(settle.settlement);
        self.answers_bytes += claim.answer_bytes();
        self.evict_oldest_answers();
        KeyAnswer::Settled
    }

    /// What is known of a key without claiming it; `None` if no request under
    /// it can have run.
    pub fn look_up(&self, key: &str, digest: u64) -> Option<KeyAnswer> {
        let claim = self.claims.get(key)?;
        if claim.digest != digest {
            return Some(KeyAnswer::OtherRequest);
        }
        answer_for(&claim.state)
    }

    /// Ends the claims of earlier incarnations of `entry`: nobody knows their outcome.
    pub fn end_other_incarnations(&mut self, entry: &str, incarnation: u64) {
        for claim in self.claims.values_mut() {
            let is_abandoned = matches!(&claim.state, ClaimState::Pending { entry: e, incarnation: i, .. }
                if **e == *entry && *i != incarnation);
            if is_abandoned {
                claim.state = ClaimState::Settled(Settlement::Unknown);
            }
        }
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether none is remembered.
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

/// What a request under a claimed key is told; `None` if the key is free.
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
