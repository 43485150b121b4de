//! A team: its quota, what it holds, and its queue.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::keys::{ClassId, JobId};
use crate::size::Size;

/// A team that names more classes than this shares the last one among them.
const CLASSES_MAX: usize = 64;

#[derive(Debug, Clone, Default)]
pub(crate) struct Team {
    pub(crate) quota: Option<Size>,
    /// Invariant: the sum of the sizes of the team's tasks.
    pub(crate) used: Size,
    /// Invariant: the part of `used` that is leaving.
    pub(crate) releasing: Size,
    /// Invariant: the sum of the claims of the team's jobs.
    pub(crate) claimed: Size,
    /// Normal jobs that wait, first come first; may hold jobs that no longer do.
    pub(crate) queue: VecDeque<JobId>,
    pub(crate) classes: IndexMap<Box<str>, ClassId>,
}

impl Team {
    /// The class called `name`, or a free name for a new one.
    pub(crate) fn class(&self, name: &str) -> Option<ClassId> {
        if let Some(class) = self.classes.get(name) {
            return Some(*class);
        }
        if self.classes.len() < CLASSES_MAX {
            return None;
        }
        self.classes.last().map(|(_, class)| *class)
    }

    /// Whether `size` more stays within the quota, beside `held`.
    pub(crate) fn allows(&self, size: Size, held: Size) -> bool {
        self.quota.is_none_or(|quota| size.plus(held).fits(quota))
    }

    pub(crate) fn bytes(&self) -> usize {
        let queue = self.queue.capacity() * size_of::<JobId>();
        let class = size_of::<(Box<str>, ClassId, usize)>();
        size_of::<Team>() + queue + self.classes.len() * class
    }
}
