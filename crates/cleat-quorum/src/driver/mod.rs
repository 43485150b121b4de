//! The thin driver: runs a core on tokio with a disk thread and a transport.

mod clock;
mod config;
mod disk;
mod error;
mod machine;
mod replica;
mod request;
mod status;
mod task;
mod waiters;

pub use clock::BootTime;
pub use config::ReplicaConfig;
pub use error::{InForceError, ProposeError, SpawnError, WaitError};
pub use machine::{Machine, RestoreError, Transport};
pub use replica::{Applied, Replica};
pub use status::Status;
