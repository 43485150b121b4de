//! One command at a time, the same on every instance.

use super::World;
use super::config::Moment;
use crate::{Answer, ApplyConfig, BeginLife, Command, CommandBody, ConfigAnswer};

impl World {
    /// Applies the command at log index `index` and gives its answer.
    pub fn apply(&mut self, index: u64, command: Command) -> Answer {
        self.now_ms = self.now_ms.max(command.at_ms);
        match command.body {
            CommandBody::ApplyConfig(change) => Answer::Config(self.apply_config(change, index)),
            CommandBody::Announce(announce) => {
                self.generation += 1;
                let fleet = &self.config.fleet;
                Answer::Target(self.targets.announce(announce, fleet, index))
            }
            CommandBody::Withdraw(withdraw) => {
                self.generation += 1;
                Answer::Target(self.targets.withdraw(&withdraw))
            }
            CommandBody::ClaimKey(claim) => {
                let terms = self.config.fleet.keys;
                Answer::Key(self.keys.claim(claim, terms, self.now_ms))
            }
            CommandBody::SettleKey(settle) => Answer::Key(self.keys.settle(settle)),
            CommandBody::BeginLife(begin) => self.begin_life(begin),
        }
    }

    fn apply_config(&mut self, change: ApplyConfig, index: u64) -> ConfigAnswer {
        let before = self.config.version;
        let ms = self.now_ms;
        let answer = self.config.apply(change, Moment { index, ms });
        if self.config.version != before {
            self.generation += 1;
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
