//! The running entry: listener, connections and shutdown.

mod accept;
mod automatic_response;
mod caller_connection;
mod caller_io;
mod drain;
#[expect(clippy::module_inception)]
mod entry;
mod handle;
mod health;
mod shared;
mod tick;
mod work;

pub use entry::{BindError, Entry};
pub(crate) use shared::SharedState;
pub(crate) use work::WorkToken;
