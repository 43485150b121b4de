//! The running entry: its listener, its connections and its end.

mod accept;
mod caller_io;
mod connection;
mod drain;
#[expect(clippy::module_inception)]
mod entry;
mod guarded;
mod handle;
mod health;
mod refusal;
mod shared;
mod tick;
mod work;

pub use entry::{BindError, Entry};
pub(crate) use shared::Shared;
pub(crate) use work::WorkToken;
