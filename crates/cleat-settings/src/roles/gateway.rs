//! The settings of a gateway.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Deserialize;

/// The settings of one gateway. Unknown keys are errors.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Always `gateway`.
    pub role: Box<str>,
    /// Its name.
    pub name: Box<str>,
    /// Where it runs.
    pub data_centre: Box<str>,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Where callers call.
    pub callers: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: SocketAddr,
    /// The ports that instances may use among each other; the first is used
    /// for calls, the last for metrics.
    pub internal_ports: (u16, u16),
    /// Control instances to begin with, as workers and operators call them.
    #[serde(deserialize_with = "super::seeds")]
    pub seeds: Vec<SocketAddrV4>,
    /// Where metrics are served as text; nowhere if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// How many processor cores it has; 1 runs all on one thread.
    #[serde(default = "one")]
    pub cores: usize,
}

fn one() -> usize {
    1
}
