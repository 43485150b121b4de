//! What can go wrong in the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// A failure of a stand-in or of a measurement.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum FakeError {
    /// The address is in use or not on this host. Choose another.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// What the system answered.
        source: std::io::Error,
    },
    /// Nothing listens there, or it went away. Start the server first.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The address asked for.
        address: SocketAddr,
        /// What the system answered.
        source: std::io::Error,
    },
    /// The connection broke or the answer was no HTTP. Look at the server.
    #[snafu(display("the exchange with {address} failed: {source}"))]
    Exchange {
        /// The server.
        address: SocketAddr,
        /// What hyper reports.
        source: hyper::Error,
    },
    /// A request could not be built from the options. Correct path or header.
    #[snafu(display("not a valid request: {source}"))]
    Request {
        /// What is wrong with it.
        source: http::Error,
    },
    /// An instance refused the announcement. Correct the target's options or
    /// the fleet configuration.
    #[snafu(display("{address} refused the announcement with {status}: {detail}"))]
    Refused {
        /// The instance asked.
        address: SocketAddr,
        /// The status of its answer.
        status: u16,
        /// The body of its answer.
        detail: Box<str>,
    },
    /// An answer is not the JSON that was expected. Compare the versions.
    #[snafu(display("{address} answered with unexpected JSON: {source}"))]
    Json {
        /// The server.
        address: SocketAddr,
        /// Where the text fails.
        source: serde_json::Error,
    },
    /// The process is gone, or not ours to read. Check the process id.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Process {
        /// The file under `/proc`.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// A file under `/proc` has an unknown form. Only Linux is supported.
    #[snafu(display("{} does not have the expected form", path.display()))]
    ProcessForm {
        /// The file under `/proc`.
        path: PathBuf,
    },
    /// A query parameter that steers a stand-in is wrong. Correct it.
    #[snafu(display("the parameter {name}={value} is not valid"))]
    Parameter {
        /// The parameter.
        name: Box<str>,
        /// Its value.
        value: Box<str>,
    },
    /// The target did not get announced in time. Look at its last refusal.
    #[snafu(display("the target {name} was not announced in time"))]
    NotAnnounced {
        /// The target.
        name: Box<str>,
    },
}
