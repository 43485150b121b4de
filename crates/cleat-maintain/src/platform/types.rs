//! What the platform is asked and how it answers.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What is done to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Nothing new is started on it.
    Drain,
    /// It is restarted.
    Reboot,
}

/// The identity of one effect. The same token any number of times has the
/// effect once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ActionToken {
    /// The instance.
    pub instance: Box<str>,
    /// What is done to it.
    pub action: Action,
    /// The log index of the step that was committed for it: unique for the
    /// wave, the instance and the attempt.
    pub epoch: u64,
}

impl fmt::Display for ActionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let action = match self.action {
            Action::Drain => "drain",
            Action::Reboot => "reboot",
        };
        write!(f, "{}-{action}-{}", self.instance, self.epoch)
    }
}

/// How far an effect is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ActionState {
    /// It has begun.
    Running,
    /// It is complete.
    Done,
    /// It cannot be completed.
    Failed,
}

/// Why the platform gave no report. The effect may have begun; asking again
/// with the same token is safe.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PlatformError {
    /// It cannot be reached. Check `platform.address` in the configuration.
    #[snafu(display("the platform at {address} cannot be reached: {source}"))]
    Connect {
        /// The platform.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The connection broke. It is asked again.
    #[snafu(display("the exchange with the platform at {address} broke: {source}"))]
    Exchange {
        /// The platform.
        address: SocketAddr,
        /// What hyper reports.
        source: hyper::Error,
    },
    /// It did not answer in time. It is asked again.
    #[snafu(display("the platform at {address} gave no answer within {limit:?}"))]
    Timeout {
        /// The platform.
        address: SocketAddr,
        /// How long was waited.
        limit: Duration,
    },
    /// The instance's name makes no path. Rename the instance.
    #[snafu(display("no request can be made for the platform: {source}"))]
    Request {
        /// What is wrong with it.
        source: http::Error,
    },
    /// It refused: a later leader has spoken, or it knows no such instance.
    #[snafu(display("the platform at {address} refused with {status}"))]
    Refused {
        /// The platform.
        address: SocketAddr,
        /// The status of its answer.
        status: u16,
    },
    /// Its answer is not understood. Compare the versions.
    #[snafu(display("the platform at {address} answered with unexpected JSON: {source}"))]
    Json {
        /// The platform.
        address: SocketAddr,
        /// Where the text fails.
        source: serde_json::Error,
    },
}

/// Something that drains and reboots instances.
pub trait Platform: Send + Sync + 'static {
    /// Begins the effect of `token`, or reports how far it is. `term` is the
    /// asking leader's; the platform refuses an earlier one than it has seen.
    fn run_action(
        &self,
        at: SocketAddr,
        token: &ActionToken,
        term: u64,
    ) -> impl Future<Output = Result<ActionState, PlatformError>> + Send;
}
