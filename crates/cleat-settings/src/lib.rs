//! An instance's own settings: read, checked, every fault reported with its JSON path.

mod check;
mod defaults;
mod error;
mod inbound;
mod read;
mod roles;
mod settings;

pub use defaults::default_text;
pub use error::SettingsError;
pub use inbound::InboundSettings;
pub use roles::{
    AnySettings, ControlSettings, GatewaySettings, OrderPath, SchedulingSettings, TimingSettings,
};
pub use settings::{
    Listen, LogFormat, LogSettings, MetricsSettings, Peer, Settings, TraceSettings,
};
