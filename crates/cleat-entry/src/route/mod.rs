//! The services and targets that this entry currently routes to.

mod routes;
mod updater;

pub(crate) use routes::{Route, Routes};
pub(crate) use updater::RouteUpdater;
