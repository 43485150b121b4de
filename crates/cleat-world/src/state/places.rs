//! Moves of instances between pools.

use super::World;
use crate::{AdvanceMove, FleetConfig, MoveAnswer, MoveInstance, Phase, Place, Step};

impl World {
    /// Starts a move that an operator wants.
    pub(super) fn move_instance(&mut self, change: &MoveInstance, index: u64) -> MoveAnswer {
        let Some(place) = self.places.get(&change.instance) else {
            return MoveAnswer::UnknownInstance;
        };
        if self.config.fleet.pools.find(&change.to).is_none() {
            return MoveAnswer::UnknownPool;
        }
        match place.phase.destination() {
            Some(to) if to == &*change.to => return MoveAnswer::Moving { epoch: place.epoch },
            Some(to) => return MoveAnswer::MoveInProgress { to: to.into() },
            None if place.pool == change.to => return MoveAnswer::AlreadyThere,
            None => {}
        }
        let to = change.to.clone();
        self.start_leaving(&change.instance, to, index)
    }

    /// Takes a move one phase on, if it is still in the phase it was decided
    /// in. The budget is checked here, at the only place where it is certain.
    pub(super) fn advance_move(&mut self, change: &AdvanceMove, index: u64) -> MoveAnswer {
        let Some(place) = self.places.get_mut(&change.instance) else {
            return MoveAnswer::UnknownInstance;
        };
        if place.epoch != change.epoch {
            return MoveAnswer::Stale;
        }
        match (&place.phase, &change.phase) {
            (Phase::Ordered { to }, Phase::Leaving { to: wanted }) if to == wanted => {
                let to = to.clone();
                self.start_leaving(&change.instance, to, index)
            }
            (Phase::Leaving { to }, Phase::Drained { to: wanted }) if to == wanted => {
                place.enter(change.phase.clone(), index);
                MoveAnswer::Moving { epoch: index }
            }
            (Phase::Drained { to }, Phase::Joining) => {
                place.pool = to.clone();
                place.enter(Phase::Joining, index);
                self.prune_waves();
                MoveAnswer::Moving { epoch: index }
            }
            _ => MoveAnswer::Stale,
        }
    }

    /// From here on nothing new is sent to the instance.
    fn start_leaving(&mut self, instance: &str, to: Box<str>, index: u64) -> MoveAnswer {
        let Some(place) = self.places.get(instance) else {
            return MoveAnswer::UnknownInstance;
        };
        let step = self.step_of(instance, place);
        if let Some(step) = step.filter(|step| step.is_away() && *step != Step::Failed) {
            return MoveAnswer::InMaintenance { step };
        }
        if let Err(availability) = self.check_away_budget(instance, &place.pool) {
            return MoveAnswer::OverBudget {
                pool: place.pool.clone(),
                away: availability.away,
                budget: availability.budget,
            };
        }
        if let Some(place) = self.places.get_mut(instance) {
            place.enter(Phase::Leaving { to }, index);
        }
        self.targets.remove_on_instance(instance);
        MoveAnswer::Moving { epoch: index }
    }

    /// Gives each configured instance its place: a new one joins its pool,
    /// one whose declared pool changed is ordered to move, one that is gone
    /// has none, and a pool that is gone sends its instances home.
    pub(super) fn reconcile_places(&mut self, index: u64) {
        let fleet = self.config.fleet.clone();
        self.places
            .retain(|name, _| fleet.instances.find(name).is_some());
        for (_, name, instance) in fleet.instances.iter() {
            let configured = fleet.pools.name(instance.pool);
            let place = self.places.entry(name.into());
            let place = place.or_insert_with(|| Place::joining(configured, index));
            let wave = self.waves.get(&place.pool);
            let step = wave.and_then(|wave| wave.step(name));
            let idle = place.phase == Phase::Joining && !step.is_some_and(Step::is_away);
            if idle && &*place.pool != configured && &*place.configured_pool != configured {
                // Nothing was ever sent to it there, so nothing has to end.
                *place = Place::joining(configured, index);
            }
            reconcile_place(place, configured, &fleet, index);
        }
        self.prune_waves();
    }
}

fn reconcile_place(place: &mut Place, configured: &str, fleet: &FleetConfig, index: u64) {
    if fleet.pools.find(&place.pool).is_none() {
        // A pool that is gone has no services, so nothing is in progress for
        // it that a drain would protect.
        *place = Place::joining(configured, index);
        return;
    }
    let lost = |to: &str| fleet.pools.find(to).is_none();
    if place.phase.destination().is_some_and(lost) {
        // It stays, and is missing until its target is announced again.
        place.enter(Phase::Member, index);
    }
    if &*place.configured_pool == configured {
        return;
    }
    place.configured_pool = configured.into();
    match &place.phase {
        Phase::Joining | Phase::Member | Phase::Ordered { .. } if &*place.pool == configured => {
            if let Phase::Ordered { .. } = place.phase {
                place.enter(Phase::Member, index);
            }
        }
        Phase::Joining | Phase::Member | Phase::Ordered { .. } => {
            place.enter(
                Phase::Ordered {
                    to: configured.into(),
                },
                index,
            );
        }
        Phase::Leaving { .. } => place.enter(
            Phase::Leaving {
                to: configured.into(),
            },
            index,
        ),
        Phase::Drained { .. } => place.enter(
            Phase::Drained {
                to: configured.into(),
            },
            index,
        ),
    }
}
