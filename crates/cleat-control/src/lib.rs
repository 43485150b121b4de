//! Control instances and gateways: the shells around `cleat-jobs`.
//!
//! A [`ControlNode`] holds the replicated state and, while it leads, runs the
//! jobs of all pools. A [`Gateway`] stands before callers and finds the
//! leader. Both speak [`ControlCall`](cleat_link::ControlCall)s; what the
//! platform speaks is translated elsewhere, behind [`WorkerClient`].

mod addressing;
mod clock;
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
pub use node::{ControlConfig, ControlNode};
pub use platform::{
    AdviceClient, MachineClient, NoAdviser, NoMachines, PlatformClients, RenewalError, WorkerClient,
};
pub use simulated::{InProcessWorkers, SimulatedRun, SimulatedWorker};
