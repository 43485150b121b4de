//! The availability of pools: how many instances are away, and how many may be.

use super::World;
use crate::{Phase, Place, Step};

/// The availability of the instances of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Availability {
    /// The number of instances, including those that are leaving the pool.
    pub instances: u64,
    /// The number of instances that are away, for any reason.
    pub away: u64,
    /// The number of instances that have joined but not served yet. They do not count as
    /// away.
    pub joining: u64,
    /// The number of instances that may be away at once.
    pub budget: u64,
}

impl Availability {
    /// Whether the number of instances that are away does not exceed the budget.
    pub fn is_within_budget(self) -> bool {
        self.away <= self.budget
    }

    /// Whether one more instance may be away.
    pub fn has_budget_left(self) -> bool {
        self.away < self.budget
    }
}

impl World {
    /// Returns the availability of the pool, or `None` for an unknown pool.
    pub fn availability(&self, pool: &str) -> Option<Availability> {
        let budget = self.config.fleet.pools.by_name(pool)?.availability_budget;
        let mut availability = Availability {
            instances: 0,
            away: 0,
            joining: 0,
            budget,
        };
        for (instance, place) in self.places_in(pool) {
            availability.instances += 1;
            availability.joining += u64::from(self.is_joining(instance, place));
            availability.away += u64::from(self.is_away(instance));
        }
        Some(availability)
    }

    /// Iterates over the instances of the pool with their places. A [`Place`] states the pool
    /// that an instance belongs to and the phase of its membership.
    pub fn places_in<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = (&'a str, &'a Place)> {
        let places = self.places.iter();
        let here = places.filter(move |(_, place)| &*place.pool == pool);
        here.map(|(instance, place)| (&**instance, place))
    }

    /// Whether the instance counts against the budget of its pool.
    pub fn is_away(&self, instance: &str) -> bool {
        let Some(place) = self.places.get(instance) else {
            return false;
        };
        if self.step_of(instance, place).is_some_and(Step::is_away) {
            return true;
        }
        match place.phase {
            Phase::Joining => false,
            // `Ordered` is a declared move that has not started: the instance still
            // serves as a member.
            Phase::Member | Phase::Ordered { .. } => !self.has_target(instance),
            Phase::Leaving { .. } | Phase::Drained { .. } => true,
        }
    }

    /// Whether a target is announced on the instance.
    pub fn has_target(&self, instance: &str) -> bool {
        self.targets.has_on(instance)
    }

    /// Returns the step of an instance in the latest wave of its pool.
    pub(super) fn step_of(&self, instance: &str, place: &Place) -> Option<Step> {
        self.waves.get(&place.pool)?.step(instance)
    }

    fn is_joining(&self, instance: &str, place: &Place) -> bool {
        place.phase == Phase::Joining && !self.is_away(instance)
    }

    /// Checks that the instance may be away: it already is, or the budget of the pool
    /// allows one more.
    ///
    /// # Errors
    /// The availability of the pool, if its budget is used up.
    pub(super) fn check_away_budget(&self, instance: &str, pool: &str) -> Result<(), Availability> {
        match self.availability(pool) {
            Some(availability) if !self.is_away(instance) && !availability.has_budget_left() => {
                Err(availability)
            }
            _ => Ok(()),
        }
    }
}
