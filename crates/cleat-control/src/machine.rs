//! The replicated state as this instance holds it.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use cleat_jobs::{Command, CommandOutcome, ControlState, Event};
use cleat_quorum::{RestoreError, StateMachine};
use log::error;
use tokio::sync::mpsc::UnboundedSender;

/// The state, and who wants to know of its changes.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    state: RwLock<ControlState>,
    /// The owner's inbox while this instance leads.
    owner: Mutex<Option<UnboundedSender<Event>>>,
}

impl SharedState {
    pub(crate) fn read<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        read(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Names the owner's inbox, or that there is none any more.
    pub(crate) fn tell(&self, owner: Option<UnboundedSender<Event>>) {
        *self.owner.lock().unwrap_or_else(PoisonError::into_inner) = owner;
    }

    /// Hands an event to the owner; whether there is one.
    pub(crate) fn send(&self, event: Event) -> bool {
        let owner = self.owner.lock().unwrap_or_else(PoisonError::into_inner);
        owner.as_ref().is_some_and(|tx| tx.send(event).is_ok())
    }

    /// Forgets everything: the log is to be applied anew from its beginning.
    pub(crate) fn clear(&self) {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        *state = ControlState::default();
    }

    fn apply(&self, index: u64, command: Command) -> CommandOutcome {
        let command = Arc::new(command);
        let answer = {
            let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
            state.apply(index, (*command).clone())
        };
        // Instances that do not own the workers need not hear of it.
        self.send(Event::Applied { command });
        answer
    }
}

/// Applies the log to the state.
pub(crate) struct JobsMachine(pub(crate) Arc<SharedState>);

/// The answer to an entry that can't be read: one byte that no answer has.
const UNREADABLE: u8 = u8::MAX;

impl StateMachine for JobsMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Box<[u8]> {
        match Command::decode(command) {
            Ok(command) => self.0.apply(index, command).encode(),
            Err(error) => {
                error!("log entry {index}: {error}");
                Box::new([UNREADABLE])
            }
        }
    }

    fn snapshot(&self) -> Box<[u8]> {
        self.0.read(ControlState::snapshot)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let restored = ControlState::restore(data).map_err(RestoreError::new)?;
        let mut state = self.0.state.write().unwrap_or_else(PoisonError::into_inner);
        *state = restored;
        Ok(())
    }
}
