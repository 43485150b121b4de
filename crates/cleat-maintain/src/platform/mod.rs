//! The platform that drains and reboots instances.

mod client;
mod types;

pub use client::HttpPlatform;
pub use types::{Action, ActionState, ActionToken, Platform, PlatformError};
