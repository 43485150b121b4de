//! One command at a time, the same on every instance.

use super::World;
use super::config::LogPosition;
use super::targets::PlacementRules;
use crate::{
    Announce, Answer, ApplyConfig, Availability, BeginIncarnation, Command, CommandBody,
    ConfigAnswer, FleetConfig, Phase, TargetAnswer,
};

impl World {
    /// Applies the command at log index `index` and gives its answer. A
    /// command id that was used before gets its first answer again.
    pub fn apply(&mut self, index: u64, command: Command) -> Answer {
        self.now_ms = self.now_ms.max(command.at_ms);
        let Some(id) = command.body.command_id().map(Box::from) else {
            return self.execute(index, command.body);
        };
        if let Some(first) = self.answer_cache.get(&id, self.now_ms) {
            return first;
        }
        let answer = self.execute(index, command.body);
        self.answer_cache.insert(id, answer.clone(), self.now_ms);
        answer
    }

    fn execute(&mut self, index: u64, body: CommandBody) -> Answer {
        match body {
            CommandBody::ClaimKey(claim) => {
                let terms = self.config.fleet.keys;
                return Answer::Key(self.keys.claim(claim, terms, self.now_ms));
            }
            CommandBody::SettleKey(settle) => return Answer::Key(self.keys.settle(settle)),
            CommandBody::BeginIncarnation(begin) => return self.begin_incarnation(begin),
            _ => {}
        }
        // All that follows may concern the request path.
        self.generation += 1;
        match body {
            CommandBody::ApplyConfig(change) => Answer::Config(self.apply_config(change, index)),
            CommandBody::Announce(announce) => Answer::Target(self.announce(announce, index)),
            CommandBody::Withdraw(withdraw) => Answer::Target(self.targets.withdraw(&withdraw)),
            CommandBody::MoveInstance(change) => Answer::Move(self.move_instance(&change, index)),
            CommandBody::AdvanceMove(change) => Answer::Move(self.advance_move(&change, index)),
            CommandBody::StartWave(change) => Answer::Wave(self.start_wave(&change, index)),
            CommandBody::PauseWave(change) => {
                Answer::Wave(self.set_wave_paused(&change.pool, true))
            }
            CommandBody::ResumeWave(change) => {
                Answer::Wave(self.set_wave_paused(&change.pool, false))
            }
            CommandBody::StepInstance(change) => Answer::Wave(self.step_instance(&change, index)),
            CommandBody::ClaimKey(_)
            | CommandBody::SettleKey(_)
            | CommandBody::BeginIncarnation(_) => Answer::Done,
        }
    }

    fn apply_config(&mut self, change: ApplyConfig, index: u64) -> ConfigAnswer {
        let proposal = match self.config.check(&change) {
            Ok(proposal) => proposal,
            Err(refusal) => return refusal,
        };
        if let Err(refusal) = self.check_budgets(&proposal.fleet) {
            return refusal;
        }
        let ms = self.now_ms;
        let at = LogPosition { index, ms };
        let answer = self.config.accept(proposal, change.command_id, at);
        self.reconcile_places(index);
        let rules = PlacementRules {
            fleet: &self.config.fleet,
            places: &self.places,
            waves: &self.waves,
        };
        self.targets.retain_valid(&rules);
        answer
    }

    /// Refuses a budget that holds now and would not hold afterwards. Moves
    /// that the configuration declares wait for room, so they break none.
    fn check_budgets(&self, fleet: &FleetConfig) -> Result<(), ConfigAnswer> {
        for (_, name, pool) in fleet.pools.iter() {
            if !self
                .availability(name)
                .is_some_and(Availability::is_within_budget)
            {
                continue;
            }
            let budget = pool.availability_budget;
            let away = self.away_under(fleet, name);
            if away > budget {
                let pool = name.into();
                return Err(ConfigAnswer::OverBudget { pool, away, budget });
            }
        }
        Ok(())
    }

    /// How many of the pool's present instances would be away under `fleet`.
    /// One that is removed, or whose services are, is no longer promised.
    fn away_under(&self, fleet: &FleetConfig, pool: &str) -> u64 {
        let rules = PlacementRules {
            fleet,
            places: &self.places,
            waves: &self.waves,
        };
        let stays = |instance: &str| fleet.instances.find(instance).is_some();
        let present = self.places_in(pool).map(|(instance, _)| instance);
        let away = present.filter(|instance| {
            stays(instance)
                && (self.is_away(instance) || self.targets.rejects_all_on(instance, &rules))
        });
        away.count() as u64
    }

    fn announce(&mut self, announce: Announce, index: u64) -> TargetAnswer {
        let instance = announce.announcement.instance.clone();
        let rules = PlacementRules {
            fleet: &self.config.fleet,
            places: &self.places,
            waves: &self.waves,
        };
        let answer = self.targets.announce(announce, &rules, index);
        if let TargetAnswer::Announced { .. } = answer
            && let Some(place) = self.places.get_mut(&instance)
            && place.phase == Phase::Joining
        {
            place.enter(Phase::Member, index);
        }
        answer
    }

    fn begin_incarnation(&mut self, begin: BeginIncarnation) -> Answer {
        self.keys
            .end_other_incarnations(&begin.entry, begin.incarnation);
        self.incarnations.insert(begin.entry, begin.incarnation);
        Answer::Done
    }
}
