//! The interface of the platform: actions, their states and errors.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What the platform does to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// No new work is started on the instance.
    Drain,
    /// The instance is restarted.
    Reboot,
}

/// The idempotency token of one action: however often it is sent, the action runs
/// once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ActionToken {
    /// The instance.
    pub instance: Box<str>,
    /// What the platform does to the instance.
    pub action: Action,
    /// The index, in the replicated log, of the command that moved the instance on to
    /// this step of its wave: unique to the wave, the instance and the attempt.
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

/// The state of an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ActionState {
    /// The action has begun.
    Running,
    /// The action is complete.
    Done,
    /// The action cannot be completed.
    Failed,
}

/// Why the platform did not report the state of an action. The action may have
/// begun; sending the same token again is safe.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PlatformError {
    /// The platform cannot be reached. Check `platform.address` in the configuration.
    #[snafu(display("cannot connect to the platform at {address}: {source}"))]
    Connect {
        /// The address of the platform.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The connection failed during the exchange. The request is sent again.
    #[snafu(display("the connection to the platform at {address} failed: {source}"))]
    Exchange {
        /// The address of the platform.
        address: SocketAddr,
        /// The error of hyper.
        source: hyper::Error,
    },
    /// The platform did not respond in time. The request is sent again.
    #[snafu(display("the platform at {address} did not respond within {limit:?}"))]
    Timeout {
        /// The address of the platform.
        address: SocketAddr,
        /// The timeout.
        limit: Duration,
    },
    /// The instance's name is not valid in a URL path. Rename the instance.
    #[snafu(display("cannot build the request to the platform: {source}"))]
    Request {
        /// Why the request is invalid.
        source: http::Error,
    },
    /// The platform refused the request: a later leader has sent one, or the
    /// platform does not know the instance.
    #[snafu(display("the platform at {address} refused the request with status {status}"))]
    Refused {
        /// The address of the platform.
        address: SocketAddr,
        /// The HTTP status of the response.
        status: u16,
    },
    /// The response could not be parsed. Check that the versions match.
    #[snafu(display("the platform at {address} sent unexpected JSON: {source}"))]
    Json {
        /// The address of the platform.
        address: SocketAddr,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// A service that drains and reboots instances.
pub trait Platform: Send + Sync + 'static {
    /// Begins the action of `token`, or reports its state if it has begun. `at` is the
    /// address of the platform. `term` is the term of the calling leader; the platform
    /// refuses a term lower than one that it has seen.
    fn run_action(
        &self,
        at: SocketAddr,
        token: &ActionToken,
        term: u64,
    ) -> impl Future<Output = Result<ActionState, PlatformError>> + Send;
}
