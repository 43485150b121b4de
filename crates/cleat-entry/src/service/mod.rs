//! A service on this entry: admission, choice of targets, queue and retries.

mod admission;
mod inner;
mod queued;
mod retry;
mod slot;
mod state;

pub(crate) use slot::{ConnectOptions, Slot};
pub(crate) use state::{CLOSE_GRACE, ServiceState};
