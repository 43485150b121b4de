//! Command ids and the answers that their first use got.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Answer;

/// How many command ids are remembered with their answers: more than a day's
/// changes at the size planned for.
const MAX_COMMAND_IDS: usize = 4_096;
/// How long a command id is remembered, in milliseconds: a week.
const COMMAND_ID_RETENTION_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// An answer remembered for a command that is sent again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct CachedAnswer {
    at_ms: u64,
    answer: Answer,
}

/// The ids of commands with their answers, bounded by age and count.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct AnswerCache {
    /// In the order of arrival.
    by_id: IndexMap<Box<str>, CachedAnswer>,
}

impl AnswerCache {
    /// The answer that the first command of this id got.
    pub(super) fn get(&mut self, id: &str, now_ms: u64) -> Option<Answer> {
        self.evict_expired(now_ms);
        self.by_id.get(id).map(|first| first.answer.clone())
    }

    pub(super) fn insert(&mut self, id: Box<str>, answer: Answer, at_ms: u64) {
        self.by_id.insert(id, CachedAnswer { at_ms, answer });
    }

    fn evict_expired(&mut self, now_ms: u64) {
        let values = self.by_id.values();
        let expired = values.take_while(|first| first.at_ms + COMMAND_ID_RETENTION_MS <= now_ms);
        let expired_count = expired.count();
        let excess = self.by_id.len().saturating_sub(MAX_COMMAND_IDS - 1);
        self.by_id.drain(..expired_count.max(excess));
    }
}
