//! Applies the entries of the replicated log to the local copy of the fleet's state.

use std::sync::Arc;

use cleat_quorum::StateMachine;
use cleat_world::{Answer, Command, World};
use log::error;

use crate::world::SharedWorld;

/// Applies commands to the shared world.
pub(crate) struct FleetStateMachine {
    pub(crate) world: Arc<SharedWorld>,
}

impl StateMachine for FleetStateMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Box<[u8]> {
        let answer = match Command::decode(command) {
            Ok(command) => self.world.write(|world| world.apply(index, command)),
            Err(error) => {
                error!("log entry {index} can't be decoded: {error}");
                Answer::Unreadable
            }
        };
        answer.encode()
    }

    fn snapshot(&self) -> Box<[u8]> {
        self.world.read(World::snapshot)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), cleat_quorum::RestoreError> {
        let restored = World::restore(data).map_err(cleat_quorum::RestoreError::new)?;
        self.world.write(|world| *world = restored);
        Ok(())
    }
}
