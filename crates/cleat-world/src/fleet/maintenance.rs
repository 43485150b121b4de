//! What the configuration says of maintenance.

use std::net::SocketAddr;

use cleat_json::{FaultKind, Faults, Object};

use super::parse::optional_object;
use super::types::MaintenanceTerms;

const DAY_S: u64 = 24 * 60 * 60;

/// `maintenance` of a pool.
pub(super) fn read_terms(pool: &Object<'_>, faults: &mut Faults) -> MaintenanceTerms {
    let mut terms = MaintenanceTerms::default();
    let keys = ["probation_s", "drain_s", "reboot_s"];
    if let Some(object) = optional_object("maintenance", &keys, pool, faults) {
        terms.probation_s = object.number_or("probation_s", terms.probation_s, 0..=DAY_S, faults);
        terms.drain_s = object.number_or("drain_s", terms.drain_s, 1..=DAY_S, faults);
        terms.reboot_s = object.number_or("reboot_s", terms.reboot_s, 1..=DAY_S, faults);
    }
    terms
}

/// `platform` of the fleet.
pub(super) fn read_platform(root: &Object<'_>, faults: &mut Faults) -> Option<SocketAddr> {
    let object = optional_object("platform", &["address"], root, faults)?;
    let text = object.text("address", faults)?;
    let address = text.parse().ok();
    if address.is_none() {
        let kind = FaultKind::BadText {
            expected: "IP:PORT".into(),
            found: text,
        };
        faults.add(&object.path().key("address"), kind);
    }
    address
}
