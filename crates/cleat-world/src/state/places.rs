//! Moves of instances between pools, and their places after a new configuration.

use super::World;
use crate::{AdvanceMove, FleetConfig, MoveAnswer, MoveInstance, Phase, Place, Step};

impl World {
    /// Starts a move by order of an operator.
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

    /// Advances a move to its next phase, if it is still in the phase in which the
    /// command was proposed. The budget is checked here because a check before the
    /// proposal may be based on an outdated state.
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

    /// Starts moving the instance, which gets no new requests from now on.
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

    /// Reconciles the places of all instances with the configuration. A new instance
    /// joins its configured pool, an instance whose configured pool changed is ordered to
    /// move, a removed instance loses its place, and the instances of a removed pool join
    /// their configured pools.
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
                // The instance never got a request in that pool, so no drain is needed.
                *place = Place::joining(configured, index);
            }
            reconcile_place(place, configured, &fleet, index);
        }
        self.prune_waves();
    }
}

/// Reconciles the place of one instance with `pool`, its configured pool.
fn reconcile_place(place: &mut Place, pool: &str, fleet: &FleetConfig, index: u64) {
    if fleet.pools.find(&place.pool).is_none() {
        // A removed pool has no services, so there are no requests in progress that a
        // drain would protect.
        *place = Place::joining(pool, index);
        return;
    }
    let is_removed = |to: &str| fleet.pools.find(to).is_none();
    if place.phase.destination().is_some_and(is_removed) {
        // The destination was removed, so the instance stays in its pool. If it had
        // already started to leave, it counts as away until its target is announced again.
        place.enter(Phase::Member, index);
    }
    if &*place.configured_pool == pool {
        return;
    }
    place.configured_pool = pool.into();
    match &place.phase {
        Phase::Joining | Phase::Member | Phase::Ordered { .. } if &*place.pool == pool => {
            if let Phase::Ordered { .. } = place.phase {
                place.enter(Phase::Member, index);
            }
        }
        Phase::Joining | Phase::Member | Phase::Ordered { .. } => {
            place.enter(Phase::Ordered { to: pool.into() }, index);
        }
        Phase::Leaving { .. } => place.enter(Phase::Leaving { to: pool.into() }, index),
        Phase::Drained { .. } => place.enter(Phase::Drained { to: pool.into() }, index),
    }
}
