//! Connections to targets, each polled by the task that uses it.

mod connection;
mod driver;
mod failure;
#[cfg(test)]
mod tests;
mod tracked_stream;

pub(crate) use connection::Upstream;
pub(crate) use failure::Failure;
