//! What this leader has seen of the instances under way.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ActionState;

/// One instance in one step or phase. Times are this leader's own, so a new
/// leader waits anew: longer than needed, never shorter.
#[derive(Debug, Clone, Copy)]
pub(super) struct Watch {
    /// When it was first seen.
    pub(super) since: Duration,
    /// When it was first known to be in force wherever requests are taken.
    pub(super) in_force_at: Option<Duration>,
    /// What the platform last said of its effect.
    pub(super) action_state: Option<ActionState>,
    /// Since when a target has been announced without a break.
    pub(super) serving_since: Option<Duration>,
}

/// The watched instances by name and by the log index of the step or phase
/// that is watched: an instance may be in both a wave and a move.
#[derive(Debug, Default)]
pub(super) struct Watches {
    by_epoch: IndexMap<(Box<str>, u64), Watch>,
}

impl Watches {
    /// The watch over an instance in the step that began at `epoch`.
    pub(super) fn over(&mut self, instance: &str, epoch: u64, now: Duration) -> &mut Watch {
        let new = Watch {
            since: now,
            in_force_at: None,
            action_state: None,
            serving_since: None,
        };
        let key = (instance.into(), epoch);
        self.by_epoch.entry(key).or_insert(new)
    }

    /// Everything up to `index` is in force.
    pub(super) fn record_in_force(&mut self, index: u64, now: Duration) {
        let all = self.by_epoch.iter_mut();
        for (_, watch) in all.filter(|((_, epoch), _)| *epoch <= index) {
            watch.in_force_at.get_or_insert(now);
        }
    }

    /// The platform's report on an effect; a late one is ignored.
    pub(super) fn record_action_state(&mut self, instance: &str, epoch: u64, state: ActionState) {
        if let Some(watch) = self.by_epoch.get_mut(&(instance.into(), epoch)) {
            watch.action_state = Some(state);
        }
    }

    /// Forgets the instances and steps that `keep` does not name.
    pub(super) fn retain(&mut self, keep: impl Fn(&str, u64) -> bool) {
        self.by_epoch.retain(|(name, epoch), _| keep(name, *epoch));
    }
}
