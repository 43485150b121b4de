//! A platform in memory: each token's effect happens once.

use std::time::Duration;

use cleat_maintain::{Action, Report, Token};
use indexmap::IndexMap;

const DRAIN_TIME: Duration = Duration::from_secs(2);
const REBOOT_TIME: Duration = Duration::from_secs(4);

#[derive(Default)]
pub(crate) struct FakePlatform {
    /// When the effect of each token began.
    begun: IndexMap<Token, Duration>,
    /// Instances that never come back from a reboot.
    pub(crate) broken: Vec<Box<str>>,
}

impl FakePlatform {
    /// Takes a request; says whether its effect began just now.
    pub(crate) fn act(&mut self, token: &Token, now: Duration) -> (Report, bool) {
        let new = !self.begun.contains_key(token);
        let begun = *self.begun.entry(token.clone()).or_insert(now);
        let time = match token.action {
            Action::Drain => DRAIN_TIME,
            Action::Reboot => REBOOT_TIME,
        };
        let report = match now >= begun + time {
            true if self.broken.contains(&token.instance) => Report::Failed,
            true => Report::Done,
            false => Report::Running,
        };
        (report, new)
    }

    /// Whether the instance is down for a reboot.
    pub(crate) fn reboots(&self, instance: &str, now: Duration) -> bool {
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
