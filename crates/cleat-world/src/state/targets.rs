//! The targets that announced themselves.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    Announce, Announcement, FleetConfig, Place, Step, TargetAnswer, Wave, Withdraw, WithdrawCause,
};

/// A target that takes requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// What it says of itself.
    pub announcement: Announcement,
    /// The log index of the announcement: a later one fences an earlier.
    pub incarnation: u64,
}

/// Every target by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Targets {
    pub(super) by_name: IndexMap<Box<str>, Target>,
    /// How many run on each instance. Invariant: as in `by_name`, no zeros.
    count_by_instance: IndexMap<Box<str>, u32>,
}

impl Targets {
    pub(super) fn announce(
        &mut self,
        announce: Announce,
        rules: &PlacementRules<'_>,
        index: u64,
    ) -> TargetAnswer {
        if let Err(refusal) = self.check(&announce, rules) {
            return refusal;
        }
        let known = self.by_name.get(&announce.name);
        let same = known.filter(|target| target.announcement == announce.announcement);
        let incarnation = same.map_or(index, |target| target.incarnation);
        let target = Target {
            announcement: announce.announcement,
            incarnation,
        };
        self.by_name.insert(announce.name, target);
        self.recount();
        TargetAnswer::Announced {
            incarnation,
            lease_ms: rules.fleet.target_lease_ms,
        }
    }

    pub(super) fn withdraw(&mut self, withdraw: &Withdraw) -> TargetAnswer {
        let current = self.by_name.get(&withdraw.name).map(|t| t.incarnation);
        let is_current = match withdraw.cause {
            WithdrawCause::Left => true,
            WithdrawCause::LeaseLapsed { incarnation } => current == Some(incarnation),
        };
        if is_current {
            self.by_name.shift_remove(&withdraw.name);
            self.recount();
        }
        TargetAnswer::Withdrawn
    }

    /// Drops what a new configuration no longer has a place for.
    pub(super) fn retain_valid(&mut self, rules: &PlacementRules<'_>) {
        let valid = |target: &Target| rules.check(&target.announcement).is_ok();
        self.by_name.retain(|_, target| valid(target));
        self.recount();
    }

    /// Whether targets run on the instance and none of them could stay.
    pub(super) fn rejects_all_on(&self, instance: &str, rules: &PlacementRules<'_>) -> bool {
        let targets = self.by_name.values();
        let mut here = targets
            .filter(|target| &*target.announcement.instance == instance)
            .peekable();
        here.peek().is_some() && here.all(|target| rules.rejects_place(&target.announcement))
    }

    /// Drops what runs on an instance that leaves or reboots.
    pub(super) fn remove_on_instance(&mut self, instance: &str) {
        let elsewhere = |target: &Target| &*target.announcement.instance != instance;
        self.by_name.retain(|_, target| elsewhere(target));
        self.recount();
    }

    /// Whether a target runs on the instance; asked for each instance
    /// whenever a budget is looked at.
    pub(super) fn has_on(&self, instance: &str) -> bool {
        self.count_by_instance.contains_key(instance)
    }

    /// Announcements are rare and already cost as much as this.
    fn recount(&mut self) {
        self.count_by_instance.clear();
        for target in self.by_name.values() {
            let instance = target.announcement.instance.clone();
            *self.count_by_instance.entry(instance).or_default() += 1;
        }
    }

    fn check(&self, announce: &Announce, rules: &PlacementRules<'_>) -> Result<(), TargetAnswer> {
        rules.check(&announce.announcement)?;
        let address = announce.announcement.address;
        let mut others = self
            .by_name
            .iter()
            .filter(|(name, _)| **name != announce.name);
        match others.find(|(_, target)| target.announcement.address == address) {
            Some((by, _)) => Err(TargetAnswer::AddressTaken { by: by.clone() }),
            None => Ok(()),
        }
    }
}

/// Where a target may run.
pub(super) struct PlacementRules<'a> {
    pub(super) fleet: &'a FleetConfig,
    pub(super) places: &'a IndexMap<Box<str>, Place>,
    pub(super) waves: &'a IndexMap<Box<str>, Wave>,
}

impl PlacementRules<'_> {
    /// Whether there is a place for the target: it is the pool that the
    /// instance is in now which counts, not the configured one.
    fn check(&self, announcement: &Announcement) -> Result<(), TargetAnswer> {
        let fleet = self.fleet;
        let service = fleet.services.by_name(&announcement.service);
        let service = service.ok_or(TargetAnswer::UnknownService)?;
        let instance = fleet.instances.by_name(&announcement.instance);
        let place = self.places.get(&announcement.instance);
        let (Some(instance), Some(place)) = (instance, place) else {
            return Err(TargetAnswer::UnknownInstance);
        };
        if &*place.pool != fleet.pools.name(service.pool) {
            let pool = place.pool.clone();
            return Err(TargetAnswer::WrongPool { pool });
        }
        let data_centre = fleet.data_centres.name(instance.data_centre);
        if data_centre != &*announcement.data_centre {
            let data_centre = data_centre.into();
            return Err(TargetAnswer::WrongDataCentre { data_centre });
        }
        if !place.phase.accepts_targets() || self.reboots(&announcement.instance, &place.pool) {
            return Err(TargetAnswer::InstanceAway);
        }
        Ok(())
    }

    /// Whether the place is wrong, not the service gone.
    fn rejects_place(&self, announcement: &Announcement) -> bool {
        let checked = self.check(announcement);
        matches!(checked, Err(refusal) if refusal != TargetAnswer::UnknownService)
    }

    fn reboots(&self, instance: &str, pool: &str) -> bool {
        let wave = self.waves.get(pool);
        wave.and_then(|wave| wave.step(instance)) == Some(Step::Rebooting)
    }
}
