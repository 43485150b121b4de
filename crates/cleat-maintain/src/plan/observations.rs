//! What this leader has observed of the instances that move or are maintained.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ActionState;

/// An instance in one step or phase. Times are on this leader's clock, so a new
/// leader starts its waits again: they may be longer than needed, never shorter.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    /// When the leader first saw the step or phase.
    pub(super) since: Duration,
    /// When the leader first knew that the step or phase is in force: every entry that
    /// may accept requests has applied it.
    pub(super) in_force_at: Option<Duration>,
    /// The state of the action that the platform reported last.
    pub(super) action_state: Option<ActionState>,
    /// Since when the instance has had an announced target without interruption.
    pub(super) serving_since: Option<Duration>,
}

/// The observations, by instance name and by the log index of the step or phase:
/// an instance may be in a wave and in a move at the same time.
#[derive(Debug, Default)]
pub(super) struct Observations {
    by_epoch: IndexMap<(Box<str>, u64), Observation>,
}

impl Observations {
    /// The observation of an instance in the step or phase that began at the log
    /// index `epoch`; starts one if there is none.
    pub(super) fn get_or_insert(
        &mut self,
        instance: &str,
        epoch: u64,
        now: Duration,
    ) -> &mut Observation {
        let new = Observation {
            since: now,
            in_force_at: None,
            action_state: None,
            serving_since: None,
        };
        let key = (instance.into(), epoch);
        self.by_epoch.entry(key).or_insert(new)
    }

    /// Records that every entry that may accept requests has applied the log up to
    /// `index`.
    pub(super) fn record_in_force(&mut self, index: u64, now: Duration) {
        let all = self.by_epoch.iter_mut();
        for (_, observation) in all.filter(|((_, epoch), _)| *epoch <= index) {
            observation.in_force_at.get_or_insert(now);
        }
    }

    /// Records the state of an action. A state that arrives after its step ended is
    /// ignored.
    pub(super) fn record_action_state(&mut self, instance: &str, epoch: u64, state: ActionState) {
        if let Some(observation) = self.by_epoch.get_mut(&(instance.into(), epoch)) {
            observation.action_state = Some(state);
        }
    }

    /// Removes the observations for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&str, u64) -> bool) {
        self.by_epoch.retain(|(name, epoch), _| keep(name, *epoch));
    }
}
