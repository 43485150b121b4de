//! The services and targets in force on this entry.

mod publisher;
mod routes;

pub(crate) use publisher::Publisher;
pub(crate) use routes::{Route, Routes};
