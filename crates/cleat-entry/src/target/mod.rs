//! Targets and their slots.

mod idle_connections;
mod service_slots;
mod slots;
#[expect(clippy::module_inception)]
mod target;

pub use service_slots::SlotMessage;

pub(crate) use service_slots::ServiceSlots;
pub(crate) use slots::{SlotToken, TargetSlots};
pub(crate) use target::Target;
