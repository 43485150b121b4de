//! Command ids and the answers that their first use got.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Answer;

/// How many command ids are remembered with their answers: more than a day's
/// changes at the size planned for.
const COMMAND_IDS: usize = 4_096;
/// How long a command id is remembered, in milliseconds: a week.
const COMMAND_ID_AGE_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// An answer remembered for a command that is sent again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Remembered {
    at_ms: u64,
    answer: Answer,
}

/// The ids of commands with their answers, bounded by age and count.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Memory {
    /// In the order of arrival.
    by_id: IndexMap<Box<str>, Remembered>,
}

impl Memory {
    /// The answer that the first command of this id got.
    pub(super) fn recall(&mut self, id: &str, now_ms: u64) -> Option<Answer> {
        self.forget_old(now_ms);
        self.by_id.get(id).map(|first| first.answer.clone())
    }

    pub(super) fn keep(&mut self, id: Box<str>, answer: Answer, at_ms: u64) {
        self.by_id.insert(id, Remembered { at_ms, answer });
    }

    fn forget_old(&mut self, now_ms: u64) {
        let values = self.by_id.values();
        let old = values.take_while(|first| first.at_ms + COMMAND_ID_AGE_MS <= now_ms);
        let too_old = old.count();
        let too_many = self.by_id.len().saturating_sub(COMMAND_IDS - 1);
        self.by_id.drain(..too_old.max(too_many));
    }
}
