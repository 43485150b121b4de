//! A service on this entry: who starts, where, and who waits.

mod admission;
mod inner;
mod retry;
mod slot;
mod state;
mod waiting;

pub(crate) use slot::{ConnectTerms, Slot};
pub(crate) use state::{CLOSE_GRACE, ServiceState};
