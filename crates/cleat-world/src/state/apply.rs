//! One command at a time, the same on every instance.

use super::World;
use crate::{Answer, ApplyConfig, BeginLife, Command, CommandBody, ConfigAnswer};

impl World {
    /// Applies the command at log index `index` and gives its answer.
    pub fn apply(&mut self, index: u64, command: Command) -> Answer {
        self.now_ms = self.now_ms.max(command.at_ms);
        match command.body {
            CommandBody::ApplyConfig(change) => Answer::Config(self.apply_config(change)),
            CommandBody::Announce(announce) => {
                let fleet = &self.config.fleet;
                Answer::Target(self.targets.announce(announce, fleet, index))
            }
            CommandBody::Withdraw(withdraw) => Answer::Target(self.targets.withdraw(&withdraw)),
            CommandBody::ClaimKey(claim) => {
                let terms = self.config.fleet.keys;
                Answer::Key(self.keys.claim(claim, terms, self.now_ms))
            }
            CommandBody::SettleKey(settle) => Answer::Key(self.keys.settle(settle)),
            CommandBody::BeginLife(begin) => self.begin_life(begin),
        }
    }

    fn apply_config(&mut self, change: ApplyConfig) -> ConfigAnswer {
        let before = self.config.version;
        let answer = self.config.apply(change, self.now_ms);
        if self.config.version != before {
            self.targets.keep_valid(&self.config.fleet);
        }
        answer
    }

    fn begin_life(&mut self, begin: BeginLife) -> Answer {
        self.keys.end_other_lives(&begin.entry, begin.life);
        self.lives.insert(begin.entry, begin.life);
        Answer::Done
    }
}
