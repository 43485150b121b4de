//! Maintenance waves.

use indexmap::IndexMap;

use super::World;
use crate::{Phase, StartWave, Step, StepInstance, StepState, Wave, WaveAnswer};

impl World {
    /// Starts a wave over all instances that the pool has now.
    pub(super) fn start_wave(&mut self, change: &StartWave, index: u64) -> WaveAnswer {
        if self.config.fleet.pools.find(&change.pool).is_none() {
            return WaveAnswer::UnknownPool;
        }
        if self.config.fleet.platform.is_none() {
            return WaveAnswer::NoPlatform;
        }
        let running = self.waves.get(&change.pool);
        if let Some(wave) = running.filter(|wave| !wave.has_ended()) {
            return WaveAnswer::InProgress { wave: wave.id };
        }
        let waiting = StepState {
            step: Step::Waiting,
            epoch: index,
        };
        let places = self.places_in(&change.pool);
        let instances: IndexMap<_, _> = places.map(|(name, _)| (name.into(), waiting)).collect();
        let wave = Wave {
            id: index,
            paused: false,
            instances,
        };
        self.waves.insert(change.pool.clone(), wave);
        WaveAnswer::Started { wave: index }
    }

    pub(super) fn set_wave_paused(&mut self, pool: &str, paused: bool) -> WaveAnswer {
        if self.config.fleet.pools.find(pool).is_none() {
            return WaveAnswer::UnknownPool;
        }
        let wave = self.waves.get_mut(pool).filter(|wave| !wave.has_ended());
        let Some(wave) = wave else {
            return WaveAnswer::NoWave;
        };
        wave.paused = paused;
        match paused {
            true => WaveAnswer::Paused,
            false => WaveAnswer::Resumed,
        }
    }

    /// Takes an instance one step on, if it is still in the step that this
    /// was decided in. The budget is checked here, at the only place where
    /// it is certain.
    pub(super) fn step_instance(&mut self, change: &StepInstance, index: u64) -> WaveAnswer {
        let Some(wave) = self.waves.get(&change.pool) else {
            return WaveAnswer::NoWave;
        };
        let current = wave.step(&change.instance);
        let is_current = wave.id == change.wave && current == Some(change.from);
        if !is_current || !change.from.can_transition_to(change.to) {
            return WaveAnswer::Stale;
        }
        if change.from == Step::Waiting {
            if wave.paused || !self.is_maintainable(&change.instance) {
                return WaveAnswer::Stale;
            }
            // An instance that joins is no part of the promise yet, but it
            // counts as away while it is maintained.
            if let Err(availability) = self.check_away_budget(&change.instance, &change.pool) {
                let (away, budget) = (availability.away, availability.budget);
                return WaveAnswer::OverBudget { away, budget };
            }
        }
        if change.to == Step::Rebooting {
            self.targets.remove_on_instance(&change.instance);
        }
        let state = StepState {
            step: change.to,
            epoch: index,
        };
        if let Some(wave) = self.waves.get_mut(&change.pool) {
            wave.instances.insert(change.instance.clone(), state);
        }
        WaveAnswer::Stepped { epoch: index }
    }

    fn is_maintainable(&self, instance: &str) -> bool {
        let place = self.places.get(instance);
        place.is_some_and(|place| matches!(place.phase, Phase::Joining | Phase::Member))
    }

    /// Keeps in each wave only the instances that are in its pool.
    pub(super) fn prune_waves(&mut self) {
        let (places, fleet) = (&self.places, &self.config.fleet);
        self.waves
            .retain(|pool, _| fleet.pools.find(pool).is_some());
        for (pool, wave) in &mut self.waves {
            let here = |name: &str| places.get(name).is_some_and(|place| place.pool == *pool);
            wave.instances.retain(|name, _| here(name));
        }
    }
}
