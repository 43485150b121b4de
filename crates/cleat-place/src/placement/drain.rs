//! Workers that have to be empty by a stated time.

use std::time::Duration;

use super::{Placement, Step};
use crate::effect::Cause;
use crate::job::{Job, Phase};
use crate::keys::JobId;
use crate::worker::Presence;

/// What becomes of a task on a worker that is emptied.
enum Fate {
    Stays,
    Checkpoint,
    Stop,
}

impl Placement {
    /// Moves what can't end in time, at most `calls` tasks; what is left just
    /// before the end is stopped in any case.
    pub(super) fn drain(&mut self, calls: usize, step: &mut Step) -> usize {
        if !self.terms.protections.drain {
            return 0;
        }
        let mut made = 0;
        for (id, empty_by) in self.to_be_emptied() {
            match self.fate(id, empty_by, step.now) {
                Fate::Stays => {}
                Fate::Checkpoint if made >= calls => {}
                Fate::Checkpoint => {
                    self.checkpoint(id, Cause::Drain, step);
                    made += 1;
                }
                Fate::Stop => {
                    self.stop(id, Cause::Drain, step);
                    made += 1;
                }
            }
        }
        made
    }

    fn to_be_emptied(&self) -> Vec<(JobId, Duration)> {
        let workers = self.workers.iter().filter_map(|(_, worker)| {
            let empty_by = match worker.presence {
                Presence::Cordoned(empty_by) => empty_by?,
                Presence::Withdrawn(empty_by) => empty_by,
                Presence::Up | Presence::Down => return None,
            };
            Some((worker, empty_by))
        });
        let tasks = workers.flat_map(|(worker, by)| worker.tasks.iter().map(move |id| (*id, by)));
        tasks.collect()
    }

    fn fate(&self, id: JobId, empty_by: Duration, now: Duration) -> Fate {
        let Some(job) = self.jobs.get(id) else {
            return Fate::Stays;
        };
        let Some(task) = job.task().filter(|task| !task.phase.is_leaving()) else {
            return Fate::Stays;
        };
        let margin = self.terms.stop_before_empty;
        if now + margin >= empty_by {
            return Fate::Stop;
        }
        let movable = job.checkpointable && task.phase == Phase::Running;
        if movable && now + self.time_left(job, now) + 2 * margin >= empty_by {
            return Fate::Checkpoint;
        }
        Fate::Stays
    }

    /// How long the job's task still runs, if its team is right.
    fn time_left(&self, job: &Job, now: Duration) -> Duration {
        let since = job.task().map_or(now, |task| task.since);
        let ran = job.saved + now.saturating_sub(since);
        job.expected_run.saturating_sub(ran)
    }
}
