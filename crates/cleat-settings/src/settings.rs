//! The settings as the rest of the daemon sees them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use log::LevelFilter;

use crate::{InboundSettings, SettingsError, defaults, read};

/// The settings of one instance.
///
/// Invariants: peers differ in name and address; if there are peers, one of them is this
/// instance, in the same data centre; it votes only if it has a data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// This instance's name, unique in the fleet.
    pub name: Box<str>,
    /// Where it runs.
    pub data_centre: Box<str>,
    /// Where it listens.
    pub listen: Listen,
    /// Every entry instance, this one included; empty if it is alone.
    pub peers: Vec<Peer>,
    /// Where it keeps its log; absent on an instance without a disk.
    pub data_folder: Option<PathBuf>,
    /// What it logs.
    pub log: LogSettings,
    /// What it traces.
    pub trace: TraceSettings,
    /// Where it sends metrics.
    pub metrics: MetricsSettings,
    /// The memory that it may use, in MB. Default: 256.
    pub memory_mb: u32,
    /// Limits of each connection that it accepts.
    pub inbound: InboundSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        read::file(path)
    }

    /// Reads and checks settings from a text.
    ///
    /// # Errors
    /// See [`SettingsError`]; never [`SettingsError::Unreadable`].
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        read::text(text, Path::new("settings"))
    }

    /// As [`parse`](Self::parse), for a text that stands in `file`.
    pub(crate) fn parse_file(text: &str, file: &Path) -> Result<Settings, SettingsError> {
        read::text(text, file)
    }

    /// The embedded defaults: one instance on loopback, without peers or a data folder,
    /// on ports that the system chooses. The same as [`default_text`](crate::default_text).
    pub fn dev() -> Settings {
        defaults::settings()
    }

    /// This instance's own entry among the peers, if there are any.
    pub fn own_peer(&self) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.name == self.name)
    }
}

/// The addresses to listen on. Port 0 lets the system choose.
///
/// Invariant: no address covers another, but for port 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For targets that announce themselves.
    pub targets: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For the other instances.
    pub peers: SocketAddr,
}

/// One entry instance of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Box<str>,
    /// Where it runs.
    pub data_centre: Box<str>,
    /// Where it listens for the other instances.
    pub address: SocketAddr,
    /// Whether it votes. Default: false.
    pub votes: bool,
}

/// What is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is logged. Default: info.
    pub level: LevelFilter,
    /// How a line looks. Default: JSON.
    pub format: LogFormat,
    /// The file to append to; standard error if absent.
    pub file: Option<PathBuf>,
}

/// How a log line looks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Plain text for people.
    Plain,
}

/// What is traced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceSettings {
    /// The share of requests, in percent from 0 to 100, that are traced where the caller
    /// sent no `traceparent`; a caller's own decision is always followed. Default: 1.
    pub ratio_percent: u8,
}

/// Where metrics go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricsSettings {
    /// The UDP address of a statsd server; nothing is sent if absent.
    pub statsd: Option<SocketAddr>,
}
