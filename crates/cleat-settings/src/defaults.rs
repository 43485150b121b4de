//! The defaults, in code and as a file.

use std::net::{Ipv4Addr, SocketAddr};

use log::LevelFilter;

use crate::inbound::DEFAULT_MEMORY_MB;
use crate::{
    InboundSettings, Listen, LogFormat, LogSettings, MetricsSettings, Settings, TraceSettings,
};

/// Loopback, on a port that the system chooses.
pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The embedded defaults file, a valid settings file with every key.
pub fn default_text() -> &'static str {
    include_str!("defaults.json")
}

pub(crate) fn settings() -> Settings {
    Settings {
        name: "dev".into(),
        data_centre: "dc1".into(),
        listen: listen(),
        peers: Vec::new(),
        data_folder: None,
        log: log(),
        trace: trace(),
        metrics: metrics(),
        memory_mb: DEFAULT_MEMORY_MB,
        inbound: InboundSettings::default(),
    }
}

pub(crate) fn listen() -> Listen {
    Listen {
        callers: ANY_PORT,
        targets: ANY_PORT,
        operators: ANY_PORT,
        peers: ANY_PORT,
    }
}

pub(crate) fn log() -> LogSettings {
    LogSettings {
        level: LevelFilter::Info,
        format: LogFormat::Json,
        file: None,
    }
}

pub(crate) fn trace() -> TraceSettings {
    TraceSettings { ratio_percent: 1 }
}

pub(crate) fn metrics() -> MetricsSettings {
    MetricsSettings { statsd: None }
}
