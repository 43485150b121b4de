//! Assembles an instance from its settings.
//!
//! [`Instance::start`] opens the data folder, binds the listeners, starts the
//! replica, which joins the consensus group, and returns the running instance.

mod entry_control;
mod inbound;
mod instance;
mod leader_calls;
mod leases;
mod links;
mod maintenance;
mod member;
mod node;
mod operator_control;
mod peer_handler;
mod renewals;
mod slots;
mod state_machine;
mod world;

pub use inbound::{INBOUND_SHARE, Machine, allowed_files, inbound_limits};
pub use instance::{Addresses, Instance, StartError};
