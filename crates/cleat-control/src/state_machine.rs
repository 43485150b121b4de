//! The local copy of the replicated state, to which the log is applied.

use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use cleat_jobs::{Command, CommandOutcome, ControlState, Event};
use cleat_quorum::{RestoreError, StateMachine};
use log::error;
use tokio::sync::mpsc::UnboundedSender;

use crate::clock::boot_time;

/// The replicated state, and the owner task that is notified of its changes.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    state: RwLock<ControlState>,
    /// The event channel of the owner task while this instance leads.
    owner: Mutex<Option<UnboundedSender<Event>>>,
    /// When the configuration came into force here, in the time since the machine started;
    /// `None` if that is not known, as after a restore.
    configured_at: Mutex<Option<Duration>>,
}

impl SharedState {
    pub(crate) fn read<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        read(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets the event channel of the owner task; `None` if no owner runs here.
    pub(crate) fn set_owner(&self, owner: Option<UnboundedSender<Event>>) {
        *self.owner.lock().unwrap_or_else(PoisonError::into_inner) = owner;
    }

    /// Sends an event to the owner task; false if no owner runs here.
    pub(crate) fn send_to_owner(&self, event: Event) -> bool {
        let owner = self.owner.lock().unwrap_or_else(PoisonError::into_inner);
        owner.as_ref().is_some_and(|tx| tx.send(event).is_ok())
    }

    /// When the configuration came into force here, if that is known.
    pub(crate) fn configured_at(&self) -> Option<Duration> {
        *self
            .configured_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn set_configured_at(&self, at: Option<Duration>) {
        *self
            .configured_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = at;
    }

    /// Resets the state before the log is applied again from its beginning.
    pub(crate) fn clear(&self) {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        *state = ControlState::default();
        self.set_configured_at(None);
    }

    fn apply(&self, index: u64, command: Command) -> CommandOutcome {
        let command = Arc::new(command);
        let answer = {
            let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
            let version = |state: &ControlState| state.catalogue.as_ref().map(|c| c.version);
            let before = version(&state);
            let answer = state.apply(index, (*command).clone());
            if version(&state) != before {
                self.set_configured_at(Some(boot_time()));
            }
            answer
        };
        // The event is dropped on instances where no owner runs.
        self.send_to_owner(Event::Applied { command });
        answer
    }
}

/// Applies log entries to the shared state.
pub(crate) struct JobsStateMachine(pub(crate) Arc<SharedState>);

/// The answer to an entry that can't be decoded: a byte that starts no encoded
/// [`CommandOutcome`].
const UNREADABLE: u8 = u8::MAX;

impl StateMachine for JobsStateMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Box<[u8]> {
        match Command::decode(command) {
            Ok(command) => self.0.apply(index, command).encode(),
            Err(error) => {
                error!("log entry {index} can't be decoded: {error}");
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
        self.0.set_configured_at(None);
        Ok(())
    }
}
