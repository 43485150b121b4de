//! The targets that announced themselves.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Announce, Announcement, FleetConfig, TargetAnswer, Withdraw, WithdrawCause};

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
}

impl Targets {
    pub(super) fn announce(
        &mut self,
        announce: Announce,
        fleet: &FleetConfig,
        index: u64,
    ) -> TargetAnswer {
        if let Err(refusal) = self.check(&announce, fleet) {
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
        TargetAnswer::Announced {
            incarnation,
            lease_ms: fleet.target_lease_ms,
        }
    }

    pub(super) fn withdraw(&mut self, withdraw: &Withdraw) -> TargetAnswer {
        let current = self.by_name.get(&withdraw.name).map(|t| t.incarnation);
        let meant = match withdraw.cause {
            WithdrawCause::Left => true,
            WithdrawCause::LeaseLapsed { incarnation } => current == Some(incarnation),
        };
        if meant {
            self.by_name.shift_remove(&withdraw.name);
        }
        TargetAnswer::Withdrawn
    }

    /// Drops what a new configuration no longer has a place for.
    pub(super) fn keep_valid(&mut self, fleet: &FleetConfig) {
        let valid = |target: &Target| check_place(&target.announcement, fleet).is_ok();
        self.by_name.retain(|_, target| valid(target));
    }

    fn check(&self, announce: &Announce, fleet: &FleetConfig) -> Result<(), TargetAnswer> {
        check_place(&announce.announcement, fleet)?;
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

/// Whether the configuration has a place for the target.
fn check_place(announcement: &Announcement, fleet: &FleetConfig) -> Result<(), TargetAnswer> {
    let service = fleet.services.by_name(&announcement.service);
    let service = service.ok_or(TargetAnswer::UnknownService)?;
    let instance = fleet.instances.by_name(&announcement.instance);
    let instance = instance.ok_or(TargetAnswer::UnknownInstance)?;
    if instance.pool != service.pool {
        let pool = fleet.pools.name(instance.pool).into();
        return Err(TargetAnswer::WrongPool { pool });
    }
    let data_centre = fleet.data_centres.name(instance.data_centre);
    if data_centre != &*announcement.data_centre {
        let data_centre = data_centre.into();
        return Err(TargetAnswer::WrongDataCentre { data_centre });
    }
    Ok(())
}
