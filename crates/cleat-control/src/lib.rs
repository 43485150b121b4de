//! Control instances and gateways: the I/O around the scheduler of `cleat-jobs`.
//!
//! A [`ControlNode`] holds the replicated state and, while it is the leader,
//! schedules the jobs of all pools. A [`Gateway`] accepts the calls of callers
//! and forwards them to the leader. Both exchange
//! [`ControlCall`](cleat_link::ControlCall)s; the platform's own protocol is
//! implemented by other crates behind [`WorkerClient`], [`MachineClient`] and
//! [`AdviceClient`].

mod addressing;
mod clock;
mod departures;
mod error;
mod events;
mod gateway;
mod keys;
mod links;
mod metrics;
mod node;
mod owner;
mod platform;
mod simulated;
mod state_machine;

pub use addressing::PeerAddressing;
pub use error::StartError;
pub use gateway::{Gateway, GatewayConfig};
pub use metrics::Metrics;
pub use node::{ControlConfig, ControlNode, ForwardError};
pub use platform::{
    AdviceClient, MachineClient, NoAdviser, NoMachines, PlatformClients, RenewalError, WorkerClient,
};
pub use simulated::{InProcessWorkers, SimulatedRun, SimulatedWorker};
