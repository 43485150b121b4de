//! What the driver is connected to: the state machine and the transport.

use std::error::Error;

use snafu::Snafu;

use crate::core::{MemberId, Message};

/// The replicated state. It must depend on nothing but the commands.
pub trait StateMachine: Send + 'static {
    /// Applies a committed command and gives its answer. Called in the order
    /// of the log, once for each index in a incarnation.
    fn apply(&mut self, index: u64, command: &[u8]) -> Box<[u8]>;

    /// The whole state.
    fn snapshot(&self) -> Box<[u8]>;

    /// Replaces the whole state by a snapshot.
    ///
    /// # Errors
    /// The snapshot can't be read; the replica then stops.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;
}

/// Carries messages to other members. A message may be lost.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message without waiting.
    fn send(&self, to: MemberId, message: Message);
}

/// The state machine can't read a snapshot. Start the version that wrote it,
/// or replace the member.
#[derive(Debug, Snafu)]
#[snafu(display("the snapshot can't be restored: {source}"))]
pub struct RestoreError {
    source: Box<dyn Error + Send + Sync>,
}

impl RestoreError {
    /// Wraps the state machine's own error.
    pub fn new(source: impl Error + Send + Sync + 'static) -> RestoreError {
        let source = Box::new(source);
        RestoreError { source }
    }
}
