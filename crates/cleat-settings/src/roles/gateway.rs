//! The settings of a gateway.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::InboundSettings;
use crate::inbound::{default_memory_mb, memory_mb};

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
    /// How many files and connections it may have open; as many as the system allows the
    /// process if absent.
    #[serde(default, deserialize_with = "optional_max_files")]
    pub max_files: Option<usize>,
    /// The memory that it may use, in MB.
    #[serde(default = "default_memory_mb", deserialize_with = "memory_mb")]
    pub memory_mb: u32,
    /// Limits of each connection that it accepts.
    #[serde(default)]
    pub inbound: InboundSettings,
}

/// Fewer leave nothing for callers beside the files of the gateway itself.
const LEAST_FILES: usize = 256;

fn optional_max_files<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<usize>, D::Error> {
    let files = usize::deserialize(deserializer)?;
    if files < LEAST_FILES {
        let text = format!("max_files: {files} is too few, give {LEAST_FILES} at least");
        return Err(D::Error::custom(text));
    }
    Ok(Some(files))
}

fn one() -> usize {
    1
}
