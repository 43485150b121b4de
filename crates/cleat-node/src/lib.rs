//! One instance, put together from its settings.
//!
//! [`Instance::start`] opens the data folder, binds the listeners, joins the
//! quorum and returns the running instance.

mod entry_control;
mod instance;
mod leases;
mod links;
mod machine;
mod maintenance;
mod member;
mod node;
mod operator_control;
mod peer_handler;
mod propose;
mod renewals;
mod slots;
mod world;

pub use instance::{Addresses, Instance, StartError};
