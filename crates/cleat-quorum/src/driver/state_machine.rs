//! Interfaces that the driver needs: the state machine and the transport.

use std::error::Error;

use snafu::Snafu;

use crate::core::{MemberId, Message};

/// The replicated state machine. Its state must depend only on the commands.
pub trait StateMachine: Send + 'static {
    /// Applies a committed command and returns its response. Called in log
    /// order, once per index in an incarnation.
    fn apply(&mut self, index: u64, command: &[u8]) -> Box<[u8]>;

    /// Returns the complete state.
    fn snapshot(&self) -> Box<[u8]>;

    /// Replaces the complete state with a snapshot.
    ///
    /// # Errors
    /// The snapshot can't be decoded. The replica then stops.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;
}

/// Sends messages to other members. Messages may be lost.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message without blocking.
    fn send(&self, to: MemberId, message: Message);
}

/// The state machine can't decode a snapshot. Start the version that wrote it,
/// or replace the member.
#[derive(Debug, Snafu)]
#[snafu(display("can't restore the state machine from the snapshot: {source}"))]
pub struct RestoreError {
    source: Box<dyn Error + Send + Sync>,
}

impl RestoreError {
    /// Wraps an error of the state machine.
    pub fn new(source: impl Error + Send + Sync + 'static) -> RestoreError {
        let source = Box::new(source);
        RestoreError { source }
    }
}
