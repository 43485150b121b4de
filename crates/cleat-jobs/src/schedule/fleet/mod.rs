//! Assignment of machines to pools, and their maintenance.

mod absent;
mod demand;
mod evict;
mod holdable;
mod joins;
mod machine;
mod moves;
mod need;
mod orders;
mod plan;
mod reservations;
mod waves;

pub(super) use holdable::FleetSizes;
pub(super) use machine::{Machine, Machines};
pub use machine::{MachineOrder, MachineState, MachineView};
pub(super) use moves::FRAGMENTATION_PERCENT;
