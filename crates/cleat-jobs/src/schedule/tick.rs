//! Periodic work: renewals, timeouts, due occurrences, and the removal of old
//! entries.

use super::ready::DirtyPools;
use super::{Effect, Scheduler};
use crate::JobId;
use crate::state::{Command, ControlState};

/// The maximum number of ended jobs that one command removes from the
/// replicated state.
const MAX_FORGOTTEN_PER_COMMAND: usize = 500;

impl Scheduler {
    pub(super) fn tick(&mut self, state: &ControlState, wall_ms: u64) {
        self.wall_ms = wall_ms;
        self.send_renewals();
        self.resend_stops();
        self.activate_due(state);
        self.forget_ended_jobs();
        self.crashed_machines.remove_expired(self.now);
        self.recent_failures.remove_expired(self.now);
        self.propose_stopped_jobs();
        self.update_speeds();
        self.update_fleet_sizes();
        self.manage_machines(state);
        self.rebuild_admission(state);
        self.propose_learned(state);
        // Workers on which starts were paused may accept work again.
        self.dirty_pools = DirtyPools::All;
        self.retry_oldest_parked_steps();
        self.sharing_due = true;
        self.copies_due = self.speculates();
    }

    fn activate_due(&mut self, state: &ControlState) {
        let due = |due_ms: &u64| self.is_due(*due_ms);
        let ready: Vec<(JobId, u32)> = self
            .future_occurrences
            .iter()
            .filter(|(_, due_ms)| due(due_ms))
            .map(|(at, _)| *at)
            .collect();
        for (id, occurrence) in ready {
            self.future_occurrences.swap_remove(&(id, occurrence));
            if let Some(job) = state.jobs.get(&id) {
                self.activate_occurrence(state, id, job, occurrence);
            }
        }
    }

    fn forget_ended_jobs(&mut self) {
        let limit = self.now.saturating_sub(self.cfg.ended_job_retention);
        let mut ids = Vec::new();
        while ids.len() < MAX_FORGOTTEN_PER_COMMAND
            && let Some((_, id)) = self.ended_jobs.pop_front_if(|(since, _)| *since < limit)
        {
            ids.push(id);
        }
        if !ids.is_empty() {
            self.effects.push(Effect::Propose(Command::Forget { ids }));
        }
    }
}
