//! The files of a configuration, and which of them a fault comes from.

mod fault;
mod layers;
mod origin;

pub(crate) use fault::list_faults;
pub use fault::{File, LocatedFault};
pub(crate) use layers::Layers;
