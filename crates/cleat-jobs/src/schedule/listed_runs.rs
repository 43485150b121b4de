//! The runs and ends in a worker's answer to a renewal.

use super::event::RenewalAnswer;
use crate::collections::IndexSet;
use crate::{Run, TaskId};

/// The number of runs and ends up to which a scan of the answer takes less time than
/// building a set of them.
const MAX_SCANNED: usize = 32;

/// Which runs a worker listed, in progress or ended.
pub(super) struct ListedRuns<'a> {
    answer: &'a RenewalAnswer,
    /// The listed runs, if they are too many for a scan.
    set: Option<IndexSet<(TaskId, Run)>>,
}

impl<'a> ListedRuns<'a> {
    pub(super) fn new(answer: &'a RenewalAnswer) -> ListedRuns<'a> {
        let is_long = answer.running.len() + answer.ended.len() > MAX_SCANNED;
        ListedRuns {
            answer,
            set: is_long.then(|| all_runs(answer).collect()),
        }
    }

    /// Whether a run is listed, in progress or ended.
    pub(super) fn contains(&self, task: TaskId, run: Run) -> bool {
        match &self.set {
            Some(set) => set.contains(&(task, run)),
            None => all_runs(self.answer).any(|listed| listed == (task, run)),
        }
    }
}

fn all_runs(answer: &RenewalAnswer) -> impl Iterator<Item = (TaskId, Run)> {
    let running = answer.running.iter();
    let running = running.map(|listed| (listed.task, listed.run));
    let ended = answer.ended.iter();
    let ended = ended.map(|listed| (listed.end.task, listed.end.run));
    running.chain(ended)
}
