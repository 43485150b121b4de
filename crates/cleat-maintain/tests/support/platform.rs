//! An in-memory platform that runs the action of each token once.

use std::time::Duration;

use cleat_maintain::{Action, ActionState, ActionToken};
use indexmap::IndexMap;

const DRAIN_TIME: Duration = Duration::from_secs(2);
const REBOOT_TIME: Duration = Duration::from_secs(4);

#[derive(Default)]
pub(crate) struct FakePlatform {
    /// When the action of each token began.
    begun: IndexMap<ActionToken, Duration>,
    /// Instances that do not come back from a reboot.
    pub(crate) broken: Vec<Box<str>>,
}

impl FakePlatform {
    /// Handles a call. Returns the state of the action and whether it began with this
    /// call.
    pub(crate) fn run_action(&mut self, token: &ActionToken, now: Duration) -> (ActionState, bool) {
        let new = !self.begun.contains_key(token);
        let begun = *self.begun.entry(token.clone()).or_insert(now);
        let time = match token.action {
            Action::Drain => DRAIN_TIME,
            Action::Reboot => REBOOT_TIME,
        };
        let state = match now >= begun + time {
            true if self.broken.contains(&token.instance) => ActionState::Failed,
            true => ActionState::Done,
            false => ActionState::Running,
        };
        (state, new)
    }

    /// Whether the instance is down for a reboot.
    pub(crate) fn is_rebooting(&self, instance: &str, now: Duration) -> bool {
        self.begun.iter().any(|(token, begun)| {
            let here = &*token.instance == instance && token.action == Action::Reboot;
            here && now < *begun + REBOOT_TIME
        })
    }

    pub(crate) fn reboot_count(&self) -> u64 {
        let reboots = self.begun.keys();
        reboots
            .filter(|token| token.action == Action::Reboot)
            .count() as u64
    }
}
