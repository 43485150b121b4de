//! Normal jobs: the team with the smallest dominant share goes first.

use super::{Placement, Step};
use crate::estimate::Class;
use crate::job::{Job, WaitReason};
use crate::keys::{JobId, TeamId, WorkerId};
use crate::size::{Share, Size};

/// What one pass over the queues has found so far.
#[derive(Default)]
pub(super) struct Pass {
    /// Teams that may still start something.
    open: Vec<Turn>,
    /// Sizes for which no worker has room. Room only shrinks during a pass, so
    /// nothing as large fits either.
    misfits: Vec<Size>,
    /// The first job that found no room.
    pub(super) blocked: Option<JobId>,
}

struct Turn {
    team: TeamId,
    /// How many jobs at the head of the queue were tried in vain.
    tried: usize,
}

enum Try {
    Start(JobId, WorkerId, Size),
    InVain,
    Empty,
}

impl Placement {
    /// Starts at most `calls` normal jobs.
    pub(super) fn serve_normal(&mut self, calls: usize, step: &mut Step) -> Pass {
        let mut pass = Pass {
            open: self.turns(),
            ..Pass::default()
        };
        let mut started = 0;
        while started < calls {
            let Some(index) = self.next_turn(&pass.open) else {
                break;
            };
            let turn = &pass.open[index];
            let (team, tried) = (turn.team, turn.tried);
            match self.try_one(team, tried, &mut pass, step) {
                Try::Start(job, worker, size) => {
                    self.start(job, worker, size, step);
                    started += 1;
                }
                Try::InVain => pass.open[index].tried += 1,
                Try::Empty => {
                    pass.open.swap_remove(index);
                }
            }
        }
        pass
    }

    fn turns(&self) -> Vec<Turn> {
        let teams = (0u32..).zip(self.teams.values());
        let waiting = teams.filter(|(_, team)| !team.queue.is_empty());
        let turns = waiting.map(|(index, _)| Turn {
            team: TeamId(index),
            tried: 0,
        });
        turns.collect()
    }

    fn next_turn(&self, open: &[Turn]) -> Option<usize> {
        if !self.terms.protections.fairness {
            return (!open.is_empty()).then_some(0);
        }
        let share = |index: &usize| self.share_of(open[*index].team);
        (0..open.len()).min_by_key(share)
    }

    fn share_of(&self, team: TeamId) -> Share {
        let held = self.team_of(team).map(|t| t.used.plus(t.claimed));
        held.map_or(0, |held| held.dominant_share(self.total))
    }

    /// Tries the job at position `at` of the team's queue.
    fn try_one(&mut self, team: TeamId, at: usize, pass: &mut Pass, step: &Step) -> Try {
        if at >= self.terms.tried_per_team {
            return Try::Empty;
        }
        let Some(id) = self.ready_at(team, at) else {
            return Try::Empty;
        };
        if !self.may_probe(id) {
            self.set_reason(id, WaitReason::Probe);
            return Try::InVain;
        }
        let size = self.needed_at_first(id, step.now);
        if !self.allows_now(team, size) {
            self.set_reason(id, WaitReason::Quota);
            return Try::InVain;
        }
        let known = pass.misfits.iter().any(|misfit| misfit.fits(size));
        let worker = if known {
            None
        } else {
            self.choose(id, size, step.now)
        };
        if let Some(worker) = worker {
            if let Some(team) = self.team_of_mut(team) {
                team.queue.remove(at);
            }
            return Try::Start(id, worker, size);
        }
        self.set_reason(id, WaitReason::Capacity);
        self.note_misfit(id, size, known, pass, step);
        Try::InVain
    }

    /// Whether enough is known of the job's class for one more task.
    fn may_probe(&self, id: JobId) -> bool {
        let class = self.jobs.get(id).and_then(|job| self.class(job.class));
        !self.terms.protections.probing || class.is_some_and(Class::may_start)
    }

    fn note_misfit(&self, id: JobId, size: Size, known: bool, pass: &mut Pass, step: &Step) {
        pass.blocked.get_or_insert(id);
        if !known && self.avoided(id, step.now).is_empty() {
            pass.misfits.push(size);
        }
    }

    /// The job at position `at`, dropping entries that no longer wait.
    fn ready_at(&mut self, team: TeamId, at: usize) -> Option<JobId> {
        loop {
            let id = *self.team_of(team)?.queue.get(at)?;
            if self.jobs.get(id).is_some_and(Job::is_ready) {
                return Some(id);
            }
            self.team_of_mut(team)?.queue.remove(at);
        }
    }
}
