//! A target as this entry uses it.

mod idle;
mod service_slots;
mod slots;
#[expect(clippy::module_inception)]
mod target;

pub use service_slots::SlotMessage;

pub(crate) use service_slots::ServiceSlots;
pub(crate) use slots::{Slots, Taken};
pub(crate) use target::Target;
