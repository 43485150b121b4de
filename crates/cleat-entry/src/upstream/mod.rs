//! One connection to a target, driven by the task that uses it.

mod connection;
mod drive;
mod failure;
#[cfg(test)]
mod tests;
mod watched;

pub(crate) use connection::Upstream;
pub(crate) use failure::Failure;
