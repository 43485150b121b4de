//! Driver: runs a core on tokio, with a disk thread and a transport.

mod clock;
mod config;
mod disk;
mod error;
mod replica;
mod request;
mod state_machine;
mod status;
mod task;
mod waiters;

pub use clock::BootTime;
pub use config::ReplicaConfig;
pub use error::{InForceError, ProposeError, SpawnError, WaitError};
pub use replica::{Applied, Replica};
pub use state_machine::{RestoreError, StateMachine, Transport};
pub use status::Status;
