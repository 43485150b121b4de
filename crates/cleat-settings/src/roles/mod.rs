//! The settings of control instances and gateways.
//!
//! Members find each other by seeds here, so these settings list no peers.

mod control;
mod gateway;

pub use control::{ControlSettings, OrderPath, SchedulingSettings, TimingSettings};
pub use gateway::GatewaySettings;

use std::net::SocketAddrV4;
use std::path::Path;

use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer};
use snafu::ResultExt;

use crate::error::{RoleSnafu, UnreadableSnafu};
use crate::{Settings, SettingsError};

/// The settings of any kind of instance; the key `role` tells which.
#[derive(Debug, Clone, PartialEq)]
pub enum AnySettings {
    /// An entry instance with listed peers; it states no role.
    Instance(Box<Settings>),
    /// A control instance.
    Control(ControlSettings),
    /// A gateway.
    Gateway(GatewaySettings),
}

#[derive(serde::Deserialize)]
struct Role {
    role: Option<RoleName>,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum RoleName {
    Control,
    Gateway,
}

impl AnySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn read(file: &Path) -> Result<AnySettings, SettingsError> {
        let text = std::fs::read_to_string(file).context(UnreadableSnafu { file })?;
        AnySettings::parse(&text, file)
    }

    /// Reads and checks settings from a text that stands in `file`.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn parse(text: &str, file: &Path) -> Result<AnySettings, SettingsError> {
        let Role { role } = decode(text, file)?;
        match role {
            None => Settings::parse_file(text, file).map(|s| AnySettings::Instance(Box::new(s))),
            Some(RoleName::Control) => decode(text, file).map(AnySettings::Control),
            Some(RoleName::Gateway) => decode(text, file).map(AnySettings::Gateway),
        }
    }
}

/// Seeds, of which there has to be one at least.
fn seeds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<SocketAddrV4>, D::Error> {
    let seeds: Vec<SocketAddrV4> = Vec::deserialize(deserializer)?;
    if seeds.is_empty() {
        return Err(D::Error::custom("seeds: name one address at least"));
    }
    Ok(seeds)
}

fn decode<T: DeserializeOwned>(text: &str, file: &Path) -> Result<T, SettingsError> {
    serde_json::from_str(text).or_else(|source| {
        let (line, column) = (source.line(), source.column());
        Err(source).context(RoleSnafu { file, line, column })
    })
}
