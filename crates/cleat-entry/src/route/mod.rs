//! The services and targets in force on this entry.

mod routes;
mod updater;

pub(crate) use routes::{Route, Routes};
pub(crate) use updater::RouteUpdater;
