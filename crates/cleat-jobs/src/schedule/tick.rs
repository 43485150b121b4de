//! What time alone brings.

use super::ready::Unsettled;
use super::{Effect, Scheduler};
use crate::JobId;
use crate::state::{Command, ControlState};

/// How many jobs are forgotten by one command.
const FORGET_AT_ONCE: usize = 500;

impl Scheduler {
    pub(super) fn tick(&mut self, state: &ControlState, wall_ms: u64) {
        self.wall_ms = wall_ms;
        self.send_renewals();
        self.watch_workers(state);
        self.repeat_stops();
        self.start_due(state);
        self.forget_old();
        self.crashed_machines.forget(self.now);
        self.propose_stopped_jobs(state);
        self.manage_machines(state);
        // Pauses may have ended.
        self.unsettled = Unsettled::All;
    }

    fn start_due(&mut self, state: &ControlState) {
        let due = |due_ms: &u64| self.is_due(*due_ms);
        let ready: Vec<(JobId, u32)> = self
            .timed
            .iter()
            .filter(|(_, due_ms)| due(due_ms))
            .map(|(at, _)| *at)
            .collect();
        for (id, occurrence) in ready {
            self.timed.swap_remove(&(id, occurrence));
            if let Some(job) = state.jobs.get(&id) {
                self.activate_occurrence(state, id, job, occurrence);
            }
        }
    }

    fn forget_old(&mut self) {
        let limit = self.now.saturating_sub(self.cfg.ended_job_retention);
        let mut ids = Vec::new();
        while ids.len() < FORGET_AT_ONCE
            && let Some((_, id)) = self.over.pop_front_if(|(since, _)| *since < limit)
        {
            ids.push(id);
        }
        if !ids.is_empty() {
            self.effects.push(Effect::Propose(Command::Forget { ids }));
        }
    }
}
